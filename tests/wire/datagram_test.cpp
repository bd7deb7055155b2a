#include "libraries/wire/envelope.hpp"
#include "tests/wire/generators.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace bulrushspring;

namespace
{

// Messages have no comparison operator, so the tests compare their encodings.
std::string encoded(const wire::datagram& message)
{
    return wire::encode(message).value();
}

wire::member_record typical_record(std::string name)
{
    return {std::move(name),
            "kl-1",
            "kl",
            {0x0A000001, 7002},
            {0x0A000001, 7001},
            {0x0A000001, 7003},
            1'790'000'000'000,
            0,
            wire::member_status::alive};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_typical_record_takes_less_than_50_bytes)
{
    const auto size = wire::encoded_size(typical_record("entry-1700"));
    BOOST_TEST(size < 50);
    BOOST_TEST_MESSAGE("record: " << size << " bytes");
}

RC_BOOST_PROP(datagrams_survive_a_round_trip, ())
{
    const auto message = any_datagram(3);
    const auto bytes = encoded(message);
    const auto decoded = wire::decode_datagram(bytes, "peer");
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value().index() == message.index());
    RC_ASSERT(encoded(decoded.value()) == bytes);
}

RC_BOOST_PROP(records_survive_a_round_trip, ())
{
    wire::gossip message;
    message.from = any_record();
    message.in_force = any_digest();
    message.members = any_records(4);
    const auto packed = wire::pack(message).value();
    const auto decoded = wire::decode_datagram(packed.bytes, "peer");
    RC_ASSERT(decoded.has_value());
    const auto& gossip = std::get<wire::gossip>(decoded.value());
    RC_ASSERT(gossip.from == message.from);
    RC_ASSERT(gossip.in_force == message.in_force);
    message.members.resize(packed.members);
    RC_ASSERT(gossip.members == message.members);
}

RC_BOOST_PROP(datagrams_hold_as_many_records_as_fit, ())
{
    const auto message = any_message_with_updates<wire::ack>(60);
    const auto packed = wire::pack(message).value();
    RC_ASSERT(packed.bytes.size() <= wire::max_datagram_bytes);
    std::size_t size = wire::base_size(message);
    for (std::size_t i = 0; i < packed.leaving; ++i) {
        size += wire::encoded_size(message.leaving[i]);
    }
    for (std::size_t i = 0; i < packed.members; ++i) {
        size += wire::encoded_size(message.members[i]);
    }
    RC_ASSERT(packed.bytes.size() == size);
    if (packed.members < message.members.size()) {
        const auto next = wire::encoded_size(message.members[packed.members]);
        RC_ASSERT(size + next > wire::max_datagram_bytes);
    }
}

RC_BOOST_PROP(truncated_datagrams_are_refused, ())
{
    auto bytes = encoded(any_datagram(3));
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
    const auto decoded = wire::decode_datagram(bytes, "10.0.0.1:7002");
    RC_ASSERT(!decoded.has_value());
    RC_ASSERT(decoded.error().peer == "10.0.0.1:7002");
    RC_ASSERT(!decoded.error().step.empty());
}

RC_BOOST_PROP(datagrams_with_a_flipped_bit_are_refused, ())
{
    auto bytes = encoded(any_datagram(3));
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    const auto bit = *rc::gen::inRange(0, 8);
    bytes[position] = static_cast<char>(bytes[position] ^ (1 << bit));
    RC_ASSERT(!wire::decode_datagram(bytes, "peer").has_value());
}

BOOST_AUTO_TEST_CASE(names_and_datagrams_over_their_limits_are_refused)
{
    wire::gossip message;
    message.from = typical_record(std::string(65, 'n'));
    BOOST_TEST(!wire::encode(message).has_value());
    const std::string oversized(wire::max_datagram_bytes + 1, '\1');
    const auto decoded = wire::decode_datagram(oversized, "peer");
    BOOST_REQUIRE(!decoded.has_value());
    BOOST_TEST((decoded.error().code == errc::too_large));
}

BOOST_AUTO_TEST_CASE(reports_of_crashes_over_their_limits_are_refused)
{
    wire::crash_report report;
    report.crashes.resize(8);
    wire::crash_reports message{{report}};
    const auto bytes = encoded(message);
    BOOST_TEST(bytes.size() ==
               wire::base_size(message) + wire::encoded_size(report));
    const auto decoded = wire::decode_datagram(bytes, "peer").value();
    BOOST_TEST(
        (std::get<wire::crash_reports>(decoded).reports == message.reports));
    message.reports[0].crashes.resize(9);
    BOOST_TEST(!wire::encode(message).has_value());
    message.reports.assign(64, report);
    BOOST_TEST(!wire::encode(message).has_value());
    // Byte order, tag, and a claim of 127 reports.
    const auto claimed =
        wire::decode_datagram(wire::wrap("\x01\x04\x7f"), "peer");
    BOOST_REQUIRE(!claimed.has_value());
    BOOST_TEST((claimed.error().code == errc::malformed));
}
