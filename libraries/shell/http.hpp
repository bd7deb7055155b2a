#ifndef BULRUSHSPRING_LIBRARIES_SHELL_HTTP_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_HTTP_HPP

#include "libraries/shell/handles.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushspring::shell
{

// Limits on what is read from a connection.
constexpr std::size_t max_header_bytes = std::size_t{8} * 1024;
constexpr std::size_t max_request_body_bytes = std::size_t{256} * 1024;
constexpr std::size_t max_response_body_bytes = std::size_t{1024} * 1024;

// Binds an HTTP server with limits on header and body sizes. Fails with the
// system's error if the address can't be bound.
result<http_handle> listen_http(event_base* base, const endpoint& address,
                                std::size_t max_body_bytes);

// The address that a server made by listen_http is bound to. After a bind to
// port 0 this holds the port that the system assigned.
endpoint bound_endpoint(evhttp* server);

// Sends the response; the request must not be used afterwards. An empty type
// sends no Content-Type.
void reply(evhttp_request* request, int status, std::string_view type,
           std::string_view body);

// Parses a decimal number from a header or query; empty if the text is empty or
// is not entirely a number.
std::optional<std::uint64_t> parse_number(std::string_view text);

// The value of a query parameter; empty if it is missing.
std::string query_parameter(evhttp_request* request, const char* name);

// The path of the request target, without the query string.
std::string_view path_of(evhttp_request* request);

// Makes a client connection with limits on response sizes. evhttp's automatic
// retries are turned off.
http_connection_handle make_http_connection(event_base* base,
                                            const endpoint& address,
                                            std::size_t max_body_bytes);

} // namespace bulrushspring::shell

#endif
