#ifndef BULRUSHSPRING_LIBRARIES_WIRE_ENVELOPE_HPP
#define BULRUSHSPRING_LIBRARIES_WIRE_ENVELOPE_HPP

#include "base/error.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bulrushspring::wire
{

// The version of the message format. Messages of any other version are refused.
inline constexpr std::uint8_t format_version = 2;

// The header before the content: one byte for the version, four for the
// checksum.
inline constexpr std::size_t envelope_header_bytes = 5;

// Returns the content with a header of version and checksum before it.
std::string wrap(std::string_view content);

// Checks the header and returns the content after it. Fails with truncated,
// malformed for another version, or hash_mismatch. The error names the step and
// the peer.
result<std::string_view> unwrap(std::string_view wrapped, std::string_view step,
                                std::string_view peer);

} // namespace bulrushspring::wire

#endif
