#ifndef BULRUSHSPRING_LIBRARIES_SHELL_HTTP_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_HTTP_HPP

#include "libraries/http/parser.hpp"
#include "libraries/memory/account.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace bulrushspring::shell
{

// Limits on what is read from a connection.
constexpr std::size_t max_header_bytes = std::size_t{8} * 1024;
constexpr std::size_t max_request_body_bytes = std::size_t{256} * 1024;
constexpr std::size_t max_response_body_bytes = std::size_t{1024} * 1024;

// The limits on one response of a leaf: smaller bodies if the account, if any,
// allows no more.
http::size_limits response_limits(const memory::account* account);

// Parses a decimal number from a header or query; empty if the text is empty or
// is not entirely a number.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace bulrushspring::shell

#endif
