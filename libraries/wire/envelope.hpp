#ifndef BULRUSHSPRING_LIBRARIES_WIRE_ENVELOPE_HPP
#define BULRUSHSPRING_LIBRARIES_WIRE_ENVELOPE_HPP

#include "base/error.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushspring::wire
{

// The version of the format; a daemon refuses what carries another.
inline constexpr std::uint8_t format_version = 2;

// What stands before the content: the version and a checksum of 4 bytes.
inline constexpr std::size_t envelope_bytes = 5;

// Puts the version and the content's checksum before the content.
std::string seal(std::string_view content);

// The content within, or why it can't be read: truncated, of another
// version, or damaged. The step and the peer go into the error.
result<std::string_view> unseal(std::string_view sealed, std::string_view step,
                                std::string_view peer);

} // namespace bulrushspring::wire

#endif
