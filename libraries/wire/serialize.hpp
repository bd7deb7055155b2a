#ifndef BULRUSHSPRING_LIBRARIES_WIRE_SERIALIZE_HPP
#define BULRUSHSPRING_LIBRARIES_WIRE_SERIALIZE_HPP

#include "libraries/wire/message.hpp"

#include <algorithm>
#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstddef>
#include <limits>
#include <string>
#include <type_traits>
#include <vector>

// The cereal functions for the messages between daemons, used only by the
// codecs in datagram.cpp and frame.cpp. cereal's own loaders for strings and
// containers allocate whatever length the input claims. These check the length
// against a limit and allocate at most one chunk ahead of the bytes that have
// been read. Errors are thrown as cereal::Exception.
namespace bulrushspring
{

template <typename Archive>
void serialize(Archive& archive, content_hash& hash)
{
    archive(hash.high, hash.low);
}

} // namespace bulrushspring

namespace bulrushspring::wire
{

// The limit on the name of a member, data centre, region or leaf.
inline constexpr std::size_t max_name_bytes = 64;

// A loader of text allocates at most this much ahead of the bytes that it has
// read.
inline constexpr std::size_t read_chunk_bytes = 64UL * 1024;

// An unsigned integer in LEB128: seven bits to a byte, the lowest first.
template <typename Number>
struct varint {
    Number& value;
};
template <typename Number>
varint(Number&) -> varint<Number>;

inline constexpr std::size_t max_varint_bytes = 10;

constexpr std::size_t varint_size(std::uint64_t value)
{
    std::size_t size = 1;
    for (; value >= 0x80U; value >>= 7U) {
        ++size;
    }
    return size;
}

template <typename Archive, typename Number>
void save(Archive& archive, const varint<Number>& number)
{
    std::array<std::uint8_t, max_varint_bytes> bytes{};
    std::size_t size = 0;
    std::uint64_t left = number.value;
    for (; left >= 0x80U; left >>= 7U) {
        bytes[size++] = static_cast<std::uint8_t>(left | 0x80U);
    }
    bytes[size++] = static_cast<std::uint8_t>(left);
    archive(cereal::binary_data(bytes.data(), size));
}

template <typename Archive, typename Number>
void load(Archive& archive, varint<Number>& number)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < max_varint_bytes; ++i) {
        std::uint8_t byte = 0;
        archive(byte);
        const std::uint64_t bits = byte & 0x7FU;
        if (i == max_varint_bytes - 1 && bits > 1) {
            break;
        }
        value |= bits << (7U * i);
        if ((byte & 0x80U) == 0) {
            if (value > std::numeric_limits<Number>::max()) {
                break;
            }
            number.value = static_cast<Number>(value);
            return;
        }
    }
    throw cereal::Exception("integer out of range");
}

// A string with a limit on its size, encoded with its length first.
template <typename Text>
struct bounded_text {
    Text& value;
    std::size_t max_bytes;
};
template <typename Text>
bounded_text(Text&, std::size_t) -> bounded_text<Text>;

template <typename Archive, typename Text>
void save(Archive& archive, const bounded_text<Text>& text)
{
    if (text.value.size() > text.max_bytes) {
        throw cereal::Exception("text exceeds its limit");
    }
    const std::uint64_t size = text.value.size();
    archive(varint{size});
    archive(cereal::binary_data(text.value.data(), text.value.size()));
}

template <typename Archive, typename Text>
void load(Archive& archive, bounded_text<Text>& text)
{
    std::uint64_t left = 0;
    archive(varint{left});
    if (left > text.max_bytes) {
        throw cereal::Exception("text exceeds its limit");
    }
    text.value.clear();
    while (left > 0) {
        const auto chunk = std::min<std::size_t>(left, read_chunk_bytes);
        const auto start = text.value.size();
        text.value.resize(start + chunk);
        archive(cereal::binary_data(text.value.data() + start, chunk));
        left -= chunk;
    }
}

// A list with a limit on its elements, encoded with their number first.
template <typename Element>
struct bounded_list {
    std::vector<Element>& values;
    std::size_t max_elements;
};

template <typename Archive, typename Element>
void save(Archive& archive, const bounded_list<Element>& list)
{
    if (list.values.size() > list.max_elements) {
        throw cereal::Exception("list exceeds its limit");
    }
    const std::uint64_t size = list.values.size();
    archive(varint{size});
    for (const auto& value : list.values) {
        archive(value);
    }
}

template <typename Archive, typename Element>
void load(Archive& archive, bounded_list<Element>& list)
{
    std::uint64_t size = 0;
    archive(varint{size});
    if (size > list.max_elements) {
        throw cereal::Exception("list exceeds its limit");
    }
    list.values.clear();
    for (std::uint64_t i = 0; i < size; ++i) {
        archive(list.values.emplace_back());
    }
}

// The status and the flags of a member record share one byte. A member's three
// endpoints mostly have the same IP address, so the flags say which of them are
// encoded with an address of their own.
inline constexpr std::uint8_t status_bits = 0x03;
inline constexpr std::uint8_t has_caller_address = 0x04;
inline constexpr std::uint8_t has_operators_address = 0x08;
inline constexpr std::uint8_t overloaded_bit = 0x10;
inline constexpr std::uint8_t partitioned_bit = 0x20;
inline constexpr std::uint8_t all_flags = status_bits | has_caller_address |
                                          has_operators_address |
                                          overloaded_bit | partitioned_bit;

inline std::uint8_t record_flags(const member_record& record)
{
    auto flags = static_cast<std::uint8_t>(record.status);
    if (record.caller.address != record.peer.address) {
        flags |= has_caller_address;
    }
    if (record.operators.address != record.peer.address) {
        flags |= has_operators_address;
    }
    if (record.overloaded) {
        flags |= overloaded_bit;
    }
    if (record.partitioned) {
        flags |= partitioned_bit;
    }
    return flags;
}

template <typename Archive>
void serialize(Archive& archive, digest& documents)
{
    archive(varint{documents.manifest_version}, documents.manifest_hash,
            varint{documents.vms_revision}, documents.vms_hash);
}

// Encodes an endpoint's port and, if `own` is set, its IP address; otherwise
// the IP address is `shared`.
template <typename Archive>
void serialize_endpoint(Archive& archive, endpoint& value, bool own,
                        std::uint32_t shared)
{
    if (own) {
        archive(value.address);
    } else {
        value.address = shared;
    }
    archive(value.port);
}

template <typename Archive>
void serialize(Archive& archive, member_record& record)
{
    std::uint8_t flags = record_flags(record);
    archive(flags);
    if (flags > all_flags) {
        throw cereal::Exception("unknown flags in a member record");
    }
    record.status = static_cast<member_status>(flags & status_bits);
    record.overloaded = (flags & overloaded_bit) != 0;
    record.partitioned = (flags & partitioned_bit) != 0;
    archive(bounded_text{record.name, max_name_bytes},
            bounded_text{record.data_centre, max_name_bytes},
            bounded_text{record.region, max_name_bytes});
    serialize_endpoint(archive, record.peer, true, 0);
    serialize_endpoint(archive, record.caller,
                       (flags & has_caller_address) != 0, record.peer.address);
    serialize_endpoint(archive, record.operators,
                       (flags & has_operators_address) != 0,
                       record.peer.address);
    archive(varint{record.incarnation}, varint{record.refutation},
            varint{record.capacity});
}

template <typename Archive>
void serialize(Archive& archive, leaving_leaf& leaf)
{
    archive(bounded_text{leaf.name, max_name_bytes});
}

// The limit on the crashes in a report.
inline constexpr std::size_t max_crashes_in_report = 8;

template <typename Archive>
void serialize(Archive& archive, leaf_crash& crash)
{
    archive(crash.leaf_process, varint{crash.sent_ms_ago},
            varint{crash.ended_ms_ago});
}

template <typename Archive>
void serialize(Archive& archive, crash_report& report)
{
    archive(report.fingerprint, varint{report.seen_ms_ago},
            varint{report.answered_ms_ago},
            bounded_list<leaf_crash>{report.crashes, max_crashes_in_report});
}

template <typename Archive>
void serialize(Archive& archive, leaf_rate& rate)
{
    archive(bounded_text{rate.leaf, max_name_bytes}, varint{rate.incarnation},
            rate.limited, varint{rate.millirequests_per_second},
            varint{rate.stated_ms_ago});
}

} // namespace bulrushspring::wire

#endif
