#ifndef BULRUSHSPRING_BASE_ENDPOINT_HPP
#define BULRUSHSPRING_BASE_ENDPOINT_HPP

#include "base/error.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace bulrushspring
{

// An IPv4 address, in host byte order, and a port.
struct endpoint {
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

// Parses a text such as "127.0.0.1:8080". Port 0 is allowed; a socket bound to
// it gets an ephemeral port.
result<endpoint> parse_endpoint(std::string_view text);

// The inverse of parse_endpoint.
std::string to_string(const endpoint& value);

// The address without the port, such as "127.0.0.1".
std::string address_text(const endpoint& value);

} // namespace bulrushspring

template <>
struct std::hash<bulrushspring::endpoint> {
    std::size_t operator()(const bulrushspring::endpoint& value) const noexcept
    {
        return std::hash<std::uint64_t>{}(std::uint64_t{value.address} << 16U |
                                          value.port);
    }
};

#endif
