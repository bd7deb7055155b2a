#include "libraries/shell/http.hpp"

#include <charconv>

namespace bulrushspring::shell
{
namespace
{

constexpr int idle_timeout_seconds = 120;

} // namespace

result<http_handle> listen_http(event_base* base, const endpoint& address,
                                std::size_t max_body_bytes)
{
    http_handle server(evhttp_new(base));
    evhttp_set_max_headers_size(server.get(), max_header_bytes);
    evhttp_set_max_body_size(server.get(),
                             static_cast<ev_ssize_t>(max_body_bytes));
    evhttp_set_timeout(server.get(), idle_timeout_seconds);
    evhttp_set_allowed_methods(server.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                                 EVHTTP_REQ_PUT |
                                                 EVHTTP_REQ_DELETE);
    const auto* bound = evhttp_bind_socket_with_handle(
        server.get(), address_text(address).c_str(), address.port);
    if (bound == nullptr) {
        return error{std::error_code(errno, std::generic_category()),
                     "listen for HTTP", to_string(address), ""};
    }
    return server;
}

endpoint bound_endpoint(evhttp* server)
{
    endpoint found;
    evhttp_foreach_bound_socket(
        server,
        [](evhttp_bound_socket* socket, void* out) {
            *static_cast<endpoint*>(out) =
                bound_endpoint(evhttp_bound_socket_get_fd(socket));
        },
        &found);
    return found;
}

void reply(evhttp_request* request, int status, std::string_view type,
           std::string_view body)
{
    if (!type.empty()) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "Content-Type", std::string(type).c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(),
                 body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    if (text.empty() || read.ec != std::errc{} || read.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::string query_parameter(evhttp_request* request, const char* name)
{
    const auto* uri = evhttp_request_get_evhttp_uri(request);
    const char* query = evhttp_uri_get_query(uri);
    if (query == nullptr) {
        return {};
    }
    evkeyvalq parameters{};
    if (evhttp_parse_query_str(query, &parameters) != 0) {
        return {};
    }
    std::string value(header(&parameters, name));
    evhttp_clear_headers(&parameters);
    return value;
}

std::string_view path_of(evhttp_request* request)
{
    const char* path =
        evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    return path == nullptr ? std::string_view{} : std::string_view{path};
}

http_connection_handle make_http_connection(event_base* base,
                                            const endpoint& address,
                                            std::size_t max_body_bytes)
{
    http_connection_handle connection(evhttp_connection_base_new(
        base, nullptr, address_text(address).c_str(), address.port));
    evhttp_connection_set_retries(connection.get(), 0);
    evhttp_connection_set_max_headers_size(connection.get(), max_header_bytes);
    evhttp_connection_set_max_body_size(
        connection.get(), static_cast<ev_ssize_t>(max_body_bytes));
    return connection;
}

} // namespace bulrushspring::shell
