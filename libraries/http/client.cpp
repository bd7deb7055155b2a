#include "libraries/http/client.hpp"

#include <algorithm>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace bulrushspring::http
{
namespace
{

// The kernel closes a connection whose sent bytes stay unacknowledged for this
// long, as on a network partition or when the peer's machine stops.
constexpr milliseconds unacknowledged_timeout{2000};
// The number of interim and late answers skipped while one answer is awaited.
constexpr std::size_t max_skipped_answers = 16;
// A body in chunks of one byte takes six times its size on the connection.
constexpr std::uint64_t max_framing_factor = 8;
// The bound on the bytes that all unfinished answers of a client hold together,
// without an account.
constexpr std::uint64_t max_held_bytes = 32UL * 1024 * 1024;

std::string describe_failure(parse_status status, const size_limits& limits)
{
    if (status == parse_status::header_too_long) {
        return "expected headers of at most " +
               std::to_string(limits.header_bytes) + " bytes, found more";
    }
    if (status == parse_status::body_too_long) {
        return "expected a body of at most " +
               std::to_string(limits.body_bytes) + " bytes, found more";
    }
    return "expected an HTTP/1.1 answer, found a malformed one";
}

errc code_of(parse_status status)
{
    return status == parse_status::header_too_long ||
                   status == parse_status::body_too_long
               ? errc::too_large
               : errc::malformed;
}

void set_options(evutil_socket_t socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto limit = static_cast<unsigned>(unacknowledged_timeout.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
}

// A socket with a limited receive buffer, which has to be set before the
// connection is made; -1 if there is no descriptor for it.
int make_small_socket()
{
    const int made =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int size = memory::opened_receive_buffer;
    setsockopt(made, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    return made;
}

// Writes directly to the socket as much as it accepts, since a write by way of
// the event loop costs two more system calls. The rest is queued. Errors are
// ignored here, because the read side reports them.
void write_immediately(bufferevent* to, std::string_view bytes)
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
    std::optional<response_parser> parser; // set while an answer is outstanding
    bool head_request = false;  // the outstanding request is a HEAD request
    std::string correlation;    // of the outstanding request
    std::size_t skipped = 0;    // answers skipped since the request
    std::uint64_t accepted = 0; // bytes parsed since the request
    std::uint64_t held = 0;     // memory occupied, unparsed bytes included
    bool repeatable = true;     // the outstanding request can be sent again
    bool unread = false;        // the server has not read all of the request
    memory::charge memory;
};

client::client(event_base* base, const size_limits& limits,
               std::string correlation_header, client_events events,
               memory::account* account)
    : base_(base), limits_(limits), account_(account),
      correlation_header_(std::move(correlation_header)),
      events_(std::move(events)),
      deferred_free_(event_new(base, -1, 0, on_free_retired, this))
{
}

client::~client() = default;

// Whether the answer is a large one that may not be dropped. Reading the rest
// of a small one costs less than what it holds already.
bool client::may_pause(const connection& of)
{
    return of.parser && !of.repeatable &&
           of.held > static_cast<std::uint64_t>(memory::opened_receive_buffer);
}

bool client::has_account() const
{
    return account_ != nullptr && account_->limits.bytes != 0;
}

void client::open(connection_id id, const endpoint& address)
{
    auto made = std::make_unique<connection>();
    made->owner = this;
    made->id = id;
    made->peer = address;
    made->buffer.reset(
        bufferevent_socket_new(base_, has_account() ? make_small_socket() : -1,
                               BEV_OPT_CLOSE_ON_FREE));
    made->memory = memory::charge(account_, memory::connection_objects);
    auto& opened = *made;
    open_.emplace(raw(id), std::move(made));
    bufferevent_setcb(opened.buffer.get(), on_read, on_written, on_event,
                      &opened);
    bufferevent_enable(opened.buffer.get(), EV_READ | EV_WRITE);
    const sockaddr_in to = shell::to_socket_address(address);
    // An immediate failure is reported through on_event, like a later one.
    bufferevent_socket_connect(
        opened.buffer.get(), reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

void client::send(connection_id id, const request& message, bool repeatable)
{
    const auto found = open_.find(raw(id));
    if (found == open_.end()) {
        return;
    }
    auto& to = *found->second;
    to.head_request = message.method == "HEAD";
    to.repeatable = repeatable;
    to.parser.emplace(limits_, to.head_request);
    to.correlation = header_value(message.headers, correlation_header_);
    to.skipped = 0;
    to.accepted = 0;
    write_immediately(to.buffer.get(), serialize_message(message));
    const auto unsent =
        evbuffer_get_length(bufferevent_get_output(to.buffer.get()));
    if (unsent == 0) {
        return;
    }
    hold(to, unsent);
    to.unread = true;
    if (events_.on_unread) {
        events_.on_unread(id, true);
    }
}

// Called when queued bytes of a request have been sent.
void client::on_written(bufferevent* buffer, void* argument)
{
    auto& to = *static_cast<connection*>(argument);
    auto& owner = *to.owner;
    if (!to.unread || evbuffer_get_length(bufferevent_get_output(buffer)) > 0) {
        return;
    }
    to.unread = false;
    owner.hold(to, to.parser ? to.parser->held_bytes() : 0);
    if (owner.events_.on_unread) {
        owner.events_.on_unread(to.id, false);
    }
}

bool client::matches_request(const connection& to, const response& answer) const
{
    const auto correlation = header_value(answer.headers, correlation_header_);
    return correlation.empty() || correlation == to.correlation;
}

void client::close(connection_id id)
{
    const auto found = open_.find(raw(id));
    if (found != open_.end()) {
        retire(*found->second);
    }
}

void client::on_read(bufferevent* /*buffer*/, void* argument)
{
    auto& from = *static_cast<connection*>(argument);
    auto* account = from.owner->account_;
    from.owner->handle_input(from);
    memory::reclaim_if_over(account);
}

void client::handle_input(connection& from)
{
    evbuffer* input = bufferevent_get_input(from.buffer.get());
    if (!from.parser) {
        fail(from, errc::malformed,
             "expected no data without a request outstanding, found some");
        return;
    }
    for (;;) {
        std::size_t used = 0;
        const auto state = from.parser->feed(shell::content_of(input), used);
        evbuffer_drain(input, used);
        from.accepted += used;
        if (state == parse_status::need_more) {
            check_bounds(from);
            return;
        }
        if (state != parse_status::done) {
            fail(from, code_of(state), describe_failure(state, limits_));
            return;
        }
        const auto& answer = from.parser->message();
        if (answer.status == 101) {
            fail(from, errc::malformed,
                 "unexpected status 101 (Switching Protocols)");
            return;
        }
        if (answer.status >= 200 && matches_request(from, answer)) {
            break;
        }
        // Skips an interim answer or a late answer to an earlier request.
        if (++from.skipped > max_skipped_answers) {
            fail(from, errc::malformed,
                 "expected the answer to the request, found more than " +
                     std::to_string(max_skipped_answers) +
                     " interim or late answers");
            return;
        }
        if (answer.status >= 200 && events_.on_late_answer) {
            events_.on_late_answer(from.id);
        }
        from.parser.emplace(limits_, from.head_request);
    }
    const bool clean = evbuffer_get_length(input) == 0;
    deliver(from, clean && from.parser->keep_alive());
}

// Fails the connection if its unfinished answer exceeds the bounds, or else
// the one that holds the most if all of them together exceed theirs. The
// connection may be gone afterwards.
void client::check_bounds(connection& from)
{
    const std::uint64_t unparsed =
        evbuffer_get_length(bufferevent_get_input(from.buffer.get()));
    const std::uint64_t accepted_limit =
        max_framing_factor * (limits_.header_bytes + limits_.body_bytes);
    if (unparsed > limits_.header_bytes) {
        fail(from, errc::malformed,
             "expected chunk headers and trailers of at most " +
                 std::to_string(limits_.header_bytes) + " bytes, found " +
                 std::to_string(unparsed) + " bytes without an end");
        return;
    }
    if (from.accepted > accepted_limit) {
        fail(from, errc::malformed,
             "expected an answer within " + std::to_string(accepted_limit) +
                 " bytes, found no end after " + std::to_string(from.accepted));
        return;
    }
    hold(from,
         unparsed + from.parser->held_bytes() +
             evbuffer_get_length(bufferevent_get_output(from.buffer.get())));
    if (paused_ && may_pause(from)) {
        bufferevent_disable(from.buffer.get(), EV_READ);
    }
    if (has_account() || held_bytes_ <= max_held_bytes) {
        return;
    }
    const auto largest = std::max_element(
        open_.begin(), open_.end(), [](const auto& one, const auto& other) {
            return one.second->held < other.second->held;
        });
    fail(*largest->second, errc::too_large,
         "expected unfinished answers of at most " +
             std::to_string(max_held_bytes) + " bytes in total, found " +
             std::to_string(held_bytes_) + ", the largest here");
}

void client::hold(connection& by, std::uint64_t bytes)
{
    held_bytes_ = held_bytes_ - by.held + bytes;
    by.held = bytes;
    by.memory.set(memory::connection_objects + bytes);
}

void client::list_candidates(std::vector<memory::candidate>& all,
                             std::uint32_t holder) const
{
    for (const auto& [id, each] : open_) {
        if (each->parser && each->repeatable && each->held > 0) {
            memory::candidate found;
            found.kind = memory::drop_kind::response;
            found.bytes = each->held;
            found.holder = holder;
            found.id = id;
            all.push_back(found);
        }
    }
}

void client::drop(const memory::candidate& what)
{
    const auto found = open_.find(what.id);
    if (found != open_.end()) {
        // Not too_large: the answer itself is within its limits, and the store
        // client repeats such a call instead of skipping what it read.
        fail(*found->second, errc::overloaded,
             "expected memory for the answer within the process's limit, found "
             "none");
    }
}

void client::pause_unrepeatable(bool paused)
{
    if (paused == paused_) {
        return;
    }
    paused_ = paused;
    for (const auto& [id, each] : open_) {
        if (!paused) {
            bufferevent_enable(each->buffer.get(), EV_READ);
        } else if (may_pause(*each)) {
            bufferevent_disable(each->buffer.get(), EV_READ);
        }
    }
}

void client::deliver(connection& from, bool reusable)
{
    hold(from, 0);
    response answer = std::move(from.parser->message());
    from.parser.reset();
    const connection_id id = from.id;
    if (!reusable) {
        retire(from);
    }
    events_.on_answer(id, std::move(answer), reusable);
}

void client::on_event(bufferevent* /*buffer*/, short what, void* argument)
{
    auto& from = *static_cast<connection*>(argument);
    auto& owner = *from.owner;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        from.connected = true;
        set_options(bufferevent_getfd(from.buffer.get()));
        owner.events_.on_connected(from.id);
        return;
    }
    const bool ended = (what & BEV_EVENT_EOF) != 0;
    if (ended && from.parser && from.parser->feed_eof() == parse_status::done &&
        owner.matches_request(from, from.parser->message())) {
        owner.deliver(from, false);
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
    error cause{code, "exchange over HTTP", to_string(failed.peer),
                std::move(detail)};
    retire(failed);
    events_.on_closed(id, std::move(cause));
}

// Removes the connection and stops its events. The object and its socket are
// freed by deferred_free_ once the event loop has left the connection's
// callbacks.
void client::retire(connection& retired)
{
    const auto found = open_.find(raw(retired.id));
    if (found == open_.end()) {
        return;
    }
    hold(retired, 0);
    retired.memory.set(0);
    bufferevent_disable(retired.buffer.get(), EV_READ | EV_WRITE);
    bufferevent_setcb(retired.buffer.get(), nullptr, nullptr, nullptr, nullptr);
    retired_.push_back(std::move(found->second));
    open_.erase(found);
    event_active(deferred_free_.get(), EV_TIMEOUT, 0);
}

void client::on_free_retired(evutil_socket_t /*socket*/, short /*what*/,
                             void* self)
{
    static_cast<client*>(self)->retired_.clear();
}

} // namespace bulrushspring::http
