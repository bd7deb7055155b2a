#include "libraries/shell/peer_streams.hpp"

#include "libraries/wire/frame.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace bulrushspring::shell
{
namespace
{

constexpr std::size_t max_incoming_streams = 64;
// Requests that have not arrived completely may hold this much together, which
// is one of the largest size. They are small, and arrive at once, from daemons
// that work.
constexpr std::size_t max_partial_bytes = wire::max_frame_bytes;
// The time allowed for a whole exchange.
constexpr seconds max_exchange{5};
constexpr int listen_backlog = 128;
// While more than this of replies is unsent, no further large reply is begun.
// Many of them at a time would all be late, and hold as much memory.
constexpr std::size_t max_unsent_bytes = 512UL * 1024;
// Smaller replies fit into a few packets anyway.
constexpr std::size_t min_compressed_bytes = 4096;

error stream_error(errc code, const char* step, const endpoint& peer)
{
    return error{code, step, to_string(peer), ""};
}

// How much of a frame has arrived.
std::string describe_input(evbuffer* input)
{
    std::array<char, wire::frame_prefix_bytes> prefix{};
    const auto arrived = evbuffer_get_length(input);
    const auto copied = evbuffer_copyout(input, prefix.data(), prefix.size());
    const auto size = wire::frame_size(
        {prefix.data(),
         static_cast<std::size_t>(std::max<ev_ssize_t>(copied, 0))},
        "");
    return "after " + std::to_string(arrived) + " of " +
           (size && size.value() > 0 ? std::to_string(size.value()) : "?") +
           " bytes";
}

// Whether the reply may be large. A peer that gets none asks another one.
bool is_bulk(const wire::peer_reply& reply)
{
    return !std::holds_alternative<wire::leaf_contact_reply>(reply) &&
           !std::holds_alternative<wire::crash_reports_reply>(reply) &&
           !std::holds_alternative<wire::crash_trial_reply>(reply);
}

bool write_frame(bufferevent* buffer, const result<std::string>& frame)
{
    return frame.has_value() && bufferevent_write(buffer, frame.value().data(),
                                                  frame.value().size()) == 0;
}

} // namespace

peer_streams::peer_streams(event_base* base, sink out)
    : base_(base), sink_(std::move(out)),
      deferred_free_(event_new(base, -1, 0, on_free_ended, this))
{
}

result<std::unique_ptr<peer_streams>>
peer_streams::listen(event_base* base, const endpoint& address, sink out)
{
    std::unique_ptr<peer_streams> made(new peer_streams(base, std::move(out)));
    const sockaddr_in where = to_socket_address(address);
    made->listener_.reset(evconnlistener_new_bind(
        base, on_accept, made.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        listen_backlog, reinterpret_cast<const sockaddr*>(&where),
        sizeof where));
    if (!made->listener_) {
        return error{std::error_code(errno, std::generic_category()),
                     "listen for TCP", to_string(address), ""};
    }
    if (made->sink_.account != nullptr &&
        made->sink_.account->limits.bytes != 0) {
        // Accepted sockets inherit the size.
        const int size = memory::opened_receive_buffer;
        setsockopt(evconnlistener_get_fd(made->listener_.get()), SOL_SOCKET,
                   SO_RCVBUF, &size, sizeof size);
    }
    return made;
}

std::unique_ptr<peer_streams::stream>
peer_streams::make_stream(evutil_socket_t socket, duration timeout)
{
    auto made = std::make_unique<stream>();
    made->owner = this;
    made->memory = memory::charge(sink_.account, memory::connection_objects);
    made->buffer.reset(
        bufferevent_socket_new(base_, socket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(made->buffer.get(), on_read, nullptr, on_event,
                      made.get());
    bufferevent_enable(made->buffer.get(), EV_READ | EV_WRITE);
    made->timer.reset(event_new(base_, -1, 0, on_timeout, made.get()));
    made->timeout = timeout;
    made->begun_at = system_boot_clock{}.now();
    restart_timer(*made);
    return made;
}

// An exchange that makes progress may take longer than its timeout, since a
// busy link shares its bandwidth among many.
void peer_streams::restart_timer(stream& of)
{
    const duration left =
        of.begun_at + max_exchange - system_boot_clock{}.now();
    const timeval limit = to_timeval(std::min(of.timeout, left));
    event_add(of.timer.get(), &limit);
}

void peer_streams::on_accept(evconnlistener* /*listener*/,
                             evutil_socket_t socket, sockaddr* from,
                             int /*size*/, void* self)
{
    auto& streams = *static_cast<peer_streams*>(self);
    if (streams.incoming_.size() >= max_incoming_streams) {
        evutil_closesocket(socket);
        return;
    }
    auto made = streams.make_stream(socket, max_exchange);
    made->id = ++streams.last_token_;
    made->peer = from_socket_address(*reinterpret_cast<sockaddr_in*>(from));
    streams.incoming_.emplace(made->id, std::move(made));
}

void peer_streams::carry_out(const send_peer_request& effect)
{
    metrics::add(*sink_.metrics, metrics::counter::peer_requests);
    auto made = make_stream(-1, effect.timeout);
    made->id = raw(effect.exchange);
    made->outgoing = true;
    made->peer = effect.peer;
    const auto frame = wire::encode(effect.request);
    auto& added = *made;
    outgoing_.emplace(added.id, std::move(made));
    const sockaddr_in to = to_socket_address(effect.peer);
    if (!write_frame(added.buffer.get(), frame) ||
        bufferevent_socket_connect(added.buffer.get(),
                                   reinterpret_cast<const sockaddr*>(&to),
                                   sizeof to) != 0) {
        fail(added, stream_error(errc::unreachable, "ask peer", effect.peer));
        return;
    }
    metrics::add(*sink_.metrics, metrics::counter::peer_bytes_sent,
                 frame.value().size());
}

void peer_streams::carry_out(const reply_to_peer& effect)
{
    const auto found = incoming_.find(raw(effect.token));
    if (found == incoming_.end()) {
        return;
    }
    auto& to = *found->second;
    if (is_bulk(effect.reply) && unsent_bytes() > max_unsent_bytes) {
        metrics::add(*sink_.metrics, metrics::counter::peer_replies_refused);
        fail(to, stream_error(errc::overloaded, "reply to peer", to.peer));
        return;
    }
    const auto frame = encode_reply(effect);
    if (!write_frame(to.buffer.get(), frame)) {
        fail(to, stream_error(errc::too_large, "reply to peer", to.peer));
        return;
    }
    metrics::add(*sink_.metrics, metrics::counter::peer_bytes_sent,
                 frame.value().size());
    charge_memory(to);
    bufferevent_setcb(to.buffer.get(), nullptr, on_written, on_event, &to);
}

// Peers that learn of a change at the same time get the same reply, so that the
// last one is kept compressed.
result<std::string> peer_streams::encode_reply(const reply_to_peer& effect)
{
    auto frame = wire::encode(effect.reply);
    if (!frame || !effect.compressed ||
        frame.value().size() < min_compressed_bytes) {
        return frame;
    }
    const auto hash = hash_content(frame.value());
    if (last_compressed_hash_ != hash) {
        last_compressed_ = wire::compress_reply(frame.value());
        last_compressed_hash_ = hash;
    }
    return last_compressed_;
}

std::size_t peer_streams::unsent_bytes() const
{
    std::size_t total = 0;
    for (const auto& [id, each] : incoming_) {
        total +=
            evbuffer_get_length(bufferevent_get_output(each->buffer.get()));
    }
    return total;
}

std::size_t peer_streams::partial_bytes() const
{
    std::size_t total = 0;
    for (const auto& [id, each] : incoming_) {
        total += evbuffer_get_length(bufferevent_get_input(each->buffer.get()));
    }
    return total;
}

void peer_streams::on_written(bufferevent* /*buffer*/, void* argument)
{
    auto& done = *static_cast<stream*>(argument);
    done.owner->end(done);
}

void peer_streams::charge_memory(stream& of)
{
    auto* buffer = of.buffer.get();
    of.memory.set(memory::connection_objects +
                  evbuffer_get_length(bufferevent_get_input(buffer)) +
                  evbuffer_get_length(bufferevent_get_output(buffer)));
}

void peer_streams::on_read(bufferevent* buffer, void* argument)
{
    auto& from = *static_cast<stream*>(argument);
    auto* account = from.owner->sink_.account;
    from.owner->handle_input(from, bufferevent_get_input(buffer));
    memory::reclaim_if_over(account);
}

void peer_streams::handle_input(stream& from, evbuffer* input)
{
    // The prefix alone is made contiguous while the frame is incomplete, since
    // that of the whole input would copy it with each arrival.
    const auto arrived = evbuffer_get_length(input);
    const auto prefix = std::min(arrived, wire::frame_prefix_bytes);
    const auto* start = reinterpret_cast<const char*>(
        evbuffer_pullup(input, static_cast<ev_ssize_t>(prefix)));
    const auto size = wire::frame_size({start, prefix}, to_string(from.peer));
    if (!size) {
        sink_.reject(size.error());
        fail(from, size.error());
        return;
    }
    if (size.value() == 0 || arrived < size.value()) {
        if (!from.outgoing && partial_bytes() > max_partial_bytes) {
            const auto cause = stream_error(errc::overloaded,
                                            "read peer's request", from.peer);
            sink_.reject(cause);
            fail(from, cause);
            return;
        }
        charge_memory(from);
        restart_timer(from);
        return; // the frame is incomplete
    }
    handle_frame(from, content_of(input).substr(0, size.value()));
}

void peer_streams::list_candidates(std::vector<memory::candidate>& all,
                                   std::uint32_t holder, boot_time now) const
{
    // Streams do not count as accepted connections, so they are the last ones
    // to be closed for those.
    constexpr auto never_idle = std::numeric_limits<std::uint64_t>::max();
    for (const auto* each : {&incoming_, &outgoing_}) {
        for (const auto& [id, found] : *each) {
            const auto bytes = found->memory.bytes();
            const std::chrono::duration<double> age = now - found->begun_at;
            const bool partial = !found->outgoing && !found->request_received;
            all.push_back(
                {partial ? memory::drop_kind::partial_request
                         : memory::drop_kind::response,
                 partial
                     ? static_cast<double>(bytes) / std::max(age.count(), 1e-3)
                     : 0.0,
                 bytes, holder, found->outgoing ? ~id : id, never_idle, false});
        }
    }
}

void peer_streams::drop(const memory::candidate& what)
{
    // Identifiers of outgoing streams are listed as complements, so that they
    // differ from those of incoming ones.
    for (const auto& [among, id] :
         {std::pair{&incoming_, what.id}, std::pair{&outgoing_, ~what.id}}) {
        const auto found = among->find(id);
        if (found != among->end()) {
            auto& dropped = *found->second;
            fail(dropped, stream_error(errc::too_large, "hold a peer's message",
                                       dropped.peer));
            return;
        }
    }
}

void peer_streams::handle_frame(stream& from, std::string_view frame)
{
    metrics::add(*sink_.metrics, metrics::counter::peer_bytes_received,
                 frame.size());
    if (!from.outgoing) {
        auto request = wire::decode_request(frame, to_string(from.peer));
        if (!request || from.request_received) {
            const error cause =
                request ? stream_error(errc::malformed, "read peer's request",
                                       from.peer)
                        : request.error();
            sink_.reject(cause);
            fail(from, cause);
            return;
        }
        from.request_received = true;
        // Nothing more is expected, and nothing bounds what is not parsed.
        bufferevent_disable(from.buffer.get(), EV_READ);
        evbuffer_drain(bufferevent_get_input(from.buffer.get()), frame.size());
        charge_memory(from);
        sink_.post(peer_request_received{static_cast<peer_token>(from.id),
                                         from.peer,
                                         std::move(request).value()});
        return;
    }
    auto reply = wire::decode_reply(frame, to_string(from.peer));
    if (!reply) {
        sink_.reject(reply.error());
        fail(from, reply.error());
        return;
    }
    const auto exchange = static_cast<exchange_id>(from.id);
    end(from);
    sink_.post(peer_reply_received{exchange, std::move(reply).value()});
}

void peer_streams::on_event(bufferevent* /*buffer*/, short what, void* argument)
{
    auto& from = *static_cast<stream*>(argument);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    from.owner->fail(from,
                     stream_error(errc::closed, "talk to peer", from.peer));
}

void peer_streams::on_timeout(evutil_socket_t /*socket*/, short /*what*/,
                              void* argument)
{
    auto& from = *static_cast<stream*>(argument);
    auto cause = stream_error(errc::timed_out, "talk to peer", from.peer);
    cause.detail = describe_input(bufferevent_get_input(from.buffer.get()));
    from.owner->fail(from, cause);
}

void peer_streams::fail(stream& failed, const error& cause)
{
    const bool outgoing = failed.outgoing;
    const auto exchange = static_cast<exchange_id>(failed.id);
    if (outgoing) {
        metrics::add(*sink_.metrics, metrics::counter::peer_requests_failed);
        metrics::add(
            *sink_.metrics, metrics::counter::peer_bytes_discarded,
            evbuffer_get_length(bufferevent_get_input(failed.buffer.get())));
    }
    end(failed);
    if (outgoing) {
        sink_.post(peer_reply_received{exchange, cause});
    }
}

void peer_streams::end(stream& ended)
{
    auto& registered = ended.outgoing ? outgoing_ : incoming_;
    const auto found = registered.find(ended.id);
    if (found == registered.end() || found->second.get() != &ended) {
        return;
    }
    ended.memory.set(0);
    bufferevent_setcb(ended.buffer.get(), nullptr, nullptr, nullptr, nullptr);
    event_del(ended.timer.get());
    ended_.push_back(std::move(found->second));
    registered.erase(found);
    event_active(deferred_free_.get(), EV_TIMEOUT, 0);
}

void peer_streams::on_free_ended(evutil_socket_t /*socket*/, short /*what*/,
                                 void* self)
{
    auto& streams = *static_cast<peer_streams*>(self);
    const auto freed = std::exchange(streams.ended_, {});
}

} // namespace bulrushspring::shell
