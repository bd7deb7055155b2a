#ifndef BULRUSHSPRING_LIBRARIES_HTTP_SERVER_HPP
#define BULRUSHSPRING_LIBRARIES_HTTP_SERVER_HPP

#include "base/error.hpp"
#include "base/identifiers.hpp"
#include "libraries/http/parser.hpp"
#include "libraries/memory/account.hpp"
#include "libraries/shell/handles.hpp"

#include <functional>
#include <unordered_map>

namespace bulrushspring::http
{

// Limits on what a server accepts from a caller.
struct server_limits {
    size_limits sizes;
    duration header_timeout = seconds{10}; // from a request's first byte
    duration idle_timeout = seconds{60};   // between requests, and for writes
};

// Callbacks that report requests and connections to the server's owner.
struct server_events {
    // A complete request arrived. It must be answered once, with `respond`.
    std::function<void(caller_token, request)> on_request;
    // The caller's connection closed before its request was answered.
    std::function<void(caller_token)> on_disconnected;
    // An invalid request was refused with the status.
    std::function<void(unsigned status, const endpoint& peer)> on_rejected;
    // Completes the answer to such a request, of which `arrived` is what has
    // been parsed. Not set: the answer has no body.
    std::function<void(const request& arrived, response& answer)>
        complete_rejection = nullptr;
};

// A strict HTTP/1.1 server. Each connection processes one request at a time. A
// request is reported once its body is complete; a malformed request is refused
// and its connection closed.
class server
{
public:
    // Binds the address and starts to accept connections. Fails with the
    // system's error if the address can't be bound. The account, if any, is
    // charged for what the server holds, and must outlive it.
    static result<std::unique_ptr<server>>
    listen(event_base* base, const endpoint& address, server_events events,
           memory::account* account = nullptr);
    ~server();

    // The address that it is bound to, until `finish` closes it.
    endpoint address() const;

    // Applies to each connection from its next request on.
    void set_limits(const server_limits& limits);

    // Closes each connection after its next answer, which says so by
    // "Connection: close".
    void close_after_answers() { closing_ = true; }

    // Stops accepting connections and closes idle ones. Requests whose first
    // bytes have arrived are still reported, and must be answered. Calls
    // `finished` once no connection is left.
    void finish(std::function<void()> finished);

    // Answers a request. Does nothing if the caller has disconnected.
    // `repeatable`: the answer may be dropped, since the request can be sent
    // again.
    void respond(caller_token token, const response& answer,
                 bool repeatable = true);

    // Sends raw bytes in place of an answer and optionally closes the
    // connection. Fakes use this to send invalid responses.
    void respond_raw(caller_token token, std::string_view bytes, bool close);

    // Closes the connection without an answer.
    void disconnect(caller_token token);

    std::size_t connections() const { return open_.size(); }

    // Adds what can be dropped here, with `holder` as its holder.
    void list_candidates(std::vector<memory::candidate>& all,
                         std::uint32_t holder, boot_time now) const;
    // Drops a candidate: answers a partial request with status 503, and closes
    // any other connection.
    void drop(const memory::candidate& what);
    // Closes the connection of a candidate without an answer.
    void close(const memory::candidate& what);

    // The number of requests that await their answer, and of answers that are
    // not completely sent.
    std::size_t unanswered() const { return count(phase::answering); }
    std::size_t unsent() const { return count(phase::flushing); }

private:
    // reading: waits for or receives a request. answering: waits for the
    // owner's answer. flushing: sends it. lingering: discards input until the
    // peer closes or linger_time has passed.
    enum class phase : std::uint8_t { reading, answering, flushing, lingering };
    struct connection;
    using connections_by_id =
        std::unordered_map<std::uint64_t, std::unique_ptr<connection>>;

    server(event_base* base, server_events events, memory::account* account);
    std::size_t count(phase state) const;
    static void on_accept(evconnlistener* listener, evutil_socket_t socket,
                          sockaddr* from, int size, void* self);
    static void on_read(bufferevent* buffer, void* argument);
    static void on_written(bufferevent* buffer, void* argument);
    static void on_event(bufferevent* buffer, short what, void* argument);
    static void on_free_retired(evutil_socket_t socket, short what, void* self);
    static void on_finish(evutil_socket_t socket, short what, void* self);

    void handle_input(connection& from);
    void handle_partial_request(connection& from, std::size_t used);
    void charge_memory(connection& of) const;
    bool has_memory_limit() const;
    void limit_input(connection& of) const;
    void dispatch_request(connection& from);
    void reject(connection& from, unsigned status);
    void write(connection& to, std::string_view bytes, bool close);
    void on_timeout(connection& from);
    void await_request(connection& from);
    void retire(connection& retired);
    void close_idle();
    void report_if_finished();

    event_base* base_;
    server_events events_;
    memory::account* account_; // null: nothing is charged
    server_limits limits_;
    shell::listener_handle listener_;
    connections_by_id open_;
    std::vector<std::unique_ptr<connection>> retired_;
    shell::event_handle deferred_free_;
    shell::event_handle deferred_finish_;
    std::function<void()> finished_; // set while finish is in progress
    std::uint64_t last_id_ = 0;
    bool closing_ = false;
};

} // namespace bulrushspring::http

#endif
