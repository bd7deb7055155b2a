#ifndef BULRUSHSPRING_LIBRARIES_SHELL_OPERATOR_SERVER_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_OPERATOR_SERVER_HPP

#include "libraries/shell/http.hpp"

#include <functional>
#include <memory>

namespace bulrushspring::shell
{

// Sources of the pages that operators read; each is called once per request.
struct operator_pages {
    std::function<std::string()> status;  // JSON
    std::function<std::string()> metrics; // Prometheus text
};

// The HTTP server for operators: GET /v1/status and GET /metrics.
class operator_server
{
public:
    static result<std::unique_ptr<operator_server>>
    listen(event_base* base, const endpoint& address, operator_pages pages);

    endpoint address() const { return bound_endpoint(server_.get()); }

private:
    operator_server(operator_pages pages, http_handle server);
    static void on_request(evhttp_request* request, void* self);

    operator_pages pages_;
    http_handle server_;
};

} // namespace bulrushspring::shell

#endif
