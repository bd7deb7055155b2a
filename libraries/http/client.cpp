#include "libraries/http/client.hpp"

#include <algorithm>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace bulrushspring::http
{
namespace
{

// After this long without an acknowledgement of sent bytes the kernel gives a
// connection up: one that a partition cut, or that went silent.
constexpr milliseconds unacknowledged_limit{2000};

void set_options(evutil_socket_t socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto limit = static_cast<unsigned>(unacknowledged_limit.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

// Writes what the socket takes without a turn of the loop, which would cost
// two more system calls; the rest is sent as the peer reads. An error is
// reported by the reading side.
void write_now(bufferevent* to, std::string_view bytes)
{
    if (evbuffer_get_length(bufferevent_get_output(to)) == 0) {
        const auto sent = ::send(bufferevent_getfd(to), bytes.data(),
                                 bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        bytes.remove_prefix(
            static_cast<std::size_t>(std::max<ssize_t>(sent, 0)));
    }
    if (!bytes.empty()) {
        bufferevent_write(to, bytes.data(), bytes.size());
    }
}

} // namespace

struct client::connection {
    client* owner = nullptr;
    connection_id id{};
    endpoint peer;
    shell::stream_handle buffer;
    bool connected = false;
    std::optional<response_parser> parser; // while an answer is due
    bool to_head = false;
    std::string correlation; // of the request that waits
};

client::client(event_base* base, const size_limits& limits,
               std::string correlation_header, client_events events)
    : base_(base), limits_(limits),
      correlation_header_(std::move(correlation_header)),
      events_(std::move(events)),
      free_later_(event_new(base, -1, 0, free_ended, this))
{
}

client::~client() = default;

void client::open(connection_id id, const endpoint& address)
{
    auto made = std::make_unique<connection>();
    made->owner = this;
    made->id = id;
    made->peer = address;
    made->buffer.reset(
        bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
    auto& opened = *made;
    open_.emplace(raw(id), std::move(made));
    bufferevent_setcb(opened.buffer.get(), read, nullptr, notice, &opened);
    bufferevent_enable(opened.buffer.get(), EV_READ | EV_WRITE);
    const sockaddr_in to = shell::to_socket_address(address);
    // A failure at once is reported through `notice` like a later one.
    bufferevent_socket_connect(
        opened.buffer.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

void client::send(connection_id id, const request& message)
{
    const auto found = open_.find(raw(id));
    if (found == open_.end()) {
        return;
    }
    auto& to = *found->second;
    to.to_head = message.method == "HEAD";
    to.parser.emplace(limits_, to.to_head);
    to.correlation = value_of(message.headers, correlation_header_);
    write_now(to.buffer.get(), render(message));
}

bool client::belongs(const connection& to, const response& answer) const
{
    const auto named = value_of(answer.headers, correlation_header_);
    return named.empty() || named == to.correlation;
}

void client::close(connection_id id)
{
    const auto found = open_.find(raw(id));
    if (found != open_.end()) {
        end(*found->second);
    }
}

void client::read(bufferevent* /*buffer*/, void* which)
{
    auto& from = *static_cast<connection*>(which);
    from.owner->take_input(from);
}

void client::take_input(connection& from)
{
    evbuffer* input = bufferevent_get_input(from.buffer.get());
    if (!from.parser) {
        fail(from, errc::malformed, "bytes without a request");
        return;
    }
    for (;;) {
        std::size_t used = 0;
        const auto state = from.parser->take(shell::content_of(input), used);
        evbuffer_drain(input, used);
        if (state == progress::need_more) {
            return;
        }
        if (state != progress::done) {
            fail(from, errc::malformed, "not an answer");
            return;
        }
        const auto& answer = from.parser->message();
        if (answer.status == 101) {
            fail(from, errc::malformed, "switched protocols");
            return;
        }
        if (answer.status >= 200 && belongs(from, answer)) {
            break;
        }
        // An interim answer, or a late one to an earlier request.
        from.parser.emplace(limits_, from.to_head);
    }
    const bool clean = evbuffer_get_length(input) == 0;
    finish(from, clean && from.parser->keep_alive());
}

void client::finish(connection& from, bool reusable)
{
    response answer = std::move(from.parser->message());
    from.parser.reset();
    const connection_id id = from.id;
    if (!reusable) {
        end(from);
    }
    events_.answered(id, std::move(answer), reusable);
}

void client::notice(bufferevent* /*buffer*/, short what, void* which)
{
    auto& from = *static_cast<connection*>(which);
    auto& owner = *from.owner;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        from.connected = true;
        set_options(bufferevent_getfd(from.buffer.get()));
        owner.events_.opened(from.id);
        return;
    }
    const bool ended = (what & BEV_EVENT_EOF) != 0;
    if (ended && from.parser && from.parser->take_end() == progress::done &&
        owner.belongs(from, from.parser->message())) {
        owner.finish(from, false);
        return;
    }
    const int cause = EVUTIL_SOCKET_ERROR();
    owner.fail(from,
               ended ? make_error_code(errc::closed)
                     : std::error_code(cause, std::generic_category()),
               from.connected ? "while open" : "while connecting");
}

void client::fail(connection& failed, std::error_code code, std::string detail)
{
    const connection_id id = failed.id;
    error cause{code, "talk HTTP", to_string(failed.peer), std::move(detail)};
    end(failed);
    events_.closed(id, std::move(cause));
}

// The connection stays until the loop is out of its callbacks; its socket is
// closed at once.
void client::end(connection& ended)
{
    const auto found = open_.find(raw(ended.id));
    if (found == open_.end()) {
        return;
    }
    bufferevent_disable(ended.buffer.get(), EV_READ | EV_WRITE);
    bufferevent_setcb(ended.buffer.get(), nullptr, nullptr, nullptr, nullptr);
    ended_.push_back(std::move(found->second));
    open_.erase(found);
    event_active(free_later_.get(), EV_TIMEOUT, 0);
}

void client::free_ended(evutil_socket_t /*socket*/, short /*what*/, void* self)
{
    static_cast<client*>(self)->ended_.clear();
}

} // namespace bulrushspring::http
