#ifndef BULRUSHSPRING_FAKES_HTTP_SERVER_HPP
#define BULRUSHSPRING_FAKES_HTTP_SERVER_HPP

#include "base/endpoint.hpp"
#include "base/error.hpp"
#include "libraries/client/event_pointers.hpp"
#include "libraries/client/http.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushspring::fakes
{

using request_handler = std::function<void(evhttp_request&)>;

// An HTTP server on one address. It must not be moved after open_server,
// because callbacks hold its address.
struct http_server {
    client::evhttp_pointer handle;
    endpoint address; // with the actual port if port 0 was requested
    request_handler handler;
};

// The maximum size of a request body.
inline constexpr std::size_t max_request_bytes = 2 * std::size_t{1024} * 1024;

// Listens on an address and passes each request to the handler, which answers
// it immediately or later. Errors: unreachable if the address cannot be bound.
result<std::unique_ptr<http_server>>
open_server(event_base& base, const endpoint& address, request_handler handler);

// Accessors for the decoded path, the query parameters, a header (empty if
// absent) and the body of a request.
using query_values = std::map<std::string, std::string, std::less<>>;
std::string path_of(evhttp_request& request);
query_values query_of(evhttp_request& request);
std::string header_of(evhttp_request& request, const char* name);
std::string body_of(evhttp_request& request);

// Returns a query parameter as a number, or nothing if it is absent or not an
// unsigned decimal integer.
std::optional<std::uint64_t> number_of(const query_values& values,
                                       std::string_view name);
std::optional<std::uint64_t> parse_number(std::string_view text);

// Sends the response to a request. libevent frees the request afterwards.
void reply(evhttp_request& request, int status,
           const std::vector<client::http_header>& headers,
           std::string_view body);

// Closes the connection of a request without a response.
void close_without_response(evhttp_request& request);

// Writes a file atomically, by renaming a temporary file `path`.part. Errors:
// unreachable.
result<void> write_file(const std::string& path, std::string_view content);
// Reads a whole file. Errors: not_found.
result<std::string> read_file(const std::string& path);

} // namespace bulrushspring::fakes

#endif
