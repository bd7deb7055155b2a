#ifndef BULRUSHSPRING_LIBRARIES_HTTP_CLIENT_HPP
#define BULRUSHSPRING_LIBRARIES_HTTP_CLIENT_HPP

#include "base/error.hpp"
#include "base/identifiers.hpp"
#include "libraries/http/parser.hpp"
#include "libraries/shell/handles.hpp"

#include <functional>
#include <unordered_map>

namespace bulrushspring::http
{

// Callbacks that report the state of connections to their owner.
struct client_events {
    std::function<void(connection_id)> on_connected;
    // A complete answer arrived. If `reusable` is false, the connection has
    // been closed.
    std::function<void(connection_id, response, bool reusable)> on_answer;
    // The connection failed or was closed by the server, without an answer to
    // the last request.
    std::function<void(connection_id, error cause)> on_closed;
};

// HTTP/1.1 connections to any number of servers, each with at most one request
// outstanding. There are no timeouts here: the owner closes connections that
// take too long. Bytes that are no answer are bounded, as docs/design/http.md
// describes.
class client
{
public:
    // The correlation header identifies requests. An answer with another value
    // than the outstanding request is a late answer to an earlier one and is
    // dropped; an answer without the header is accepted. If the name is empty,
    // all answers are accepted.
    client(event_base* base, const size_limits& limits,
           std::string correlation_header, client_events events);
    ~client();

    // Starts to connect; on_connected or on_closed reports the outcome.
    void open(connection_id id, const endpoint& address);
    // Sends a request on an open, idle connection. Does nothing if the
    // connection is gone.
    void send(connection_id id, const request& message);
    // Closes the connection. No further events are reported for it.
    void close(connection_id id);

private:
    struct connection;

    static void on_read(bufferevent* buffer, void* argument);
    static void on_event(bufferevent* buffer, short what, void* argument);
    static void on_free_retired(evutil_socket_t socket, short what, void* self);
    void handle_input(connection& from);
    bool matches_request(const connection& to, const response& answer) const;
    void check_bounds(connection& from);
    void hold(connection& by, std::uint64_t bytes);
    void deliver(connection& from, bool reusable);
    void fail(connection& failed, std::error_code code, std::string detail);
    void retire(connection& retired);

    event_base* base_;
    size_limits limits_;
    std::uint64_t held_bytes_ = 0; // by the unfinished answers
    std::string correlation_header_;
    client_events events_;
    std::unordered_map<std::uint64_t, std::unique_ptr<connection>> open_;
    std::vector<std::unique_ptr<connection>> retired_;
    shell::event_handle deferred_free_;
};

} // namespace bulrushspring::http

#endif
