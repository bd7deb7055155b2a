#include "fakes/site/proxy.hpp"

#include <sys/socket.h>

namespace bulrushspring::site
{

proxy::proxy(event_base* base, const endpoint& address, const endpoint& server)
    : base_(base), server_(server),
      cleanup_timer_(event_new(base, -1, 0, free_closed, this)),
      classify_timer_(event_new(base, -1, EV_PERSIST, on_classify, this))
{
    const auto where = shell::to_socket_address(address);
    constexpr int backlog = 256;
    listener_.reset(evconnlistener_new_bind(
        base, accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
        reinterpret_cast<const sockaddr*>(&where), sizeof where));
}

void proxy::accept(evconnlistener* /*listener*/, evutil_socket_t socket,
                   sockaddr* from, int /*size*/, void* argument)
{
    auto& owner = *static_cast<proxy*>(argument);
    auto& created = owner.pairs_.emplace_back();
    created.owner = &owner;
    created.client_port =
        shell::from_socket_address(*reinterpret_cast<sockaddr_in*>(from)).port;
    created.client_side.reset(
        bufferevent_socket_new(owner.base_, socket, BEV_OPT_CLOSE_ON_FREE));
    created.server_side.reset(
        bufferevent_socket_new(owner.base_, -1, BEV_OPT_CLOSE_ON_FREE));
    created.delay_timer.reset(
        event_new(owner.base_, -1, 0, on_delay_elapsed, &created));
    for (auto* side : {created.client_side.get(), created.server_side.get()}) {
        bufferevent_setcb(side, on_readable, nullptr, on_event, &created);
        bufferevent_enable(side, EV_READ | EV_WRITE);
    }
    owner.enable_reading(created);
    const auto to = shell::to_socket_address(owner.server_);
    bufferevent_socket_connect(created.server_side.get(),
                               reinterpret_cast<const sockaddr*>(&to),
                               sizeof to);
    created.accepted_at = system_boot_clock{}.now();
    created.partitioned = static_cast<bool>(owner.partition_.ports);
}

void proxy::partition_clients(const client_partition& partition)
{
    partition_ = partition;
    classify();
    if (!partition.ports) {
        event_del(classify_timer_.get());
    } else {
        const auto interval = shell::to_timeval(port_cache_time);
        event_add(classify_timer_.get(), &interval);
    }
}

void proxy::on_classify(evutil_socket_t /*socket*/, short /*events*/,
                        void* argument)
{
    static_cast<proxy*>(argument)->classify();
}

void proxy::classify()
{
    const auto ports =
        partition_.ports ? partition_.ports() : std::set<std::uint16_t>{};
    const auto latest = system_boot_clock{}.now() - port_cache_time;
    for (auto& each : pairs_) {
        if (each.closed || (partition_.ports && each.accepted_at > latest)) {
            continue;
        }
        each.partitioned = ports.count(each.client_port) > 0;
        if (each.partitioned && partition_.reset) {
            close(each, true);
        } else {
            forward(each);
        }
    }
}

void proxy::set_condition(link_condition condition, duration delay)
{
    condition_ = condition;
    delay_ = delay;
    for (auto& each : pairs_) {
        if (!each.closed) {
            enable_reading(each);
        }
    }
    if (condition == link_condition::normal) {
        for (auto& each : pairs_) {
            if (!each.closed) {
                forward(each);
            }
        }
    }
}

void proxy::enable_reading(connection_pair& connection)
{
    auto* stream = connection.client_side.get();
    if (condition_ == link_condition::unread) {
        bufferevent_disable(stream, EV_READ);
    } else {
        bufferevent_enable(stream, EV_READ);
    }
}

void proxy::limit_receive_buffer(int bytes)
{
    // Accepted sockets inherit the size.
    setsockopt(evconnlistener_get_fd(listener_.get()), SOL_SOCKET, SO_RCVBUF,
               &bytes, sizeof bytes);
}

void proxy::reset_connections()
{
    for (auto& each : pairs_) {
        if (!each.closed) {
            close(each, true);
        }
    }
}

void proxy::forward(connection_pair& connection)
{
    if (condition_ == link_condition::silent || connection.partitioned) {
        return;
    }
    bufferevent_write_buffer(
        connection.server_side.get(),
        bufferevent_get_input(connection.client_side.get()));
    if (condition_ != link_condition::one_way) {
        bufferevent_write_buffer(
            connection.client_side.get(),
            bufferevent_get_input(connection.server_side.get()));
    }
}

void proxy::on_readable(bufferevent* /*buffer*/, void* argument)
{
    auto& connection = *static_cast<connection_pair*>(argument);
    auto& self = *connection.owner;
    if (self.condition_ == link_condition::slow) {
        const auto delay = shell::to_timeval(self.delay_);
        event_add(connection.delay_timer.get(), &delay);
    } else {
        self.forward(connection);
    }
}

void proxy::on_delay_elapsed(evutil_socket_t /*socket*/, short /*events*/,
                             void* argument)
{
    auto& connection = *static_cast<connection_pair*>(argument);
    connection.owner->forward(connection);
}

void proxy::on_event(bufferevent* /*buffer*/, short events, void* argument)
{
    auto& connection = *static_cast<connection_pair*>(argument);
    auto& self = *connection.owner;
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        self.forward(connection);
    } else if (self.condition_ != link_condition::silent &&
               !connection.partitioned) {
        self.forward(connection);
        self.close(connection, (events & BEV_EVENT_ERROR) != 0);
    }
}

// Closes both sides. They are freed after a delay, so that data already written
// can still be sent; after a reset they are freed at once, unless a delay for
// an earlier close is already running.
void proxy::close(connection_pair& connection, bool reset)
{
    connection.closed = true;
    for (auto* side :
         {connection.client_side.get(), connection.server_side.get()}) {
        bufferevent_setcb(side, nullptr, nullptr, nullptr, nullptr);
        const auto socket = bufferevent_getfd(side);
        if (reset && socket >= 0) {
            const linger reset_on_close{1, 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close,
                       sizeof reset_on_close);
        }
    }
    const auto delay =
        shell::to_timeval(reset ? milliseconds{0} : milliseconds{50});
    // Do not rearm a pending timer: if each closed connection postponed it,
    // nothing would be freed while connections keep closing.
    if (event_pending(cleanup_timer_.get(), EV_TIMEOUT, nullptr) == 0) {
        event_add(cleanup_timer_.get(), &delay);
    }
}

void proxy::free_closed(evutil_socket_t /*socket*/, short /*events*/,
                        void* argument)
{
    static_cast<proxy*>(argument)->pairs_.remove_if(
        [](const auto& each) { return each.closed; });
}

} // namespace bulrushspring::site
