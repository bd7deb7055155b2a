#include "libraries/shell/operator_server.hpp"

namespace bulrushspring::shell
{
namespace
{

constexpr std::size_t max_body_bytes = 1024;

} // namespace

operator_server::operator_server(operator_pages pages, http_handle server)
    : pages_(std::move(pages)), server_(std::move(server))
{
    evhttp_set_gencb(server_.get(), on_request, this);
}

result<std::unique_ptr<operator_server>>
operator_server::listen(event_base* base, const endpoint& address,
                        operator_pages pages)
{
    TRY(server, listen_http(base, address, max_body_bytes));
    return std::unique_ptr<operator_server>(
        new operator_server(std::move(pages), std::move(server)));
}

void operator_server::on_request(evhttp_request* request, void* self)
{
    const auto& pages = static_cast<operator_server*>(self)->pages_;
    const auto path = path_of(request);
    if (evhttp_request_get_command(request) != EVHTTP_REQ_GET) {
        reply(request, 405, "text/plain", "only GET\n");
    } else if (path == "/v1/status") {
        reply(request, 200, "application/json", pages.status());
    } else if (path == "/metrics") {
        reply(request, 200, "text/plain; version=0.0.4", pages.metrics());
    } else {
        reply(request, 404, "text/plain", "/v1/status or /metrics\n");
    }
}

} // namespace bulrushspring::shell
