#include "libraries/shell/handles.hpp"

#include <algorithm>
#include <arpa/inet.h>

namespace bulrushspring::shell
{

timeval to_timeval(duration span)
{
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
                            std::max(span, duration{0}))
                            .count();
    constexpr std::int64_t micros_per_second = 1'000'000;
    timeval value{};
    value.tv_sec = micros / micros_per_second;
    value.tv_usec = micros % micros_per_second;
    return value;
}

sockaddr_in to_socket_address(const endpoint& value)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(value.port);
    address.sin_addr.s_addr = htonl(value.address);
    return address;
}

endpoint from_socket_address(const sockaddr_in& value)
{
    return {ntohl(value.sin_addr.s_addr), ntohs(value.sin_port)};
}

endpoint bound_endpoint(evutil_socket_t socket)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return from_socket_address(address);
}

std::string_view content_of(evbuffer* buffer)
{
    const std::size_t size = evbuffer_get_length(buffer);
    if (size == 0) {
        return {};
    }
    const auto* bytes = evbuffer_pullup(buffer, -1);
    return {reinterpret_cast<const char*>(bytes), size};
}

} // namespace bulrushspring::shell
