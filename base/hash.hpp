#ifndef BULRUSHSPRING_BASE_HASH_HPP
#define BULRUSHSPRING_BASE_HASH_HPP

#include "base/error.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace bulrushspring
{

// The 128-bit XXH3 hash of a text. It identifies contents and detects
// corruption. It is not cryptographic and does not protect against forgery.
struct content_hash {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const content_hash&) const = default;
};

content_hash hash_content(std::string_view content);

// Formats a hash as 32 lower-case hexadecimal digits.
std::string to_string(const content_hash& value);
// The inverse of to_string. Fails with errc::malformed.
result<content_hash> parse_content_hash(std::string_view text);

// The seeded 64-bit XXH3 hash of a text. It gives the same value on every
// machine, so that daemons agree on choices made by rendezvous hashing.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

} // namespace bulrushspring

template <>
struct std::hash<bulrushspring::content_hash> {
    std::size_t
    operator()(const bulrushspring::content_hash& value) const noexcept
    {
        return static_cast<std::size_t>(value.low);
    }
};

#endif
