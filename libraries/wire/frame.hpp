#ifndef BULRUSHSPRING_LIBRARIES_WIRE_FRAME_HPP
#define BULRUSHSPRING_LIBRARIES_WIRE_FRAME_HPP

#include "base/error.hpp"
#include "libraries/wire/message.hpp"

#include <cstddef>
#include <string>
#include <string_view>

// Requests and replies between daemons over TCP: a length of 4 bytes, highest
// first, then that many bytes of content.
namespace bulrushspring::wire
{

inline constexpr std::size_t frame_prefix_bytes = 4;

// The longest content of a frame.
inline constexpr std::size_t most_frame_bytes = 4UL * 1024 * 1024;

// The longest document, such as a section, within a frame.
inline constexpr std::size_t most_document_bytes = 1024UL * 1024;

// The most sections or hashes of sections in a frame.
inline constexpr std::size_t most_sections = 16UL * 1024;

// The most members in a frame.
inline constexpr std::size_t most_members = 16UL * 1024;

// The most published records in a frame, and the longest key of one.
inline constexpr std::size_t most_records = 64UL * 1024;
inline constexpr std::size_t most_key_bytes = 256;

// A whole frame, the length included. Fails with errc::too_large.
result<std::string> encode(const peer_request& request);
result<std::string> encode(const peer_reply& reply);

// How many bytes the frame at the start of a buffer has, its length included;
// 0 while too few bytes have arrived to say. Fails with errc::too_large, and
// nothing more can be read from that connection.
result<std::size_t> frame_size(std::string_view buffered,
                               std::string_view peer);

// Reads a whole frame, the length included. The peer is the sender, for the
// error: too_large, truncated, hash_mismatch or malformed.
result<peer_request> decode_request(std::string_view frame,
                                    std::string_view peer);
result<peer_reply> decode_reply(std::string_view frame, std::string_view peer);

} // namespace bulrushspring::wire

#endif
