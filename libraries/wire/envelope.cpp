#include "libraries/wire/envelope.hpp"

#include "base/hash.hpp"

namespace bulrushspring::wire
{
namespace
{

constexpr std::size_t checksum_bytes = envelope_header_bytes - 1;

std::string checksum_of(std::string_view content)
{
    const std::uint64_t hash = stable_hash(content, format_version);
    std::string text(checksum_bytes, '\0');
    for (std::size_t i = 0; i < checksum_bytes; ++i) {
        text[i] = static_cast<char>(hash >> (8U * i));
    }
    return text;
}

} // namespace

std::string wrap(std::string_view content)
{
    std::string wrapped;
    wrapped.reserve(envelope_header_bytes + content.size());
    wrapped += static_cast<char>(format_version);
    wrapped += checksum_of(content);
    wrapped += content;
    return wrapped;
}

result<std::string_view> unwrap(std::string_view wrapped, std::string_view step,
                                std::string_view peer)
{
    const auto failure = [&](errc code, const char* detail) {
        return error{code, std::string(step), std::string(peer), detail};
    };
    if (wrapped.size() < envelope_header_bytes) {
        return failure(errc::truncated, "message shorter than its header");
    }
    if (static_cast<std::uint8_t>(wrapped[0]) != format_version) {
        return failure(errc::malformed, "unsupported format version");
    }
    const auto content = wrapped.substr(envelope_header_bytes);
    if (wrapped.substr(1, checksum_bytes) != checksum_of(content)) {
        return failure(errc::hash_mismatch, "checksum mismatch");
    }
    return content;
}

} // namespace bulrushspring::wire
