#ifndef BULRUSHSPRING_LIBRARIES_SHELL_PEER_STREAMS_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_PEER_STREAMS_HPP

#include "base/hash.hpp"
#include "libraries/reducer/effect.hpp"
#include "libraries/shell/handles.hpp"
#include "libraries/shell/sink.hpp"

#include <unordered_map>
#include <vector>

namespace bulrushspring::shell
{

// TCP exchanges between daemons. Each connection carries one request frame and
// one reply frame.
class peer_streams
{
public:
    static result<std::unique_ptr<peer_streams>>
    listen(event_base* base, const endpoint& address, sink out);

    void carry_out(const send_peer_request& effect);
    void carry_out(const reply_to_peer& effect);

    // Adds the unfinished frames that can be dropped, with `holder` as their
    // holder.
    void list_candidates(std::vector<memory::candidate>& all,
                         std::uint32_t holder, boot_time now) const;
    // Closes the connection of a candidate.
    void drop(const memory::candidate& what);

private:
    // One connection, on the side of the requester or of the responder.
    struct stream {
        peer_streams* owner = nullptr;
        std::uint64_t id = 0;          // exchange_id or peer_token
        bool outgoing = false;         // this daemon is the requester
        bool request_received = false; // the peer's request was posted
        endpoint peer;
        stream_handle buffer;
        event_handle timer;
        duration timeout{0}; // without progress
        boot_time begun_at{};
        memory::charge memory;
    };
    using streams = std::unordered_map<std::uint64_t, std::unique_ptr<stream>>;

    peer_streams(event_base* base, sink out);
    static void on_accept(evconnlistener* listener, evutil_socket_t socket,
                          sockaddr* from, int size, void* self);
    static void on_read(bufferevent* buffer, void* argument);
    static void on_written(bufferevent* buffer, void* argument);
    static void on_event(bufferevent* buffer, short what, void* argument);
    static void on_timeout(evutil_socket_t socket, short what, void* argument);
    static void on_free_ended(evutil_socket_t socket, short what, void* self);

    std::unique_ptr<stream> make_stream(evutil_socket_t socket,
                                        duration timeout);
    static void restart_timer(stream& of);
    void handle_input(stream& from, evbuffer* input);
    void handle_frame(stream& from, std::string_view frame);
    static void charge_memory(stream& of);
    result<std::string> encode_reply(const reply_to_peer& effect);
    // Of all replies.
    std::size_t unsent_bytes() const;
    // Of all requests that have not arrived completely.
    std::size_t partial_bytes() const;
    void fail(stream& failed, const error& cause);
    void end(stream& ended);

    event_base* base_;
    sink sink_;
    listener_handle listener_;
    streams outgoing_;
    streams incoming_;
    std::vector<std::unique_ptr<stream>> ended_;
    event_handle deferred_free_;
    std::uint64_t last_token_ = 0;
    std::string last_compressed_; // the last compressed frame
    std::optional<content_hash> last_compressed_hash_; // of what it holds
};

} // namespace bulrushspring::shell

#endif
