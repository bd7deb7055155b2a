#ifndef BULRUSHSPRING_LIBRARIES_SHELL_LEAF_CLIENT_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_LEAF_CLIENT_HPP

#include "libraries/reducer/effect.hpp"
#include "libraries/shell/http.hpp"
#include "libraries/shell/sink.hpp"

#include <optional>
#include <unordered_map>

namespace bulrushspring::shell
{

// HTTP connections to leafs. Each carries one request, probe or cancellation at
// a time, as the reducer directs. The end of a connection, whatever its cause,
// is posted once as connection_closed, after leaf_failed for the attempt that
// was in progress on it.
class leaf_client
{
public:
    // Attempt names begin with the prefix, which makes them unique in the
    // fleet: it holds the VM's name and the daemon's incarnation.
    leaf_client(event_base* base, std::string attempt_prefix, sink out);
    leaf_client(const leaf_client&) = delete;
    leaf_client& operator=(const leaf_client&) = delete;
    ~leaf_client();

    void carry_out(const open_connection& effect);
    void carry_out(const close_connection& effect);
    void carry_out(const probe_connection& effect);
    void carry_out(const send_to_leaf& effect);
    void carry_out(const cancel_at_leaf& effect);

private:
    struct connection {
        leaf_client* owner = nullptr;
        connection_id id{};
        std::string leaf;
        http_connection_handle http;
        attempt_id attempt{}; // 0 if none is in progress
        bool opened = false;
        bool probing = false;
        bool cancelling = false;
        // Effects that wait for a cancellation on the connection to finish.
        std::optional<send_to_leaf> deferred_work;
        std::optional<probe_connection> deferred_probe;
        evhttp_request_error last_error = EVREQ_HTTP_EOF;
    };

    static void on_probe_done(evhttp_request* request, void* argument);
    static void on_work_done(evhttp_request* request, void* argument);
    static void on_cancel_done(evhttp_request* request, void* argument);
    static void on_error(evhttp_request_error cause, void* argument);
    static void on_close(evhttp_connection* http, void* argument);
    static void on_free_retired(evutil_socket_t socket, short what, void* self);

    connection* find(connection_id id);
    bool send_request(connection& to, evhttp_request* request,
                      evhttp_cmd_type method, const std::string& path,
                      duration timeout);
    void send_probe(connection& to, duration timeout);
    void send_work(connection& to, const send_to_leaf& effect);
    // Sends the effect that waited for a cancellation, if there is one.
    void send_deferred(connection& to);
    // Retires the connection and posts its failure.
    void fail(connection& lost, const error& cause);
    void retire(connection_id id);
    error failure(const connection& from, const char* step) const;
    std::string attempt_name(attempt_id attempt) const;

    event_base* base_;
    std::string attempt_prefix_;
    sink sink_;
    std::unordered_map<connection_id, std::unique_ptr<connection>> open_;
    // Connections to be freed by deferred_free_ from the event loop: libevent
    // may still use a connection that is retired in its own callback.
    std::vector<std::unique_ptr<connection>> retired_;
    event_handle deferred_free_;
};

} // namespace bulrushspring::shell

#endif
