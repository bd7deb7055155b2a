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

// Parses a decimal number from a header or query; empty if the text is empty or
// is not entirely a number.
std::optional<std::uint64_t> parse_number(std::string_view text);

// Makes a client connection with limits on response sizes. evhttp's automatic
// retries are turned off.
http_connection_handle make_http_connection(event_base* base,
                                            const endpoint& address,
                                            std::size_t max_body_bytes);

} // namespace bulrushspring::shell

#endif
