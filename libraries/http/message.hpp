#ifndef BULRUSHSPRING_LIBRARIES_HTTP_MESSAGE_HPP
#define BULRUSHSPRING_LIBRARIES_HTTP_MESSAGE_HPP

#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushspring::http
{

// A header field.
struct field {
    std::string name;
    std::string value;
};

using fields = std::vector<field>;

// A complete request, including its body.
struct request {
    std::string method;
    std::string target; // path and query, as sent
    fields headers;
    std::string body;
    bool http_1_0 = false;
    // Of a received request: the round-trip time of its connection, as the
    // kernel has measured it; 0 if unknown.
    duration round_trip{0};
    std::uint32_t peer_address = 0; // endpoint::address of its sender
};

// A complete response: its end is known from its length, its last chunk or, if
// it has neither, an orderly close of the connection. A response that was cut
// off by a broken connection is never represented by this type.
struct response {
    unsigned status = 0;
    std::string reason;
    fields headers;
    std::string body;
};

// The memory in bytes that a message occupies.
std::uint64_t size_in_memory(const request& message);
std::uint64_t size_in_memory(const response& message);

// Compares header names, ignoring case.
bool equal_ignoring_case(std::string_view left, std::string_view right);

// The value of the first header with the name; empty if there is none.
std::string_view header_value(const fields& headers, std::string_view name);

// The number of headers with the name.
std::size_t header_count(const fields& headers, std::string_view name);

// Whether a header is hop-by-hop and must not be forwarded: one of those that
// RFC 9110, section 7.6.1, lists, or one that the Connection header names.
bool is_hop_by_hop(const fields& headers, std::string_view name);

// The path of a request target, without the query.
std::string_view path_of(std::string_view target);

// The percent-decoded value of a query parameter; empty if it is missing.
std::string query_parameter(std::string_view target, std::string_view name);

// Escapes all bytes but RFC 3986's unreserved characters.
std::string percent_encode(std::string_view text);

// Serializes a message and adds its Content-Length. A GET, HEAD or DELETE
// request without a body gets none.
std::string serialize_message(const request& message);
// `close` adds "Connection: close". `head_request` omits the body but keeps its
// length. Statuses 204 and 304 get neither body nor length.
std::string serialize_message(const response& message, bool close,
                              bool head_request);

// The reason phrase for a status line; "Status" for statuses not used here.
std::string_view reason_phrase(unsigned status);

} // namespace bulrushspring::http

#endif
