#include "libraries/shell/http.hpp"

#include <charconv>

namespace bulrushspring::shell
{

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    if (text.empty() || read.ec != std::errc{} || read.ptr != end) {
        return std::nullopt;
    }
    return value;
}

http_connection_handle make_http_connection(event_base* base,
                                            const endpoint& address,
                                            std::size_t max_body_bytes)
{
    http_connection_handle connection(evhttp_connection_base_new(
        base, nullptr, address_text(address).c_str(), address.port));
    evhttp_connection_set_retries(connection.get(), 0);
    evhttp_connection_set_max_headers_size(connection.get(), max_header_bytes);
    evhttp_connection_set_max_body_size(
        connection.get(), static_cast<ev_ssize_t>(max_body_bytes));
    return connection;
}

} // namespace bulrushspring::shell
