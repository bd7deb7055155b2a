#ifndef BULRUSHSPRING_LIBRARIES_SHELL_OPERATOR_SERVER_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_OPERATOR_SERVER_HPP

#include "libraries/http/server.hpp"

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
    // The account is charged for what the server holds, and must outlive it.
    static result<std::unique_ptr<operator_server>>
    listen(event_base* base, const endpoint& address, operator_pages pages,
           memory::account* account);

    endpoint address() const { return server_->address(); }

    void list_candidates(std::vector<memory::candidate>& all,
                         std::uint32_t holder, boot_time now) const;
    void drop(const memory::candidate& what, bool silently);

private:
    explicit operator_server(operator_pages pages) : pages_(std::move(pages)) {}
    http::response page_for(const http::request& message) const;

    operator_pages pages_;
    std::unique_ptr<http::server> server_;
};

} // namespace bulrushspring::shell

#endif
