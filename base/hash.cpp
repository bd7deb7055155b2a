#include "base/hash.hpp"

#include <array>
#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace bulrushspring
{
namespace
{

constexpr std::size_t half_digits = 16;

bool read_half(std::string_view digits, std::uint64_t& value)
{
    const auto* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, value, 16);
    return parsed.ec == std::errc{} && parsed.ptr == end;
}

} // namespace

content_hash hash_content(std::string_view content)
{
    const XXH128_hash_t raw = XXH3_128bits(content.data(), content.size());
    return {raw.high64, raw.low64};
}

std::string to_string(const content_hash& value)
{
    std::array<char, 2 * half_digits + 1> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(value.high),
                  static_cast<unsigned long long>(value.low));
    return {buffer.data(), 2 * half_digits};
}

result<content_hash> parse_content_hash(std::string_view text)
{
    content_hash value;
    if (text.size() != 2 * half_digits ||
        !read_half(text.substr(0, half_digits), value.high) ||
        !read_half(text.substr(half_digits), value.low)) {
        return error{errc::malformed, "parse content hash", "",
                     "expected 32 hexadecimal digits"};
    }
    return value;
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace bulrushspring
