#include "base/endpoint.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace bulrushspring
{
namespace
{

error endpoint_error(std::string_view text, const char* expected)
{
    return error{errc::malformed, "parse endpoint", "",
                 "'" + std::string(text) + "': expected " + expected};
}

} // namespace

result<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return endpoint_error(text, "ADDRESS:PORT");
    }
    const std::string address(text.substr(0, colon));
    const std::string_view port = text.substr(colon + 1);
    in_addr parsed{};
    if (inet_pton(AF_INET, address.c_str(), &parsed) != 1) {
        return endpoint_error(text, "an IPv4 address");
    }
    endpoint value;
    value.address = ntohl(parsed.s_addr);
    const auto* end = port.data() + port.size();
    const auto parsed_port = std::from_chars(port.data(), end, value.port);
    if (parsed_port.ec != std::errc{} || parsed_port.ptr != end) {
        return endpoint_error(text, "a port from 0 to 65535");
    }
    return value;
}

std::string address_text(const endpoint& value)
{
    in_addr raw{htonl(value.address)};
    char buffer[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &raw, buffer, sizeof buffer);
    return buffer;
}

std::string to_string(const endpoint& value)
{
    return address_text(value) + ":" + std::to_string(value.port);
}

} // namespace bulrushspring
