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

// What the connections tell their owner.
struct client_events {
    std::function<void(connection_id)> opened;
    // A whole answer. If it is not reusable, the connection is gone.
    std::function<void(connection_id, response, bool reusable)> answered;
    // The connection is gone without an answer to what was sent last.
    std::function<void(connection_id, error cause)> closed;
};

// HTTP/1.1 connections to any number of servers, one request at a time on
// each. There are no timeouts here: the owner closes what takes too long.
class client
{
public:
    // Answers that name another request than the one that waits, by the value
    // of the correlation header, are late ones to earlier requests and are
    // dropped. Without a header's name, all answers are taken.
    client(event_base* base, const size_limits& limits,
           std::string correlation_header, client_events events);
    ~client();

    void open(connection_id id, const endpoint& address);
    // The connection has to be open and idle.
    void send(connection_id id, const request& message);
    // Nothing is heard of the connection any more.
    void close(connection_id id);

private:
    struct connection;

    static void read(bufferevent* buffer, void* which);
    static void notice(bufferevent* buffer, short what, void* which);
    static void free_ended(evutil_socket_t socket, short what, void* self);
    void take_input(connection& from);
    bool belongs(const connection& to, const response& answer) const;
    void finish(connection& from, bool reusable);
    void fail(connection& failed, std::error_code code, std::string detail);
    void end(connection& ended);

    event_base* base_;
    size_limits limits_;
    std::string correlation_header_;
    client_events events_;
    std::unordered_map<std::uint64_t, std::unique_ptr<connection>> open_;
    std::vector<std::unique_ptr<connection>> ended_;
    shell::event_handle free_later_;
};

} // namespace bulrushspring::http

#endif
