#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_MERGE_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_MERGE_HPP

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace bulrushspring::gateway
{

// The length of a record in a shard's answer. What is left over at the end
// of an answer is no record.
inline constexpr std::size_t record_bytes = 16;

// The greatest records of all bodies, at most so many, compared byte by byte,
// greatest first. Equal records all count.
std::string greatest_records(std::span<const std::string_view> bodies,
                             std::size_t most);

} // namespace bulrushspring::gateway

#endif
