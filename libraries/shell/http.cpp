#include "libraries/shell/http.hpp"

#include <algorithm>
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

http::size_limits response_limits(const memory::account* account)
{
    http::size_limits limits{max_header_bytes, max_response_body_bytes};
    if (account != nullptr && account->limits.response_bytes != 0) {
        limits.body_bytes =
            std::min(limits.body_bytes, account->limits.response_bytes);
    }
    return limits;
}

} // namespace bulrushspring::shell
