#ifndef BULRUSHSPRING_LIBRARIES_CLIENT_HTTP_HPP
#define BULRUSHSPRING_LIBRARIES_CLIENT_HTTP_HPP

#include "base/endpoint.hpp"
#include "base/error.hpp"
#include "base/time.hpp"
#include "libraries/client/event_pointers.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushspring::client
{

// Limits on the headers and bodies that are read from a peer, in bytes.
inline constexpr std::size_t max_header_bytes = 8 * std::size_t{1024};
inline constexpr std::size_t max_answer_bytes = 4 * std::size_t{1024} * 1024;

// Ignores SIGPIPE, so that a write to a connection closed by the peer fails
// instead of terminating the process. Call once before the first exchange.
void ignore_broken_pipes();

struct http_header {
    std::string name;
    std::string value;
};

enum class http_method : std::uint8_t { get, post, put, remove };

struct http_request {
    http_method method = http_method::get;
    std::string target; // path and query
    std::vector<http_header> headers;
    std::string body;
};

struct http_response {
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
};

// The value of a header, by its case-insensitive name; empty if it is missing.
std::string_view header_of(const http_response& response,
                           std::string_view name);

// Percent-encodes text for use in a path or a query.
std::string uri_encoded(std::string_view text);

// The outcome of an exchange. `sent` is false only if no byte of the request
// left this process.
struct exchange_result {
    result<http_response> response;
    bool sent = false;
};
using exchange_done = std::function<void(exchange_result)>;

// A keep-alive connection for one exchange at a time. It connects on first use
// and reconnects after a failure. It can't be moved, since libevent holds its
// address.
struct http_connection {
    http_connection(event_base& loop, endpoint peer);
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    ~http_connection() = default;

    event_base& base;
    endpoint to;
    event_pointer timer; // the current exchange's time limit
    evhttp_connection_pointer handle;
    exchange_done done; // empty while no exchange is in progress
    bool sent = false;
};

// Starts an exchange and calls `done` once when it ends; `done` must not
// destroy the connection. Requests are never retried. Errors: unreachable,
// timed_out, closed (also if a limit was exceeded).
void start_exchange(http_connection& connection, const http_request& request,
                    duration timeout, exchange_done done);

// Performs one exchange on a new connection and blocks until it ends.
exchange_result exchange(const endpoint& to, const http_request& request,
                         duration timeout);

} // namespace bulrushspring::client

#endif
