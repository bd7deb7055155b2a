#ifndef BULRUSHSPRING_LIBRARIES_HTTP_SERVER_HPP
#define BULRUSHSPRING_LIBRARIES_HTTP_SERVER_HPP

#include "base/error.hpp"
#include "base/identifiers.hpp"
#include "libraries/http/parser.hpp"
#include "libraries/shell/handles.hpp"

#include <functional>
#include <unordered_map>

namespace bulrushspring::http
{

struct server_limits {
    size_limits sizes;
    duration header_timeout = seconds{10}; // from a request's first byte
    duration idle_timeout = seconds{60};   // between requests
};

// What a server tells its owner.
struct server_events {
    // A whole request came in. Answer it with respond, once.
    std::function<void(caller_token, request)> asked;
    // The caller's connection ended before its answer was given.
    std::function<void(caller_token)> left;
    // Bytes that are no request were refused with the status.
    std::function<void(unsigned status, const endpoint& peer)> rejected;
};

// A strict HTTP/1.1 server: one request at a time on a connection. A request
// is handed over when its body is whole; malformed ones are refused and their
// connection is closed.
class server
{
public:
    static result<std::unique_ptr<server>>
    listen(event_base* base, const endpoint& address, server_events events);
    ~server();

    void set_limits(const server_limits& limits) { limits_ = limits; }

    // Each further answer tells its caller to close the connection.
    void close_after_answers() { closing_ = true; }

    // Takes no further connections.
    void stop_listening() { listener_.reset(); }

    // Nothing happens if the caller has left.
    void respond(caller_token token, const response& answer);

    // Sends bytes as they are in place of an answer, and then closes the
    // connection if told to: for stand-ins that misbehave.
    void respond_raw(caller_token token, std::string_view bytes, bool close);

    // Closes the connection without an answer.
    void drop(caller_token token);

    std::size_t connections() const { return open_.size(); }

private:
    enum class phase : std::uint8_t { reading, answering, flushing, lingering };
    struct connection;
    using connections_by_id =
        std::unordered_map<std::uint64_t, std::unique_ptr<connection>>;

    server(event_base* base, server_events events);
    static void accept(evconnlistener* listener, evutil_socket_t socket,
                       sockaddr* from, int size, void* self);
    static void read(bufferevent* buffer, void* which);
    static void written(bufferevent* buffer, void* which);
    static void notice(bufferevent* buffer, short what, void* which);
    static void free_ended(evutil_socket_t socket, short what, void* self);

    void take_input(connection& from);
    void take_request(connection& from);
    void reject(connection& from, unsigned status);
    void write(connection& to, std::string_view bytes, bool close);
    void pass_timeout(connection& from);
    void await_request(connection& from);
    void end(connection& ended);

    event_base* base_;
    server_events events_;
    server_limits limits_;
    shell::listener_handle listener_;
    connections_by_id open_;
    std::vector<std::unique_ptr<connection>> ended_;
    shell::event_handle free_later_;
    std::uint64_t last_id_ = 0;
    bool closing_ = false;
};

} // namespace bulrushspring::http

#endif
