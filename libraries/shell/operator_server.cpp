#include "libraries/shell/operator_server.hpp"

namespace bulrushspring::shell
{
namespace
{

constexpr http::server_limits limits{{8192, 1024}, seconds{10}, seconds{120}};

http::response make_response(unsigned status, const char* type,
                             std::string body)
{
    return {status, "", {{"Content-Type", type}}, std::move(body)};
}

} // namespace

result<std::unique_ptr<operator_server>>
operator_server::listen(event_base* base, const endpoint& address,
                        operator_pages pages, memory::account* account)
{
    std::unique_ptr<operator_server> made(
        new operator_server(std::move(pages)));
    auto& owner = *made;
    http::server_events events;
    events.on_request = [&owner](caller_token token,
                                 const http::request& message) {
        owner.server_->respond(token, owner.page_for(message));
    };
    events.on_disconnected = [](caller_token) {};
    events.on_rejected = [](unsigned, const endpoint&) {};
    TRY(server,
        http::server::listen(base, address, std::move(events), account));
    made->server_ = std::move(server);
    made->server_->set_limits(limits);
    return made;
}

http::response operator_server::page_for(const http::request& message) const
{
    const auto path = http::path_of(message.target);
    if (message.method != "GET") {
        return make_response(405, "text/plain", "only GET\n");
    }
    if (path == "/v1/status") {
        return make_response(200, "application/json", pages_.status());
    }
    if (path == "/metrics") {
        return make_response(200, "text/plain; version=0.0.4",
                             pages_.metrics());
    }
    return make_response(404, "text/plain", "/v1/status or /metrics\n");
}

void operator_server::list_candidates(std::vector<memory::candidate>& all,
                                      std::uint32_t holder, boot_time now) const
{
    server_->list_candidates(all, holder, now);
}

void operator_server::drop(const memory::candidate& what, bool silently)
{
    silently ? server_->close(what) : server_->drop(what);
}

} // namespace bulrushspring::shell
