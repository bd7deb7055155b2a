#ifndef BULRUSHSPRING_LIBRARIES_SHELL_PLATFORM_CLIENT_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_PLATFORM_CLIENT_HPP

#include "libraries/reducer/effect.hpp"
#include "libraries/shell/http.hpp"
#include "libraries/shell/sink.hpp"

#include <unordered_set>

namespace bulrushspring::shell
{

// Reads values from the platform. Each read uses a connection of its own.
class platform_client
{
public:
    platform_client(event_base* base, const endpoint& address, sink out);

    // Starts a read; its outcome is posted as platform_read_finished. With a
    // wait, the platform holds the request until the value changes or the wait
    // ends.
    void carry_out(const read_platform& effect);

private:
    struct pending_read {
        platform_client* owner = nullptr;
        std::string key;
        http_connection_handle http;
        evhttp_request_error last_error = EVREQ_HTTP_EOF;
    };

    static void on_done(evhttp_request* request, void* argument);
    static void on_error(evhttp_request_error cause, void* argument);
    static void on_free_finished(evutil_socket_t socket, short what,
                                 void* self);
    result<std::optional<platform_value>>
    read_answer(evhttp_request* request, const pending_read& from) const;
    void complete(pending_read& from,
                  result<std::optional<platform_value>> value);

    event_base* base_;
    endpoint address_;
    sink sink_;
    std::vector<std::unique_ptr<pending_read>> reads_;
    std::vector<std::unique_ptr<pending_read>> finished_;
    event_handle deferred_free_;
};

} // namespace bulrushspring::shell

#endif
