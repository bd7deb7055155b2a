#ifndef BULRUSHSPRING_LIBRARIES_HTTP_CLIENT_HPP
#define BULRUSHSPRING_LIBRARIES_HTTP_CLIENT_HPP

#include "base/error.hpp"
#include "base/identifiers.hpp"
#include "libraries/http/parser.hpp"
#include "libraries/memory/account.hpp"
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
    // The server does not read as fast as requests are sent (`unread`), or has
    // read all. Not set: not reported.
    std::function<void(connection_id, bool unread)> on_unread = nullptr;
    // A late answer to an earlier request was dropped. Not set: not reported.
    std::function<void(connection_id)> on_late_answer = nullptr;
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
    // all answers are accepted. The account, if any, is charged for what the
    // client holds, and must outlive it; its limits replace the bound on all
    // unfinished answers.
    client(event_base* base, const size_limits& limits,
           std::string correlation_header, client_events events,
           memory::account* account = nullptr);
    ~client();

    // Starts to connect; on_connected or on_closed reports the outcome.
    void open(connection_id id, const endpoint& address);
    // Sends a request on an open, idle connection. Does nothing if the
    // connection is gone. `repeatable`: the unfinished answer may be dropped,
    // since the request can be sent again.
    void send(connection_id id, const request& message, bool repeatable = true);
    // Closes the connection. No further events are reported for it.
    void close(connection_id id);

    // Adds the unfinished answers that can be dropped, with `holder` as their
    // holder.
    void list_candidates(std::vector<memory::candidate>& all,
                         std::uint32_t holder) const;
    // Fails the connection of a candidate.
    void drop(const memory::candidate& what);
    // Stops or resumes reading the large answers that may not be dropped. What
    // their servers send meanwhile stays in the kernel, in small buffers.
    void pause_unrepeatable(bool paused);

private:
    struct connection;

    static void on_read(bufferevent* buffer, void* argument);
    static void on_written(bufferevent* buffer, void* argument);
    static void on_event(bufferevent* buffer, short what, void* argument);
    static void on_free_retired(evutil_socket_t socket, short what, void* self);
    void handle_input(connection& from);
    bool matches_request(const connection& to, const response& answer) const;
    void check_bounds(connection& from);
    void hold(connection& by, std::uint64_t bytes);
    bool has_account() const;
    static bool may_pause(const connection& of);
    void deliver(connection& from, bool reusable);
    void fail(connection& failed, std::error_code code, std::string detail);
    void retire(connection& retired);

    event_base* base_;
    size_limits limits_;
    memory::account* account_;     // null: nothing is charged
    bool paused_ = false;          // unrepeatable answers are not read
    std::uint64_t held_bytes_ = 0; // by the unfinished answers
    std::string correlation_header_;
    client_events events_;
    std::unordered_map<std::uint64_t, std::unique_ptr<connection>> open_;
    std::vector<std::unique_ptr<connection>> retired_;
    shell::event_handle deferred_free_;
};

} // namespace bulrushspring::http

#endif
