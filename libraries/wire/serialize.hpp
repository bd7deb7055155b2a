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

// The cereal functions of the messages between daemons, for the codecs in
// datagram.cpp and frame.cpp alone. cereal's own loaders of strings and
// containers allocate what a length read from the input says; these check it
// against a bound and allocate no more than a little ahead of the bytes that
// have arrived. What is wrong is thrown as cereal::Exception.
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

// The longest name of a member, data centre, region or leaf.
inline constexpr std::size_t most_name_bytes = 64;

// The most that a loader allocates ahead of the bytes that it has read.
inline constexpr std::size_t read_step_bytes = 64UL * 1024;

// A whole number written as 7 bits a byte, lowest first.
template <typename Number>
struct varint {
    Number& value;
};
template <typename Number>
varint(Number&) -> varint<Number>;

inline constexpr std::size_t most_varint_bytes = 10;

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
    std::array<std::uint8_t, most_varint_bytes> bytes{};
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
    for (std::size_t i = 0; i < most_varint_bytes; ++i) {
        std::uint8_t byte = 0;
        archive(byte);
        const std::uint64_t bits = byte & 0x7FU;
        if (i == most_varint_bytes - 1 && bits > 1) {
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
    throw cereal::Exception("number out of range");
}

// A string of at most so many bytes, its length first.
template <typename Text>
struct bounded_text {
    Text& value;
    std::size_t most_bytes;
};
template <typename Text>
bounded_text(Text&, std::size_t) -> bounded_text<Text>;

template <typename Archive, typename Text>
void save(Archive& archive, const bounded_text<Text>& text)
{
    if (text.value.size() > text.most_bytes) {
        throw cereal::Exception("text longer than its bound");
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
    if (left > text.most_bytes) {
        throw cereal::Exception("text longer than its bound");
    }
    text.value.clear();
    while (left > 0) {
        const auto step = std::min<std::size_t>(left, read_step_bytes);
        const auto start = text.value.size();
        text.value.resize(start + step);
        archive(cereal::binary_data(text.value.data() + start, step));
        left -= step;
    }
}

// A sequence of at most so many elements, their number first.
template <typename Element>
struct bounded_list {
    std::vector<Element>& values;
    std::size_t most;
};

template <typename Archive, typename Element>
void save(Archive& archive, const bounded_list<Element>& list)
{
    if (list.values.size() > list.most) {
        throw cereal::Exception("list longer than its bound");
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
    if (size > list.most) {
        throw cereal::Exception("list longer than its bound");
    }
    list.values.clear();
    for (std::uint64_t i = 0; i < size; ++i) {
        archive(list.values.emplace_back());
    }
}

// A member's three addresses mostly share one IP address: the flags say
// which of them carry their own. They stand beside the status in one byte.
inline constexpr std::uint8_t status_bits = 0x03;
inline constexpr std::uint8_t own_caller_address = 0x04;
inline constexpr std::uint8_t own_operators_address = 0x08;
inline constexpr std::uint8_t overloaded_bit = 0x10;
inline constexpr std::uint8_t known_flags =
    status_bits | own_caller_address | own_operators_address | overloaded_bit;

inline std::uint8_t record_flags(const member_record& record)
{
    auto flags = static_cast<std::uint8_t>(record.status);
    if (record.caller.address != record.peer.address) {
        flags |= own_caller_address;
    }
    if (record.operators.address != record.peer.address) {
        flags |= own_operators_address;
    }
    if (record.overloaded) {
        flags |= overloaded_bit;
    }
    return flags;
}

template <typename Archive>
void serialize(Archive& archive, digest& documents)
{
    archive(varint{documents.manifest_version}, documents.manifest_hash,
            varint{documents.vms_revision}, documents.vms_hash);
}

// What is written of an address besides its port, if it has its own.
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
    if (flags > known_flags) {
        throw cereal::Exception("unknown flags of a member");
    }
    record.status = static_cast<member_status>(flags & status_bits);
    record.overloaded = (flags & overloaded_bit) != 0;
    archive(bounded_text{record.name, most_name_bytes},
            bounded_text{record.data_centre, most_name_bytes},
            bounded_text{record.region, most_name_bytes});
    serialize_endpoint(archive, record.peer, true, 0);
    serialize_endpoint(archive, record.caller,
                       (flags & own_caller_address) != 0, record.peer.address);
    serialize_endpoint(archive, record.operators,
                       (flags & own_operators_address) != 0,
                       record.peer.address);
    archive(varint{record.life}, varint{record.refutation},
            varint{record.capacity});
}

template <typename Archive>
void serialize(Archive& archive, leaving_leaf& leaf)
{
    archive(bounded_text{leaf.name, most_name_bytes});
}

} // namespace bulrushspring::wire

#endif
