#ifndef BULRUSHSPRING_LIBRARIES_SHELL_CALLER_SERVER_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_CALLER_SERVER_HPP

#include "libraries/reducer/effect.hpp"
#include "libraries/shell/http.hpp"
#include "libraries/shell/sink.hpp"

#include <functional>
#include <unordered_map>
#include <unordered_set>

namespace bulrushspring::shell
{

// The HTTP server for callers. It posts each request as an event and sends the
// reducer's answers as replies. docs/CALLERS.md specifies the interface.
class caller_server
{
public:
    // Binds the address and starts to accept connections. Fails with the
    // system's error if the address can't be bound.
    static result<std::unique_ptr<caller_server>>
    listen(event_base* base, const endpoint& address, sink out);

    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;
    ~caller_server();

    endpoint address() const { return bound_endpoint(server_.get()); }
    void carry_out(const answer_caller& effect);
    void carry_out(const answer_addresses& effect);

    // Closes each connection after its next answer, so that callers move on
    // to another entry.
    void close_after_answers() { closing_ = true; }

    // Calls `finished` once the requests that have arrived are answered and the
    // answers sent. Callers that don't read theirs delay it without a limit.
    void finish(std::function<void()> finished);

private:
    caller_server(event_base* base, sink out, http_handle server);
    static void on_request(evhttp_request* request, void* self);
    static void on_close(evhttp_connection* connection, void* self);
    static void on_sent(evhttp_request* request, void* self);
    static void on_finish(evutil_socket_t socket, short what, void* self);
    void send(evhttp_request* request, int status, std::string_view body);
    void report_if_finished();
    // Stores the request until it is answered and watches its connection.
    caller_token register_request(evhttp_request* request);
    // Removes a stored request; null if the token is unknown.
    evhttp_request* release_request(caller_token token);
    void route(evhttp_request* request);
    void handle_request(evhttp_request* request, manifest::service_kind kind,
                        std::string_view service);

    sink sink_;
    http_handle server_;
    std::uint64_t last_token_ = 0;
    bool closing_ = false;
    std::unordered_map<caller_token, evhttp_request*> pending_;
    // Connections with an answer that is not completely sent.
    std::unordered_set<evhttp_connection*> sending_;
    event_handle deferred_finish_;
    bool finishing_ = false;
    std::function<void()> finished_;
    std::unordered_map<evhttp_connection*, caller_token> connections_;
};

} // namespace bulrushspring::shell

#endif
