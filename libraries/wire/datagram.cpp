#include "libraries/wire/datagram.hpp"

#include "libraries/wire/envelope.hpp"
#include "libraries/wire/serialize.hpp"

#include <span>
#include <sstream>
#include <utility>

namespace bulrushspring::wire
{
namespace
{

constexpr std::size_t archive_header_bytes = 1; // cereal's byte order flag
constexpr std::size_t tag_bytes = 1;
constexpr std::size_t count_bytes = 1;
constexpr std::size_t address_bytes = 4;
constexpr std::size_t port_bytes = 2;
constexpr std::size_t hash_bytes = 16;

template <typename Message>
constexpr bool carries_updates = !std::is_same_v<Message, ping_request>;

template <typename Message>
constexpr bool has_sequence = !std::is_same_v<Message, gossip>;

std::size_t text_size(std::string_view text)
{
    return varint_size(text.size()) + text.size();
}

std::size_t digest_size(const digest& documents)
{
    return varint_size(documents.manifest_version) + hash_bytes +
           varint_size(documents.vms_revision) + hash_bytes;
}

template <typename Message>
std::size_t base_content_size(const Message& message)
{
    std::size_t size = encoded_size(message.from);
    if constexpr (has_sequence<Message>) {
        size += varint_size(message.sequence);
    }
    if constexpr (carries_updates<Message>) {
        size += digest_size(message.in_force) + 2 * count_bytes;
    } else {
        size += text_size(message.target) + address_bytes + port_bytes;
    }
    return size;
}

std::size_t base_content_size(const crash_reports& /*message*/)
{
    return count_bytes;
}

std::size_t base_content_size(const leaf_rates& /*message*/)
{
    return count_bytes;
}

// Counts the records, from the first on, that fit into `room` bytes, and
// reduces `room` by their sizes.
template <typename Record>
std::size_t count_fitting(std::span<const Record> records, std::size_t& room)
{
    std::size_t count = 0;
    for (const auto& record : records) {
        const auto size = encoded_size(record);
        if (count == max_piggybacked_records || size > room) {
            break;
        }
        room -= size;
        ++count;
    }
    return count;
}

template <typename Record>
void save_first(cereal::PortableBinaryOutputArchive& archive,
                std::span<const Record> records, std::size_t count)
{
    archive(static_cast<std::uint8_t>(count));
    for (const auto& record : records.first(count)) {
        archive(record);
    }
}

template <typename Record>
void load_records(cereal::PortableBinaryInputArchive& archive,
                  std::vector<Record>& records)
{
    std::uint8_t count = 0;
    archive(count);
    if (count > max_piggybacked_records) {
        throw cereal::Exception("more records than a datagram may carry");
    }
    for (std::uint8_t i = 0; i < count; ++i) {
        archive(records.emplace_back());
    }
}

template <typename Message>
void save_message(cereal::PortableBinaryOutputArchive& archive,
                  const Message& message, packed_datagram& packed)
{
    if constexpr (has_sequence<Message>) {
        archive(varint{message.sequence});
    }
    archive(message.from);
    if constexpr (carries_updates<Message>) {
        archive(message.in_force);
        const std::span<const leaving_leaf> leaving = message.leaving;
        const std::span<const member_record> members = message.members;
        const auto base = base_size(message);
        std::size_t room =
            max_datagram_bytes - std::min(base, max_datagram_bytes);
        packed.leaving = count_fitting(leaving, room);
        packed.members = count_fitting(members, room);
        save_first(archive, leaving, packed.leaving);
        save_first(archive, members, packed.members);
    } else {
        archive(bounded_text{message.target, max_name_bytes},
                message.target_address.address, message.target_address.port);
    }
}

template <typename Message>
Message load_message(cereal::PortableBinaryInputArchive& archive)
{
    Message message;
    if constexpr (has_sequence<Message>) {
        archive(varint{message.sequence});
    }
    archive(message.from);
    if constexpr (carries_updates<Message>) {
        archive(message.in_force);
        load_records(archive, message.leaving);
        load_records(archive, message.members);
    } else {
        archive(bounded_text{message.target, max_name_bytes},
                message.target_address.address, message.target_address.port);
    }
    return message;
}

// Saves a list that has to fit into the datagram as a whole.
template <typename Message, typename Record>
void save_list(cereal::PortableBinaryOutputArchive& archive,
               const Message& message, std::vector<Record> records,
               std::size_t max_records)
{
    std::size_t size = base_size(message);
    for (const auto& each : records) {
        size += encoded_size(each);
    }
    if (size > max_datagram_bytes) {
        throw cereal::Exception("list exceeds the datagram limit");
    }
    archive(bounded_list<Record>{records, max_records});
}

void save_message(cereal::PortableBinaryOutputArchive& archive,
                  const crash_reports& message, packed_datagram& /*packed*/)
{
    save_list(archive, message, message.reports, max_reports_in_datagram);
}

void save_message(cereal::PortableBinaryOutputArchive& archive,
                  const leaf_rates& message, packed_datagram& /*packed*/)
{
    save_list(archive, message, message.rates, max_rates_in_datagram);
}

datagram load_datagram(cereal::PortableBinaryInputArchive& archive)
{
    std::uint8_t tag = 0;
    archive(tag);
    switch (tag) {
    case 0:
        return load_message<ping>(archive);
    case 1:
        return load_message<ack>(archive);
    case 2:
        return load_message<ping_request>(archive);
    case 3:
        return load_message<gossip>(archive);
    case 4: {
        crash_reports message;
        archive(bounded_list<crash_report>{message.reports,
                                           max_reports_in_datagram});
        return message;
    }
    case 5: {
        leaf_rates message;
        archive(bounded_list<leaf_rate>{message.rates, max_rates_in_datagram});
        return message;
    }
    default:
        throw cereal::Exception("unknown message tag");
    }
}

} // namespace

result<packed_datagram> pack(const datagram& message)
{
    packed_datagram packed;
    try {
        std::ostringstream stream;
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(static_cast<std::uint8_t>(message.index()));
        std::visit(
            [&](const auto& content) {
                save_message(archive, content, packed);
            },
            message);
        packed.bytes = wrap(stream.view());
    } catch (const cereal::Exception& failure) {
        return error{errc::too_large, "encode datagram", "", failure.what()};
    }
    return packed;
}

result<std::string> encode(const datagram& message)
{
    TRY(packed, pack(message));
    return std::move(packed.bytes);
}

result<datagram> decode_datagram(std::string_view bytes, std::string_view peer)
{
    constexpr std::string_view step = "decode datagram";
    if (bytes.size() > max_datagram_bytes) {
        return error{errc::too_large, std::string(step), std::string(peer), ""};
    }
    TRY(content, unwrap(bytes, step, peer));
    try {
        std::istringstream stream{std::string(content)};
        cereal::PortableBinaryInputArchive archive(stream);
        auto message = load_datagram(archive);
        if (stream.peek() != std::istringstream::traits_type::eof()) {
            throw cereal::Exception("trailing bytes after the message");
        }
        return message;
    } catch (const cereal::Exception& failure) {
        return error{errc::malformed, std::string(step), std::string(peer),
                     failure.what()};
    }
}

std::size_t encoded_size(const member_record& record)
{
    constexpr std::size_t flag_bytes = 1;
    std::size_t size =
        flag_bytes + text_size(record.name) + text_size(record.data_centre) +
        text_size(record.region) + address_bytes + 3 * port_bytes +
        varint_size(record.incarnation) + varint_size(record.refutation) +
        varint_size(record.capacity);
    const auto flags = record_flags(record);
    if ((flags & has_caller_address) != 0) {
        size += address_bytes;
    }
    if ((flags & has_operators_address) != 0) {
        size += address_bytes;
    }
    return size;
}

std::size_t encoded_size(const leaving_leaf& leaf)
{
    return text_size(leaf.name);
}

std::size_t encoded_size(const crash_report& report)
{
    constexpr std::size_t fingerprint_bytes = 8;
    constexpr std::size_t process_bytes = 8;
    std::size_t size = fingerprint_bytes + varint_size(report.seen_ms_ago) +
                       varint_size(report.answered_ms_ago) +
                       varint_size(report.crashes.size());
    for (const auto& each : report.crashes) {
        size += process_bytes + varint_size(each.sent_ms_ago) +
                varint_size(each.ended_ms_ago);
    }
    return size;
}

std::size_t encoded_size(const leaf_rate& rate)
{
    constexpr std::size_t flag_bytes = 1;
    return text_size(rate.leaf) + varint_size(rate.incarnation) + flag_bytes +
           varint_size(rate.millirequests_per_second) +
           varint_size(rate.stated_ms_ago);
}

std::size_t base_size(const datagram& message)
{
    const auto content = std::visit(
        [](const auto& each) { return base_content_size(each); }, message);
    return envelope_header_bytes + archive_header_bytes + tag_bytes + content;
}

} // namespace bulrushspring::wire
