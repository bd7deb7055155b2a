#ifndef BULRUSHSPRING_TESTS_WIRE_GENERATORS_HPP
#define BULRUSHSPRING_TESTS_WIRE_GENERATORS_HPP

#include "libraries/wire/datagram.hpp"
#include "libraries/wire/frame.hpp"

#include <rapidcheck.h>

namespace bulrushspring
{

inline std::string any_text(std::size_t max_bytes)
{
    const auto size = *rc::gen::inRange<std::size_t>(0, max_bytes + 1);
    return *rc::gen::container<std::string>(size, rc::gen::arbitrary<char>());
}

inline endpoint any_endpoint(std::uint32_t shared)
{
    const auto own = *rc::gen::arbitrary<bool>();
    return {own ? *rc::gen::arbitrary<std::uint32_t>() : shared,
            *rc::gen::arbitrary<std::uint16_t>()};
}

inline wire::member_record any_record()
{
    wire::member_record record;
    record.name = any_text(64);
    record.data_centre = any_text(16);
    record.region = any_text(16);
    record.peer = any_endpoint(7);
    record.caller = any_endpoint(record.peer.address);
    record.operators = any_endpoint(record.peer.address);
    record.incarnation = *rc::gen::arbitrary<std::uint64_t>();
    record.refutation = *rc::gen::arbitrary<std::uint32_t>();
    record.status = static_cast<wire::member_status>(*rc::gen::inRange(0, 4));
    record.capacity = *rc::gen::arbitrary<std::uint32_t>();
    record.overloaded = *rc::gen::arbitrary<bool>();
    return record;
}

inline content_hash any_hash()
{
    return {*rc::gen::arbitrary<std::uint64_t>(),
            *rc::gen::arbitrary<std::uint64_t>()};
}

inline wire::digest any_digest()
{
    return {*rc::gen::arbitrary<std::uint64_t>(), any_hash(),
            *rc::gen::arbitrary<std::uint64_t>(), any_hash()};
}

inline std::vector<wire::member_record> any_records(std::size_t max_count)
{
    const auto size = *rc::gen::inRange<std::size_t>(0, max_count + 1);
    std::vector<wire::member_record> records;
    for (std::size_t i = 0; i < size; ++i) {
        records.push_back(any_record());
    }
    return records;
}

template <typename Message>
Message any_message_with_updates(std::size_t max_count)
{
    Message message;
    message.from = any_record();
    message.in_force = any_digest();
    message.members = any_records(max_count);
    const auto leaving = *rc::gen::inRange<std::size_t>(0, max_count + 1);
    for (std::size_t i = 0; i < leaving; ++i) {
        message.leaving.push_back({any_text(64)});
    }
    return message;
}

inline wire::crash_report any_report()
{
    const auto any_age = rc::gen::arbitrary<std::uint32_t>();
    wire::crash_report report{
        *rc::gen::arbitrary<std::uint64_t>(), *any_age, *any_age, {}};
    report.crashes.resize(*rc::gen::inRange<std::size_t>(0, 9));
    for (auto& crash : report.crashes) {
        crash = {*rc::gen::arbitrary<std::uint64_t>(), *any_age, *any_age};
    }
    return report;
}

inline std::vector<wire::crash_report> any_reports(std::size_t max_count)
{
    std::vector<wire::crash_report> reports(
        *rc::gen::inRange<std::size_t>(0, max_count + 1));
    for (auto& report : reports) {
        report = any_report();
    }
    return reports;
}

inline std::vector<wire::leaf_rate> any_rates(std::size_t max_count)
{
    std::vector<wire::leaf_rate> rates(
        *rc::gen::inRange<std::size_t>(0, max_count + 1));
    for (auto& rate : rates) {
        rate = {any_text(64), *rc::gen::arbitrary<std::uint64_t>(),
                *rc::gen::arbitrary<bool>(),
                *rc::gen::arbitrary<std::uint64_t>(),
                *rc::gen::arbitrary<std::uint32_t>()};
    }
    return rates;
}

inline wire::datagram any_datagram(std::size_t max_count)
{
    switch (*rc::gen::inRange(0, 6)) {
    case 0: {
        auto message = any_message_with_updates<wire::ping>(max_count);
        message.sequence = *rc::gen::arbitrary<std::uint64_t>();
        return message;
    }
    case 1: {
        auto message = any_message_with_updates<wire::ack>(max_count);
        message.sequence = *rc::gen::arbitrary<std::uint64_t>();
        return message;
    }
    case 2:
        return wire::ping_request{*rc::gen::arbitrary<std::uint64_t>(),
                                  any_record(), any_text(64), any_endpoint(0)};
    case 3:
        return wire::crash_reports{any_reports(max_count)};
    case 4:
        return wire::leaf_rates{any_rates(max_count)};
    default:
        return any_message_with_updates<wire::gossip>(max_count);
    }
}

} // namespace bulrushspring

#endif
