#include "libraries/http/server.hpp"

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bulrushspring::http
{
namespace
{

// Large enough for all callers of a VM to reconnect at the same time.
constexpr int listen_backlog = 1024;
// How long input is still read after the answer on a connection that is to
// be closed. Closing a socket with unread input resets the connection, which
// could discard the answer before the caller has read it.
constexpr milliseconds linger_time{1000};
// Limit on input buffered while a request is in progress; the rest stays in
// the socket's buffer. With an account, the limit is the longest header, which
// is parsed at once, and this much more.
constexpr std::size_t max_buffered_input = 65536;
constexpr std::size_t input_beyond_header = 4096;
// A request that has been incomplete for this long is a slow one.
constexpr seconds slow_request_time{1};

bool has_unread_input(evutil_socket_t socket)
{
    char next = 0;
    return recv(socket, &next, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// The round-trip time that the kernel has measured; 0 if it tells none.
duration round_trip_of(evutil_socket_t socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return duration{0};
    }
    return std::chrono::microseconds{info.tcpi_rtt};
}

} // namespace

struct server::connection {
    server* owner = nullptr;
    std::uint64_t id = 0;
    endpoint peer;
    shell::stream_handle buffer;
    request_parser parser;
    // Measured when the connection was established.
    duration round_trip{0};
    phase state = phase::reading;
    bool header_timer_armed = false; // header_timeout is running
    bool close = false;              // after the current answer
    bool head_request = false;
    bool continue_sent = false;
    bool repeatable = true;     // the answer that is being sent
    std::uint64_t received = 0; // bytes of a partial request
    boot_time begun_at{};       // of a partial request
    boot_time linger_until{};
    std::uint64_t last_use = 0; // memory::account::last_activity
    memory::charge memory;
};

server::server(event_base* base, server_events events, memory::account* account)
    : base_(base), events_(std::move(events)), account_(account),
      deferred_free_(event_new(base, -1, 0, on_free_retired, this)),
      deferred_finish_(event_new(base, -1, 0, on_finish, this))
{
}

server::~server() = default;

std::size_t server::count(phase state) const
{
    return static_cast<std::size_t>(
        std::count_if(open_.begin(), open_.end(), [state](const auto& each) {
            return each.second->state == state;
        }));
}

result<std::unique_ptr<server>> server::listen(event_base* base,
                                               const endpoint& address,
                                               server_events events,
                                               memory::account* account)
{
    std::unique_ptr<server> made(new server(base, std::move(events), account));
    const sockaddr_in where = shell::to_socket_address(address);
    made->listener_.reset(evconnlistener_new_bind(
        base, on_accept, made.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        listen_backlog, reinterpret_cast<const sockaddr*>(&where),
        sizeof where));
    if (!made->listener_) {
        return error{std::error_code(errno, std::generic_category()),
                     "listen for HTTP", to_string(address), ""};
    }
    if (account != nullptr && account->limits.bytes != 0) {
        // Accepted sockets inherit the size.
        const int size = memory::accepted_receive_buffer;
        setsockopt(evconnlistener_get_fd(made->listener_.get()), SOL_SOCKET,
                   SO_RCVBUF, &size, sizeof size);
    }
    return made;
}

endpoint server::address() const
{
    return shell::bound_endpoint(evconnlistener_get_fd(listener_.get()));
}

void server::set_limits(const server_limits& limits)
{
    limits_ = limits;
    for (const auto& [id, each] : open_) {
        limit_input(*each);
        if (each->parser.begun()) {
            continue;
        }
        each->parser = request_parser(limits_.sizes);
        if (each->state == phase::reading) {
            await_request(*each);
        }
    }
}

void server::on_accept(evconnlistener* /*listener*/, evutil_socket_t socket,
                       sockaddr* from, int /*size*/, void* self)
{
    auto& owner = *static_cast<server*>(self);
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto made = std::make_unique<connection>(connection{
        &owner, ++owner.last_id_,
        shell::from_socket_address(*reinterpret_cast<sockaddr_in*>(from)),
        shell::stream_handle(
            bufferevent_socket_new(owner.base_, socket, BEV_OPT_CLOSE_ON_FREE)),
        request_parser(owner.limits_.sizes)});
    auto& accepted = *made;
    accepted.round_trip = round_trip_of(socket);
    owner.open_.emplace(accepted.id, std::move(made));
    bufferevent_setcb(accepted.buffer.get(), on_read, on_written, on_event,
                      &accepted);
    owner.limit_input(accepted);
    owner.await_request(accepted);
    bufferevent_enable(accepted.buffer.get(), EV_READ | EV_WRITE);
    if (auto* account = owner.account_) {
        ++account->connections;
        accepted.memory = memory::charge(account, memory::accepted_connection);
        memory::reclaim_if_over(account);
        if (memory::excess_connections(*account) > 0) {
            owner.retire(accepted);
        }
    }
}

// Every way in which bytes arrive, or are queued, ends in a check of the
// account, once no connection is used any more.
void server::on_read(bufferevent* /*buffer*/, void* argument)
{
    auto& from = *static_cast<connection*>(argument);
    auto* account = from.owner->account_;
    from.owner->handle_input(from);
    memory::reclaim_if_over(account);
}

void server::charge_memory(connection& of) const
{
    if (account_ != nullptr) {
        auto* stream = of.buffer.get();
        of.memory.set(memory::accepted_connection + of.parser.held_bytes() +
                      evbuffer_get_length(bufferevent_get_input(stream)) +
                      evbuffer_get_length(bufferevent_get_output(stream)));
    }
}

bool server::has_memory_limit() const
{
    return account_ != nullptr && account_->limits.bytes != 0;
}

void server::limit_input(connection& of) const
{
    const std::size_t most =
        has_memory_limit() ? limits_.sizes.header_bytes + input_beyond_header
                           : max_buffered_input;
    bufferevent_setwatermark(of.buffer.get(), EV_READ, 0, most);
}

void server::await_request(connection& from)
{
    from.state = phase::reading;
    from.header_timer_armed = false;
    from.continue_sent = false;
    from.received = 0;
    if (account_ != nullptr) {
        from.last_use = ++account_->last_activity;
    }
    const timeval idle = shell::to_timeval(limits_.idle_timeout);
    bufferevent_set_timeouts(from.buffer.get(), &idle, nullptr);
}

void server::handle_input(connection& from)
{
    evbuffer* input = bufferevent_get_input(from.buffer.get());
    if (from.state == phase::lingering) {
        evbuffer_drain(input, evbuffer_get_length(input));
        if (has_memory_limit() &&
            system_boot_clock{}.now() >= from.linger_until) {
            retire(from);
        }
        return;
    }
    if (from.state != phase::reading) {
        charge_memory(from);
        return; // the next request stays buffered until this one is answered
    }
    std::size_t used = 0;
    const auto state = from.parser.feed(shell::content_of(input), used);
    evbuffer_drain(input, used);
    switch (state) {
    case parse_status::done:
        dispatch_request(from);
        return;
    case parse_status::malformed:
        reject(from, 400);
        return;
    case parse_status::header_too_long:
        reject(from, 431);
        return;
    case parse_status::body_too_long:
        reject(from, 413);
        return;
    case parse_status::need_more:
        handle_partial_request(from, used);
        break;
    }
}

void server::handle_partial_request(connection& from, std::size_t used)
{
    evbuffer* input = bufferevent_get_input(from.buffer.get());
    if (account_ != nullptr) {
        const auto now = system_boot_clock{}.now();
        if (!from.header_timer_armed) {
            from.begun_at = now;
        } else if (has_memory_limit() && !from.parser.header_done() &&
                   now - from.begun_at >= limits_.header_timeout) {
            reject(from, 408); // header fields that arrive too slowly
            return;
        }
        from.received += used;
        from.last_use = ++account_->last_activity;
        charge_memory(from);
    }
    if (!from.header_timer_armed && evbuffer_get_length(input) + used > 0) {
        from.header_timer_armed = true;
        const timeval limit = shell::to_timeval(limits_.header_timeout);
        bufferevent_set_timeouts(from.buffer.get(), &limit, nullptr);
    }
    if (from.parser.header_done() && !from.continue_sent &&
        equal_ignoring_case(
            header_value(from.parser.message().headers, "expect"),
            "100-continue")) {
        from.continue_sent = true;
        constexpr std::string_view continue_response =
            "HTTP/1.1 100 Continue\r\n\r\n";
        bufferevent_write(from.buffer.get(), continue_response.data(),
                          continue_response.size());
    }
}

void server::dispatch_request(connection& from)
{
    request message = std::move(from.parser.message());
    message.round_trip = from.round_trip;
    message.peer_address = from.peer.address;
    const bool one_host = header_count(message.headers, "host") == 1;
    if (!one_host || message.target.empty() || message.target[0] != '/') {
        reject(from, 400);
        return;
    }
    from.state = phase::answering;
    from.close = !from.parser.keep_alive();
    from.head_request = message.method == "HEAD";
    bufferevent_set_timeouts(from.buffer.get(), nullptr, nullptr);
    from.parser = request_parser(limits_.sizes);
    charge_memory(from);
    events_.on_request(caller_token{from.id}, std::move(message));
}

void server::reject(connection& from, unsigned status)
{
    constexpr unsigned unavailable = 503;
    response answer{status, "", {}, ""};
    if (status == unavailable) {
        answer.headers.push_back({"Retry-After", "1"});
    }
    events_.on_rejected(status, from.peer);
    if (events_.complete_rejection) {
        events_.complete_rejection(from.parser.message(), answer);
    }
    from.repeatable = true;
    from.parser = request_parser(limits_.sizes);
    write(from, serialize_message(answer, true, false), true);
}

void server::respond(caller_token token, const response& answer,
                     bool repeatable)
{
    const auto found = open_.find(raw(token));
    if (found == open_.end() || found->second->state != phase::answering) {
        return;
    }
    auto& to = *found->second;
    const bool close = to.close || closing_;
    to.repeatable = repeatable;
    write(to, serialize_message(answer, close, to.head_request), close);
}

void server::respond_raw(caller_token token, std::string_view bytes, bool close)
{
    const auto found = open_.find(raw(token));
    if (found != open_.end() && found->second->state == phase::answering) {
        write(*found->second, bytes, close);
    }
}

void server::disconnect(caller_token token)
{
    const auto found = open_.find(raw(token));
    if (found != open_.end()) {
        retire(*found->second);
    }
}

void server::write(connection& to, std::string_view bytes, bool close)
{
    to.close = close;
    to.state = phase::flushing;
    bufferevent_write(to.buffer.get(), bytes.data(), bytes.size());
    charge_memory(to);
    // A caller that does not read its answer is disconnected after the idle
    // timeout.
    const timeval limit = shell::to_timeval(limits_.idle_timeout);
    bufferevent_set_timeouts(to.buffer.get(), nullptr, &limit);
}

void server::on_written(bufferevent* buffer, void* argument)
{
    auto& to = *static_cast<connection*>(argument);
    auto& owner = *to.owner;
    if (to.state != phase::flushing ||
        evbuffer_get_length(bufferevent_get_output(buffer)) != 0) {
        return;
    }
    const bool becomes_idle =
        evbuffer_get_length(bufferevent_get_input(buffer)) == 0;
    if (to.close || (owner.finished_ && becomes_idle &&
                     !has_unread_input(bufferevent_getfd(buffer)))) {
        to.state = phase::lingering;
        to.linger_until = system_boot_clock{}.now() + linger_time;
        owner.charge_memory(to);
        shutdown(bufferevent_getfd(buffer), SHUT_WR);
        const timeval limit = shell::to_timeval(linger_time);
        bufferevent_set_timeouts(buffer, &limit, nullptr);
        owner.handle_input(to);
        return;
    }
    owner.await_request(to);
    owner.charge_memory(to);
    if (evbuffer_get_length(bufferevent_get_input(buffer)) > 0) {
        auto* account = owner.account_;
        owner.handle_input(to);
        memory::reclaim_if_over(account);
    }
}

void server::on_timeout(connection& from)
{
    const bool incomplete =
        from.state == phase::reading && from.header_timer_armed;
    if (incomplete) {
        reject(from, 408);
        return;
    }
    retire(from);
}

void server::on_event(bufferevent* /*buffer*/, short what, void* argument)
{
    auto& from = *static_cast<connection*>(argument);
    auto& owner = *from.owner;
    if ((what & BEV_EVENT_TIMEOUT) != 0) {
        owner.on_timeout(from);
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        const bool unanswered = from.state == phase::answering;
        const caller_token token{from.id};
        owner.retire(from);
        if (unanswered) {
            owner.events_.on_disconnected(token);
        }
    }
}

void server::list_candidates(std::vector<memory::candidate>& all,
                             std::uint32_t holder, boot_time now) const
{
    for (const auto& [id, each] : open_) {
        auto* stream = each->buffer.get();
        memory::candidate found;
        found.holder = holder;
        found.id = id;
        found.last_use = each->last_use;
        const auto unparsed =
            evbuffer_get_length(bufferevent_get_input(stream));
        const auto charged = each->memory.bytes();
        if (each->state == phase::reading && each->header_timer_armed) {
            const std::chrono::duration<double> age = now - each->begun_at;
            found.kind = memory::drop_kind::partial_request;
            found.progress = static_cast<double>(each->received + unparsed) /
                             std::max(age.count(), 1e-3);
            found.slow = now - each->begun_at >= slow_request_time;
            found.bytes =
                charged - std::min(charged, memory::accepted_connection);
        } else if (each->state == phase::reading) {
            found.kind = memory::drop_kind::idle_connection;
            found.bytes = charged;
        } else if (each->state == phase::lingering) {
            found.kind = memory::drop_kind::idle_connection;
            found.bytes = charged;
            found.last_use = 0;
        } else if (each->state == phase::flushing && each->repeatable) {
            found.kind = memory::drop_kind::response;
            found.bytes = charged;
        } else {
            continue;
        }
        all.push_back(found);
    }
}

void server::drop(const memory::candidate& what)
{
    constexpr unsigned unavailable = 503;
    const auto found = open_.find(what.id);
    if (found == open_.end() || found->second->state == phase::answering) {
        return;
    }
    auto& dropped = *found->second;
    if (what.kind != memory::drop_kind::partial_request) {
        retire(dropped);
        return;
    }
    evbuffer* input = bufferevent_get_input(dropped.buffer.get());
    evbuffer_drain(input, evbuffer_get_length(input));
    reject(dropped, unavailable);
}

void server::close(const memory::candidate& what)
{
    const auto found = open_.find(what.id);
    if (found != open_.end() && found->second->state != phase::answering) {
        retire(*found->second);
    }
}

// Removes the connection and stops its events. The object and its socket are
// freed by deferred_free_ once the event loop has left the connection's
// callbacks.
void server::retire(connection& retired)
{
    const auto found = open_.find(retired.id);
    if (found == open_.end()) {
        return;
    }
    if (account_ != nullptr) {
        --account_->connections;
        retired.memory.set(0);
    }
    bufferevent_disable(retired.buffer.get(), EV_READ | EV_WRITE);
    bufferevent_setcb(retired.buffer.get(), nullptr, nullptr, nullptr, nullptr);
    retired_.push_back(std::move(found->second));
    open_.erase(found);
    event_active(deferred_free_.get(), EV_TIMEOUT, 0);
}

void server::on_free_retired(evutil_socket_t /*socket*/, short /*what*/,
                             void* self)
{
    auto& owner = *static_cast<server*>(self);
    owner.retired_.clear();
    owner.report_if_finished();
}

void server::finish(std::function<void()> finished)
{
    finished_ = std::move(finished);
    closing_ = true;
    // Input that has arrived by now is read before the timeout is handled.
    const timeval at_once{};
    event_add(deferred_finish_.get(), &at_once);
}

void server::on_finish(evutil_socket_t /*socket*/, short /*what*/, void* self)
{
    auto& owner = *static_cast<server*>(self);
    owner.listener_.reset();
    owner.close_idle();
    owner.report_if_finished();
}

void server::close_idle()
{
    std::vector<connection*> idle;
    for (const auto& [id, each] : open_) {
        if (each->state == phase::reading && !each->parser.begun() &&
            !has_unread_input(bufferevent_getfd(each->buffer.get()))) {
            idle.push_back(each.get());
        }
    }
    for (auto* each : idle) {
        retire(*each);
    }
}

void server::report_if_finished()
{
    if (finished_ && !listener_ && open_.empty()) {
        std::exchange(finished_, nullptr)();
    }
}

} // namespace bulrushspring::http
