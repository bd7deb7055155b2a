#ifndef BULRUSHSPRING_LIBRARIES_WIRE_FRAME_HPP
#define BULRUSHSPRING_LIBRARIES_WIRE_FRAME_HPP

#include "base/error.hpp"
#include "libraries/wire/message.hpp"

#include <cstddef>
#include <string>
#include <string_view>

// Frames of requests and replies between daemons over TCP: a length prefix of
// four bytes in big-endian order, then that many bytes of content.
namespace bulrushspring::wire
{

inline constexpr std::size_t frame_prefix_bytes = 4;

// The limit on the content of a frame, without its length prefix.
inline constexpr std::size_t max_frame_bytes = 4UL * 1024 * 1024;

// The limit on one document, such as a section, in a frame.
inline constexpr std::size_t max_document_bytes = 1024UL * 1024;

// The limit on the sections, or on the hashes of sections, in a frame.
inline constexpr std::size_t max_sections = 16UL * 1024;

// The limit on the member records in a frame.
inline constexpr std::size_t max_members = 16UL * 1024;

// The limits on the published records in a frame and on the key of each.
inline constexpr std::size_t max_records = 64UL * 1024;
inline constexpr std::size_t max_key_bytes = 256;

// The limit on the reports of crashes in a frame.
inline constexpr std::size_t max_reports_in_frame = 2048;

// Encodes a complete frame with its length prefix. Fails with errc::too_large.
result<std::string> encode(const peer_request& request);
result<std::string> encode(const peer_reply& reply);

// Compresses a frame of a reply. Only a daemon that has said so in its request
// can decode the result.
std::string compress_reply(std::string_view frame);

// Returns the size in bytes of the frame at the start of a buffer, including
// its length prefix, or 0 if the prefix has not fully arrived yet. Fails with
// errc::too_large; the connection can't be read any further then.
result<std::size_t> frame_size(std::string_view buffered,
                               std::string_view peer);

// Decodes a complete frame with its length prefix; a reply may be compressed.
// Fails with too_large, truncated, hash_mismatch or malformed; the error names
// the peer, which is the sender.
result<peer_request> decode_request(std::string_view frame,
                                    std::string_view peer);
result<peer_reply> decode_reply(std::string_view frame, std::string_view peer);

} // namespace bulrushspring::wire

#endif
