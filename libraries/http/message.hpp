#ifndef BULRUSHSPRING_LIBRARIES_HTTP_MESSAGE_HPP
#define BULRUSHSPRING_LIBRARIES_HTTP_MESSAGE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace bulrushspring::http
{

struct field {
    std::string name;
    std::string value;
};

using fields = std::vector<field>;

// A whole request: its body has been read to its end.
struct request {
    std::string method;
    std::string target; // path and query, as sent
    fields headers;
    std::string body;
    bool http_1_0 = false;
};

// A whole answer. An answer whose end could not be told from a broken
// connection never becomes one of these.
struct response {
    unsigned status = 0;
    std::string reason;
    fields headers;
    std::string body;
};

// Compares names of headers, which ignore case.
bool same_name(std::string_view left, std::string_view right);

// The value of the first header of that name; empty where it is missing.
std::string_view value_of(const fields& headers, std::string_view name);

std::size_t count_of(const fields& headers, std::string_view name);

// Whether a header concerns one connection only and is never forwarded:
// those of RFC 9110, section 7.6.1, and those that Connection names.
bool concerns_connection(const fields& headers, std::string_view name);

// The path of a target, without its query.
std::string_view path_of(std::string_view target);

// The value of a query parameter of a target, with percent escapes resolved;
// empty where it is missing.
std::string query_parameter(std::string_view target, std::string_view name);

std::string percent_encode(std::string_view text);

// The bytes of a message. The length of the body is added as a header; a
// request without a body whose method has none by custom gets no length.
std::string render(const request& message);
// `close` adds "Connection: close". The body is left out for `to_head`.
std::string render(const response& message, bool close, bool to_head);

std::string_view reason_phrase(unsigned status);

} // namespace bulrushspring::http

#endif
