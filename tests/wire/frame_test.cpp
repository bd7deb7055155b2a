#include "base/random.hpp"
#include "libraries/wire/envelope.hpp"
#include "tests/wire/allocations.hpp"
#include "tests/wire/generators.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace bulrushspring;

namespace
{

wire::peer_request any_request()
{
    if (*rc::gen::inRange(0, 4) == 0) {
        return wire::crash_reports_request{};
    }
    if (*rc::gen::inRange(0, 4) == 0) {
        return wire::leaf_contact_request{};
    }
    if (*rc::gen::inRange(0, 4) == 0) {
        return wire::crash_trial_request{any_report(),
                                         *rc::gen::arbitrary<bool>()};
    }
    if (*rc::gen::inRange(0, 4) == 0) {
        return wire::record_changes_request{
            *rc::gen::arbitrary<std::uint32_t>(),
            *rc::gen::arbitrary<std::uint64_t>(),
            *rc::gen::arbitrary<std::uint64_t>(),
            *rc::gen::arbitrary<std::uint64_t>(),
            *rc::gen::arbitrary<bool>(),
            *rc::gen::arbitrary<bool>()};
    }
    if (*rc::gen::arbitrary<bool>()) {
        return wire::members_request{any_records(5)};
    }
    wire::documents_request request;
    request.manifest_index = *rc::gen::arbitrary<bool>();
    request.vms = *rc::gen::arbitrary<bool>();
    request.vms_base = any_hash();
    const auto hashes = *rc::gen::inRange(0, 6);
    for (int i = 0; i < hashes; ++i) {
        request.sections.push_back(any_hash());
    }
    return request;
}

wire::peer_reply any_reply()
{
    if (*rc::gen::inRange(0, 4) == 0) {
        return wire::crash_trial_reply{*rc::gen::arbitrary<bool>(),
                                       any_report()};
    }
    if (*rc::gen::inRange(0, 3) == 0) {
        return wire::crash_reports_reply{any_reports(5)};
    }
    if (*rc::gen::inRange(0, 3) == 0) {
        return wire::leaf_contact_reply{*rc::gen::arbitrary<std::uint32_t>(),
                                        *rc::gen::arbitrary<std::uint32_t>()};
    }
    if (*rc::gen::inRange(0, 3) == 0) {
        wire::record_changes_reply changes{*rc::gen::arbitrary<std::uint32_t>(),
                                           *rc::gen::arbitrary<std::uint64_t>(),
                                           *rc::gen::arbitrary<bool>(),
                                           *rc::gen::arbitrary<bool>(),
                                           {}};
        const auto records = *rc::gen::inRange(0, 4);
        for (int i = 0; i < records; ++i) {
            changes.records.push_back(
                {any_text(20), *rc::gen::arbitrary<std::uint64_t>(),
                 *rc::gen::arbitrary<bool>(), any_text(300)});
        }
        return changes;
    }
    if (*rc::gen::arbitrary<bool>()) {
        return wire::members_reply{any_records(5)};
    }
    wire::documents_reply reply{
        any_digest(), any_text(300), any_text(300), any_hash(), {}};
    const auto sections = *rc::gen::inRange(0, 4);
    for (int i = 0; i < sections; ++i) {
        reply.sections.push_back({any_hash(), any_text(300)});
    }
    return reply;
}

std::string with_length_prefix(const std::string& content)
{
    std::string frame(wire::frame_prefix_bytes, '\0');
    frame[2] = static_cast<char>(content.size() >> 8U);
    frame[3] = static_cast<char>(content.size());
    return frame + content;
}

} // namespace

RC_BOOST_PROP(requests_survive_a_round_trip, ())
{
    const auto bytes = wire::encode(any_request()).value();
    RC_ASSERT(wire::frame_size(bytes, "peer").value() == bytes.size());
    const auto decoded = wire::decode_request(bytes, "peer");
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(wire::encode(decoded.value()).value() == bytes);
    RC_ASSERT(!wire::decode_reply(bytes, "peer").has_value());
}

RC_BOOST_PROP(replies_survive_a_round_trip, ())
{
    const auto bytes = wire::encode(any_reply()).value();
    const auto decoded = wire::decode_reply(bytes, "peer");
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(wire::encode(decoded.value()).value() == bytes);
    RC_ASSERT(!wire::decode_request(bytes, "peer").has_value());
}

RC_BOOST_PROP(damaged_frames_are_refused, ())
{
    const auto intact = wire::encode(any_reply()).value();
    auto truncated = intact;
    truncated.resize(*rc::gen::inRange<std::size_t>(0, intact.size()));
    RC_ASSERT(!wire::decode_reply(truncated, "peer").has_value());
    auto flipped = intact;
    const auto position = *rc::gen::inRange<std::size_t>(0, intact.size());
    flipped[position] =
        static_cast<char>(flipped[position] ^ (1 << *rc::gen::inRange(0, 8)));
    const auto decoded = wire::decode_reply(flipped, "10.0.0.1:7002");
    RC_ASSERT(!decoded.has_value());
    RC_ASSERT(decoded.error().peer == "10.0.0.1:7002");
}

// Guards against a loader that allocates whatever length the input claims. The
// checksum is valid, so that the random lengths get past it to the loaders.
RC_BOOST_PROP(random_content_is_decoded_without_large_allocations, ())
{
    constexpr std::size_t max_allocated = 1024UL * 1024;
    auto content = any_text(400);
    if (content.size() > 2 && *rc::gen::arbitrary<bool>()) {
        content[0] = 1; // cereal's byte order flag
        content[1] = static_cast<char>(*rc::gen::inRange(0, 20));
    }
    const auto wrapped = wire::wrap(content);
    const auto before = allocated_bytes();
    (void)wire::decode_datagram(wrapped, "peer");
    (void)wire::decode_request(with_length_prefix(wrapped), "peer");
    (void)wire::decode_reply(with_length_prefix(wrapped), "peer");
    RC_ASSERT(allocated_bytes() - before < max_allocated);
}

// A later version may append fields to the messages that are new since 23c2b44,
// and to no others.
BOOST_AUTO_TEST_CASE(trailing_bytes_are_ignored_in_extensible_messages_only)
{
    const auto extended = [](const wire::peer_request& request) {
        const auto frame = wire::encode(request).value();
        const auto content = frame.substr(wire::frame_prefix_bytes +
                                          wire::envelope_header_bytes);
        return with_length_prefix(wire::wrap(content + "more"));
    };
    const auto decoded = wire::decode_request(
        extended(wire::record_changes_request{1, 2, 3, 4, true}), "peer");
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST(
        std::get<wire::record_changes_request>(decoded.value()).table_version ==
        4U);
    BOOST_TEST(!wire::decode_request(extended(wire::records_request{2}), "peer")
                    .has_value());
}

BOOST_AUTO_TEST_CASE(a_claimed_text_length_is_not_allocated_ahead)
{
    // A documents_reply of byte order, tag, digest and an index whose length
    // prefix claims 1 MiB, with no bytes after it.
    std::string content = {1, 16};
    content += std::string(1 + 16 + 1 + 16, '\0');
    content += "\x80\x80\x40";
    const auto frame = with_length_prefix(wire::wrap(content));
    const auto before = allocated_bytes();
    const auto decoded = wire::decode_reply(frame, "peer");
    const auto allocated = allocated_bytes() - before;
    BOOST_REQUIRE(!decoded.has_value());
    BOOST_TEST((decoded.error().code == errc::malformed));
    BOOST_TEST(allocated < 4UL * 64 * 1024UL);
}

BOOST_AUTO_TEST_CASE(frames_over_their_limit_are_refused)
{
    BOOST_TEST(wire::frame_size("\x01", "peer").value() == 0U);
    const std::string prefix = {0, 0x40, 0, 1};
    const auto oversized = wire::frame_size(prefix, "peer");
    BOOST_REQUIRE(!oversized.has_value());
    BOOST_TEST((oversized.error().code == errc::too_large));
    wire::documents_reply reply;
    for (int i = 0; i < 5; ++i) {
        reply.sections.push_back({{}, std::string(1024UL * 1024, 'x')});
    }
    BOOST_TEST(!wire::encode(wire::peer_reply{reply}).has_value());
}

RC_BOOST_PROP(compressed_replies_survive_a_round_trip, ())
{
    const auto bytes = wire::encode(any_reply()).value();
    const auto compressed = wire::compress_reply(bytes);
    RC_ASSERT(wire::frame_size(compressed, "peer").value() ==
              compressed.size());
    const auto decoded = wire::decode_reply(compressed, "peer");
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(wire::encode(decoded.value()).value() == bytes);
}

RC_BOOST_PROP(damaged_compressed_replies_are_refused, ())
{
    wire::documents_reply reply;
    reply.manifest_index.assign(5000, 'x');
    const auto intact =
        wire::compress_reply(wire::encode(wire::peer_reply(reply)).value());
    // The checksum is made valid again, so that the decompressor gets it.
    auto content =
        intact.substr(wire::frame_prefix_bytes + wire::envelope_header_bytes);
    const auto position = *rc::gen::inRange<std::size_t>(1, content.size());
    if (*rc::gen::arbitrary<bool>()) {
        content.resize(position);
    } else {
        content[position] = static_cast<char>(content[position] ^
                                              (1 << *rc::gen::inRange(0, 8)));
    }
    const auto decoded =
        wire::decode_reply(with_length_prefix(wire::wrap(content)), "peer");
    if (decoded.has_value()) {
        RC_ASSERT(wire::encode(decoded.value()).value() ==
                  wire::encode(wire::peer_reply(reply)).value());
    }
}

// A peer could make this daemon reserve any amount of memory.
BOOST_AUTO_TEST_CASE(a_claimed_size_over_the_limit_is_not_decompressed)
{
    // A frame header of zstd with a content size of 2 GiB and no blocks.
    const std::string header = "\xFF\x28\xB5\x2F\xFD\xA0\x01\x02\x03\x80";
    const auto frame = with_length_prefix(wire::wrap(header));
    const auto decoded = wire::decode_reply(frame, "peer");
    BOOST_REQUIRE(!decoded.has_value());
    BOOST_TEST((decoded.error().code == errc::too_large));
}

// CONFIG: the table of 4,250 routes took 0.79 MB for each of 109 VMs, on links
// that carry 1.75 MB a second.
BOOST_AUTO_TEST_CASE(a_large_table_is_compressed_to_a_quarter)
{
    random_source random(1);
    const auto name = [&] { return std::to_string(random() % 1'000'000'000); };
    std::string routes;
    for (int i = 0; i < 4250; ++i) {
        routes += R"({"name":"r-)" + name() + R"(","host":")" + name() +
                  R"(.example","prefix":"/)" + name() +
                  R"(/","kind":"safe","service":"s)" +
                  std::to_string(random() % 40) +
                  R"(","timeoutMs":8000,"targetLatencyMs":500},)";
    }
    wire::record_changes_reply reply;
    reply.records.push_back({"table", 142, false, routes});
    const auto frame = wire::encode(wire::peer_reply(reply)).value();
    BOOST_TEST(wire::compress_reply(frame).size() * 4 <= frame.size());
}

// A daemon of an earlier version states nothing of compression.
BOOST_AUTO_TEST_CASE(a_request_without_appended_fields_is_understood)
{
    const auto frame =
        wire::encode(wire::record_changes_request{1, 2, 3, 4, true, true});
    auto content = frame.value().substr(wire::frame_prefix_bytes +
                                        wire::envelope_header_bytes);
    content.pop_back();
    const auto decoded =
        wire::decode_request(with_length_prefix(wire::wrap(content)), "peer");
    BOOST_REQUIRE(decoded.has_value());
    const auto& request =
        std::get<wire::record_changes_request>(decoded.value());
    BOOST_TEST(request.kept);
    BOOST_TEST(!request.accepts_compression);
}
