#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_MERGE_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_MERGE_HPP

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace bulrushspring::gateway
{

// Length of a record in a shard's answer. Trailing bytes that don't fill a
// record are ignored.
inline constexpr std::size_t record_bytes = 16;

// The greatest records of all bodies in descending byte order, at most
// max_records of them. Duplicates are kept.
std::string greatest_records(std::span<const std::string_view> bodies,
                             std::size_t max_records);

} // namespace bulrushspring::gateway

#endif
