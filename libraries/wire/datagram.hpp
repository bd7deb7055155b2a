#ifndef BULRUSHSPRING_LIBRARIES_WIRE_DATAGRAM_HPP
#define BULRUSHSPRING_LIBRARIES_WIRE_DATAGRAM_HPP

#include "base/error.hpp"
#include "libraries/wire/message.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace bulrushspring::wire
{

// Larger datagrams are fragmented between data centres, and the loss of one
// fragment loses the whole datagram.
inline constexpr std::size_t max_datagram_bytes = 1200;

// The limit on the member records in one datagram, and also on its leaving
// leafs.
inline constexpr std::size_t max_piggybacked_records = 100;

// The limit on the reports of crashes in one datagram.
inline constexpr std::size_t max_reports_in_datagram = 64;

// The limit on the stated rates of leafs in one datagram.
inline constexpr std::size_t max_rates_in_datagram = 32;

// An encoded datagram. Only the first `members` and the first `leaving`
// elements of the message's lists fitted into it.
struct packed_datagram {
    std::string bytes;
    std::size_t members = 0;
    std::size_t leaving = 0;
};

// Encodes a message with as many of its leaving leafs, and then of its members,
// as fit into max_datagram_bytes. Fails with errc::too_large if a name is
// longer than max_name_bytes, or if reports of crashes don't fit.
result<packed_datagram> pack(const datagram& message);

// As pack(), but returns only the bytes.
result<std::string> encode(const datagram& message);

// Decodes a complete datagram. Fails with too_large, truncated, hash_mismatch
// or malformed; the error names the peer, which is the sender.
result<datagram> decode_datagram(std::string_view bytes, std::string_view peer);

// The number of bytes that a record takes in a datagram.
std::size_t encoded_size(const member_record& record);
std::size_t encoded_size(const leaving_leaf& leaf);
std::size_t encoded_size(const crash_report& report);
std::size_t encoded_size(const leaf_rate& rate);

// The size in bytes of the datagram of a message without its piggybacked
// records.
std::size_t base_size(const datagram& message);

} // namespace bulrushspring::wire

#endif
