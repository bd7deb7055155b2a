#include "libraries/wire/frame.hpp"

#include "libraries/wire/envelope.hpp"
#include "libraries/wire/serialize.hpp"

#include <sstream>
#include <zstd.h>

namespace bulrushspring::wire
{

template <typename Archive>
void serialize(Archive& archive, documents_request& request)
{
    archive(request.manifest_index, request.vms, request.vms_base,
            bounded_list<content_hash>{request.sections, max_sections});
}

template <typename Archive>
void serialize(Archive& archive, section& part)
{
    archive(part.hash, bounded_text{part.content, max_document_bytes});
}

template <typename Archive>
void serialize(Archive& archive, documents_reply& reply)
{
    archive(reply.in_force,
            bounded_text{reply.manifest_index, max_document_bytes},
            bounded_text{reply.vms, max_document_bytes}, reply.vms_base,
            bounded_list<section>{reply.sections, max_sections});
}

template <typename Archive>
void serialize(Archive& archive, members_request& request)
{
    archive(bounded_list<member_record>{request.known, max_members});
}

template <typename Archive>
void serialize(Archive& archive, members_reply& reply)
{
    archive(bounded_list<member_record>{reply.known, max_members});
}

template <typename Archive>
void serialize(Archive& archive, published_record& record)
{
    archive(bounded_text{record.key, max_key_bytes}, varint{record.revision},
            record.removed, bounded_text{record.content, max_document_bytes});
}

template <typename Archive>
void serialize(Archive& archive, records_request& request)
{
    archive(varint{request.after});
}

template <typename Archive>
void serialize(Archive& archive, records_reply& reply)
{
    archive(varint{reply.revision}, reply.complete,
            bounded_list<published_record>{reply.records, max_records});
}

template <typename Archive>
void serialize(Archive& /*archive*/, crash_reports_request& /*request*/)
{
}

template <typename Archive>
void serialize(Archive& archive, crash_reports_reply& reply)
{
    archive(bounded_list<crash_report>{reply.reports, max_reports_in_frame});
}

template <typename Archive>
void serialize(Archive& /*archive*/, leaf_contact_request& /*request*/)
{
}

template <typename Archive>
void serialize(Archive& archive, leaf_contact_reply& reply)
{
    archive(varint{reply.answered_ms_ago}, varint{reply.contact_ms_ago});
}

template <typename Archive>
void serialize(Archive& archive, record_changes_request& request)
{
    archive(varint{request.level}, varint{request.after},
            varint{request.listed}, varint{request.table_version},
            request.kept);
}

template <typename Archive>
void serialize(Archive& archive, record_changes_reply& reply)
{
    archive(varint{reply.level}, varint{reply.revision}, reply.complete,
            reply.more,
            bounded_list<published_record>{reply.records, max_records});
}

template <typename Archive>
void serialize(Archive& archive, crash_trial_request& request)
{
    archive(request.known, request.withdrawn);
}

template <typename Archive>
void serialize(Archive& archive, crash_trial_reply& reply)
{
    archive(reply.permitted, reply.known);
}

// Fields that were appended to messages. Daemons that don't know them ignore
// them, and don't send them.
template <typename Archive>
void serialize_appended(Archive& archive, record_changes_request& request)
{
    archive(request.accepts_compression);
}

namespace
{

template <typename Archive, typename Message>
concept has_appended = requires(Archive& archive, Message& message)
{
    serialize_appended(archive, message);
};

// Begins the content of a frame that holds another one, compressed. Any other
// content begins with the byte order of cereal's archive, 0 or 1.
constexpr char compressed_mark = '\xFF';

// Requests and replies have different tags, so that one is never decoded as the
// other.
template <typename Variant>
constexpr std::uint8_t first_tag =
    std::is_same_v<Variant, peer_request> ? 0 : 16;

std::string length_prefix(std::size_t size)
{
    std::string prefix(frame_prefix_bytes, '\0');
    for (std::size_t i = 0; i < frame_prefix_bytes; ++i) {
        const auto shift = 8U * (frame_prefix_bytes - 1 - i);
        prefix[i] = static_cast<char>(size >> shift);
    }
    return prefix;
}

std::size_t read_prefix(std::string_view prefix)
{
    std::size_t size = 0;
    for (const char byte : prefix.substr(0, frame_prefix_bytes)) {
        size = size << 8U | static_cast<std::uint8_t>(byte);
    }
    return size;
}

template <typename Variant>
result<std::string> encode_frame(const Variant& message)
{
    const auto too_large = [](const char* detail) {
        return error{errc::too_large, "encode frame", "", detail};
    };
    try {
        std::ostringstream stream;
        cereal::PortableBinaryOutputArchive archive(stream);
        const auto tag = first_tag<Variant> + message.index();
        archive(static_cast<std::uint8_t>(tag));
        std::visit(
            [&](const auto& content) {
                archive(content);
                using message_type = std::decay_t<decltype(content)>;
                if constexpr (has_appended<decltype(archive), message_type>) {
                    message_type appended = content;
                    serialize_appended(archive, appended);
                }
            },
            message);
        const auto wrapped = wrap(stream.view());
        if (wrapped.size() > max_frame_bytes) {
            return too_large("content exceeds the frame limit");
        }
        return length_prefix(wrapped.size()) + wrapped;
    } catch (const cereal::Exception& failure) {
        return too_large(failure.what());
    }
}

bool at_end(std::istream& stream)
{
    return stream.peek() == std::istream::traits_type::eof();
}

// Loads the alternative of that index, which has to be one of the variant's.
template <typename Variant, std::size_t Index>
Variant load_alternative(cereal::PortableBinaryInputArchive& archive,
                         std::istream& stream, std::size_t index)
{
    if constexpr (Index + 1 < std::variant_size_v<Variant>) {
        if (index != Index) {
            return load_alternative<Variant, Index + 1>(archive, stream, index);
        }
    }
    using alternative = std::variant_alternative_t<Index, Variant>;
    alternative message;
    archive(message);
    if constexpr (has_appended<decltype(archive), alternative>) {
        if (!at_end(stream)) {
            serialize_appended(archive, message);
        }
    }
    return message;
}

// Whether later versions of this program may append fields to the message.
// Those that existed in commit 23c2b44 are refused by it with any byte more.
template <typename Variant>
bool is_extensible(const Variant& message)
{
    constexpr std::size_t first_extensible = 5;
    return message.index() >= first_extensible;
}

template <typename Variant>
Variant load_variant(cereal::PortableBinaryInputArchive& archive,
                     std::istream& stream)
{
    std::uint8_t tag = 0;
    archive(tag);
    constexpr std::uint8_t first = first_tag<Variant>;
    if (tag < first || tag >= first + std::variant_size_v<Variant>) {
        throw cereal::Exception("unknown message tag");
    }
    return load_alternative<Variant, 0>(archive, stream, tag - first);
}

error frame_error(errc code, std::string_view peer, const char* detail)
{
    return error{code, "decode frame", std::string(peer), detail};
}

// The content of a complete frame, without its length prefix and header.
result<std::string_view> frame_content(std::string_view frame,
                                       std::string_view peer)
{
    TRY(size, frame_size(frame, peer));
    if (size == 0 || frame.size() < size) {
        return frame_error(errc::truncated, peer,
                           "frame shorter than its length prefix");
    }
    if (frame.size() > size) {
        return frame_error(errc::malformed, peer,
                           "trailing bytes after the frame");
    }
    return unwrap(frame.substr(frame_prefix_bytes), "decode frame", peer);
}

template <typename Variant>
result<Variant> decode_frame(std::string_view frame, std::string_view peer)
{
    TRY(content, frame_content(frame, peer));
    try {
        std::istringstream stream{std::string(content)};
        cereal::PortableBinaryInputArchive archive(stream);
        auto message = load_variant<Variant>(archive, stream);
        if (!is_extensible(message) && !at_end(stream)) {
            throw cereal::Exception("trailing bytes after the message");
        }
        return message;
    } catch (const cereal::Exception& cause) {
        return frame_error(errc::malformed, peer, cause.what());
    }
}

// Returns the frame that the content of a compressed one holds.
result<std::string> decompress(std::string_view content, std::string_view peer)
{
    const auto failure = [&](errc code, const char* detail) {
        return error{code, "decompress frame", std::string(peer), detail};
    };
    const auto compressed = content.substr(sizeof compressed_mark);
    // Unknown sizes and errors are the highest values.
    const auto size =
        ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size > frame_prefix_bytes + max_frame_bytes) {
        return failure(errc::too_large, "no size within the limit");
    }
    std::string frame(size, '\0');
    const auto written = ZSTD_decompress(frame.data(), frame.size(),
                                         compressed.data(), compressed.size());
    if (ZSTD_isError(written) != 0 || written != size) {
        return failure(errc::malformed, "not what its size says");
    }
    return frame;
}

} // namespace

result<std::string> encode(const peer_request& request)
{
    return encode_frame(request);
}

result<std::string> encode(const peer_reply& reply)
{
    return encode_frame(reply);
}

std::string compress_reply(std::string_view frame)
{
    constexpr int compression_level = 1;
    std::string content(sizeof compressed_mark +
                            ZSTD_compressBound(frame.size()),
                        compressed_mark);
    const auto size =
        ZSTD_compress(content.data() + sizeof compressed_mark,
                      content.size() - sizeof compressed_mark, frame.data(),
                      frame.size(), compression_level);
    if (ZSTD_isError(size) != 0 || size >= frame.size()) {
        return std::string(frame); // nothing is gained
    }
    content.resize(sizeof compressed_mark + size);
    const auto wrapped = wrap(content);
    return length_prefix(wrapped.size()) + wrapped;
}

result<std::size_t> frame_size(std::string_view buffered, std::string_view peer)
{
    if (buffered.size() < frame_prefix_bytes) {
        return std::size_t{0};
    }
    const auto size = read_prefix(buffered);
    if (size > max_frame_bytes) {
        return error{errc::too_large, "read frame", std::string(peer),
                     std::to_string(size) + " bytes"};
    }
    return frame_prefix_bytes + size;
}

result<peer_request> decode_request(std::string_view frame,
                                    std::string_view peer)
{
    return decode_frame<peer_request>(frame, peer);
}

result<peer_reply> decode_reply(std::string_view frame, std::string_view peer)
{
    constexpr auto header_bytes = frame_prefix_bytes + envelope_header_bytes;
    if (frame.size() <= header_bytes ||
        frame[header_bytes] != compressed_mark) {
        return decode_frame<peer_reply>(frame, peer);
    }
    TRY(content, frame_content(frame, peer));
    TRY(held, decompress(content, peer));
    return decode_frame<peer_reply>(held, peer);
}

} // namespace bulrushspring::wire
