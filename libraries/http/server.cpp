#include "libraries/http/server.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bulrushspring::http
{
namespace
{

// A backlog that holds all callers of a VM that reconnect at once.
constexpr int backlog = 1024;
// How long a refused or closing connection is read from, so that bytes on
// their way don't reset it before the caller has the answer.
constexpr milliseconds linger_time{1000};
// Input kept while a request is in progress; more waits in the socket.
constexpr std::size_t most_waiting_input = 65536;

} // namespace

struct server::connection {
    server* owner = nullptr;
    std::uint64_t id = 0;
    endpoint peer;
    shell::stream_handle buffer;
    request_parser parser;
    phase now = phase::reading;
    bool timing_header = false; // the header timeout is armed
    bool close = false;         // after the present answer
    bool to_head = false;
    bool told_to_continue = false;
};

server::server(event_base* base, server_events events)
    : base_(base), events_(std::move(events)),
      free_later_(event_new(base, -1, 0, free_ended, this))
{
}

server::~server() = default;

result<std::unique_ptr<server>>
server::listen(event_base* base, const endpoint& address, server_events events)
{
    std::unique_ptr<server> made(new server(base, std::move(events)));
    const sockaddr_in where = shell::to_socket_address(address);
    made->listener_.reset(evconnlistener_new_bind(
        base, accept, made.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        backlog, reinterpret_cast<const sockaddr*>(&where), sizeof where));
    if (!made->listener_) {
        return error{std::error_code(errno, std::generic_category()),
                     "listen for HTTP", to_string(address), ""};
    }
    return made;
}

void server::accept(evconnlistener* /*listener*/, evutil_socket_t socket,
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
    owner.open_.emplace(accepted.id, std::move(made));
    bufferevent_setcb(accepted.buffer.get(), read, written, notice, &accepted);
    bufferevent_setwatermark(accepted.buffer.get(), EV_READ, 0,
                             most_waiting_input);
    owner.await_request(accepted);
    bufferevent_enable(accepted.buffer.get(), EV_READ | EV_WRITE);
}

void server::read(bufferevent* /*buffer*/, void* which)
{
    auto& from = *static_cast<connection*>(which);
    from.owner->take_input(from);
}

void server::await_request(connection& from)
{
    from.now = phase::reading;
    from.timing_header = false;
    from.told_to_continue = false;
    const timeval idle = shell::to_timeval(limits_.idle_timeout);
    bufferevent_set_timeouts(from.buffer.get(), &idle, nullptr);
}

void server::take_input(connection& from)
{
    evbuffer* input = bufferevent_get_input(from.buffer.get());
    if (from.now == phase::lingering) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (from.now != phase::reading) {
        return; // the next request waits for the answer to this one
    }
    std::size_t used = 0;
    const auto state = from.parser.take(shell::content_of(input), used);
    evbuffer_drain(input, used);
    switch (state) {
    case progress::done:
        take_request(from);
        return;
    case progress::bad:
        reject(from, 400);
        return;
    case progress::header_too_long:
        reject(from, 431);
        return;
    case progress::body_too_long:
        reject(from, 413);
        return;
    case progress::need_more:
        break;
    }
    if (!from.timing_header && evbuffer_get_length(input) + used > 0) {
        from.timing_header = true;
        const timeval limit = shell::to_timeval(limits_.header_timeout);
        bufferevent_set_timeouts(from.buffer.get(), &limit, nullptr);
    }
    if (from.parser.header_done() && !from.told_to_continue &&
        same_name(value_of(from.parser.message().headers, "expect"),
                  "100-continue")) {
        from.told_to_continue = true;
        constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        bufferevent_write(from.buffer.get(), go_on.data(), go_on.size());
    }
}

void server::take_request(connection& from)
{
    request message = std::move(from.parser.message());
    const bool one_host = count_of(message.headers, "host") == 1;
    if (!one_host || message.target.empty() || message.target[0] != '/') {
        reject(from, 400);
        return;
    }
    from.now = phase::answering;
    from.close = !from.parser.keep_alive();
    from.to_head = message.method == "HEAD";
    bufferevent_set_timeouts(from.buffer.get(), nullptr, nullptr);
    from.parser = request_parser(limits_.sizes);
    events_.asked(caller_token{from.id}, std::move(message));
}

void server::reject(connection& from, unsigned status)
{
    events_.rejected(status, from.peer);
    write(from, render(response{status, "", {}, ""}, true, false), true);
}

void server::respond(caller_token token, const response& answer)
{
    const auto found = open_.find(raw(token));
    if (found == open_.end() || found->second->now != phase::answering) {
        return;
    }
    auto& to = *found->second;
    const bool close = to.close || closing_;
    write(to, render(answer, close, to.to_head), close);
}

void server::respond_raw(caller_token token, std::string_view bytes, bool close)
{
    const auto found = open_.find(raw(token));
    if (found != open_.end() && found->second->now == phase::answering) {
        write(*found->second, bytes, close);
    }
}

void server::drop(caller_token token)
{
    const auto found = open_.find(raw(token));
    if (found != open_.end()) {
        end(*found->second);
    }
}

void server::write(connection& to, std::string_view bytes, bool close)
{
    to.close = close;
    to.now = phase::flushing;
    bufferevent_write(to.buffer.get(), bytes.data(), bytes.size());
    // A caller that doesn't read is given up like one that is idle.
    const timeval limit = shell::to_timeval(limits_.idle_timeout);
    bufferevent_set_timeouts(to.buffer.get(), nullptr, &limit);
}

void server::written(bufferevent* buffer, void* which)
{
    auto& to = *static_cast<connection*>(which);
    auto& owner = *to.owner;
    if (to.now != phase::flushing ||
        evbuffer_get_length(bufferevent_get_output(buffer)) != 0) {
        return;
    }
    if (to.close) {
        to.now = phase::lingering;
        shutdown(bufferevent_getfd(buffer), SHUT_WR);
        const timeval limit = shell::to_timeval(linger_time);
        bufferevent_set_timeouts(buffer, &limit, nullptr);
        owner.take_input(to);
        return;
    }
    owner.await_request(to);
    if (evbuffer_get_length(bufferevent_get_input(buffer)) > 0) {
        owner.take_input(to);
    }
}

void server::pass_timeout(connection& from)
{
    const bool partial = from.now == phase::reading && from.timing_header;
    if (partial) {
        reject(from, 408);
        return;
    }
    end(from);
}

void server::notice(bufferevent* /*buffer*/, short what, void* which)
{
    auto& from = *static_cast<connection*>(which);
    auto& owner = *from.owner;
    if ((what & BEV_EVENT_TIMEOUT) != 0) {
        owner.pass_timeout(from);
        return;
    }
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        const bool waits = from.now == phase::answering;
        const caller_token token{from.id};
        owner.end(from);
        if (waits) {
            owner.events_.left(token);
        }
    }
}

// The connection stays until the loop is out of its callbacks.
void server::end(connection& ended)
{
    const auto found = open_.find(ended.id);
    if (found == open_.end()) {
        return;
    }
    bufferevent_disable(ended.buffer.get(), EV_READ | EV_WRITE);
    bufferevent_setcb(ended.buffer.get(), nullptr, nullptr, nullptr, nullptr);
    ended_.push_back(std::move(found->second));
    open_.erase(found);
    event_active(free_later_.get(), EV_TIMEOUT, 0);
}

void server::free_ended(evutil_socket_t /*socket*/, short /*what*/, void* self)
{
    static_cast<server*>(self)->ended_.clear();
}

} // namespace bulrushspring::http
