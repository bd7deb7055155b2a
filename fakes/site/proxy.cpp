#include "fakes/site/proxy.hpp"

#include <sys/socket.h>

namespace bulrushspring::site
{

proxy::proxy(event_base* base, const endpoint& address, const endpoint& server)
    : base_(base), server_(server),
      free_later_(event_new(base, -1, 0, free_ended, this))
{
    const auto where = shell::to_socket_address(address);
    constexpr int backlog = 256;
    listener_.reset(evconnlistener_new_bind(
        base, accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog,
        reinterpret_cast<const sockaddr*>(&where), sizeof where));
}

void proxy::accept(evconnlistener* /*listener*/, evutil_socket_t socket,
                   sockaddr* /*from*/, int /*size*/, void* self)
{
    auto& owner = *static_cast<proxy*>(self);
    auto& made = owner.pairs_.emplace_back();
    made.owner = &owner;
    made.near.reset(
        bufferevent_socket_new(owner.base_, socket, BEV_OPT_CLOSE_ON_FREE));
    made.far.reset(
        bufferevent_socket_new(owner.base_, -1, BEV_OPT_CLOSE_ON_FREE));
    made.later.reset(event_new(owner.base_, -1, 0, pass_delay, &made));
    for (auto* side : {made.near.get(), made.far.get()}) {
        bufferevent_setcb(side, read, nullptr, notice, &made);
        bufferevent_enable(side, EV_READ | EV_WRITE);
    }
    const auto to = shell::to_socket_address(owner.server_);
    bufferevent_socket_connect(
        made.far.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

void proxy::set_mood(link_mood mood, duration delay)
{
    mood_ = mood;
    delay_ = delay;
    if (mood == link_mood::well) {
        for (auto& each : pairs_) {
            if (!each.ended) {
                pass_on(each);
            }
        }
    }
}

void proxy::reset_connections()
{
    for (auto& each : pairs_) {
        if (!each.ended) {
            end(each, true);
        }
    }
}

void proxy::pass_on(pair& between)
{
    if (mood_ == link_mood::silent) {
        return;
    }
    bufferevent_write_buffer(between.far.get(),
                             bufferevent_get_input(between.near.get()));
    if (mood_ != link_mood::one_way) {
        bufferevent_write_buffer(between.near.get(),
                                 bufferevent_get_input(between.far.get()));
    }
}

void proxy::read(bufferevent* /*buffer*/, void* which)
{
    auto& between = *static_cast<pair*>(which);
    auto& self = *between.owner;
    if (self.mood_ == link_mood::slow) {
        const auto delay = shell::to_timeval(self.delay_);
        event_add(between.later.get(), &delay);
    } else {
        self.pass_on(between);
    }
}

void proxy::pass_delay(evutil_socket_t /*socket*/, short /*what*/, void* which)
{
    auto& between = *static_cast<pair*>(which);
    between.owner->pass_on(between);
}

void proxy::notice(bufferevent* /*buffer*/, short what, void* which)
{
    auto& between = *static_cast<pair*>(which);
    auto& self = *between.owner;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        self.pass_on(between);
    } else if (self.mood_ != link_mood::silent) {
        self.pass_on(between);
        self.end(between, (what & BEV_EVENT_ERROR) != 0);
    }
}

// The other side is ended in the same way; it is freed later, when what it
// was sent has left.
void proxy::end(pair& between, bool reset)
{
    between.ended = true;
    for (auto* side : {between.near.get(), between.far.get()}) {
        bufferevent_setcb(side, nullptr, nullptr, nullptr, nullptr);
        const auto socket = bufferevent_getfd(side);
        if (reset && socket >= 0) {
            const linger at_once{1, 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        }
    }
    const auto moment =
        shell::to_timeval(reset ? milliseconds{0} : milliseconds{50});
    // A pending timer is left as it is: one that is put off by each further
    // end would free nothing while connections keep ending.
    if (event_pending(free_later_.get(), EV_TIMEOUT, nullptr) == 0) {
        event_add(free_later_.get(), &moment);
    }
}

void proxy::free_ended(evutil_socket_t /*socket*/, short /*what*/, void* self)
{
    static_cast<proxy*>(self)->pairs_.remove_if(
        [](const auto& each) { return each.ended; });
}

} // namespace bulrushspring::site
