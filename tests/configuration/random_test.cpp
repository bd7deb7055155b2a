#include "fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace bulrushspring;
using namespace bulrushspring::configuration;
using namespace bulrushspring::configuration::test;

namespace
{

constexpr std::size_t fleet_size = 7;

enum class injected_fault : std::uint8_t {
    publish,
    publish_to_one,
    publish_again,
    publish_invalid,
    publish_older,
    version_conflict,
    publish_list,
    restart_list_revisions,
    platform_down,
    platform_up,
    platform_freeze,
    platform_unfreeze,
    restart,
    restart_all,
    freeze,
    partition,
    rejoin,
    set_datagram_loss,
    kind_count,
};

// Publishes manifests, including the mistakes of operators.
struct publisher {
    std::uint64_t version = 1;
    std::uint64_t salt = 0;
    published last;
};

published next_manifest(simulated_fleet& fleet, publisher& operators)
{
    auto made = make_manifest(operators.version, fleet_size, ++operators.salt);
    fleet.valid.insert(document_id_of(made).hash);
    operators.last = made;
    return made;
}

void publish(simulated_fleet& fleet, publisher& operators, injected_fault kind)
{
    const auto replica = *rc::gen::inRange<std::size_t>(0, 2);
    switch (kind) {
    case injected_fault::publish:
        ++operators.version;
        return fleet.publish_everywhere(next_manifest(fleet, operators));
    case injected_fault::publish_to_one:
        ++operators.version;
        return fleet.publish(replica, next_manifest(fleet, operators));
    case injected_fault::publish_again:
        return fleet.publish(replica, operators.last);
    case injected_fault::publish_invalid:
        ++operators.version;
        return fleet.publish(replica,
                             make_manifest(operators.version, fleet_size,
                                           ++operators.salt, false));
    case injected_fault::publish_older:
        return fleet.publish(replica, make_manifest(1, fleet_size, 0));
    default:
        ++operators.version;
        fleet.publish(0, next_manifest(fleet, operators));
        return fleet.publish(1, next_manifest(fleet, operators));
    }
}

void inject(simulated_fleet& fleet, publisher& operators, injected_fault kind)
{
    const auto member_index = *rc::gen::inRange<std::size_t>(0, fleet_size);
    auto& replica = fleet.replicas[member_index % 2];
    RC_LOG(std::to_string(to_milliseconds(fleet.now.time_since_epoch())) +
           " ms: fault " + std::to_string(static_cast<int>(kind)) + " of " +
           std::to_string(member_index) + "\n");
    switch (kind) {
    case injected_fault::publish_list:
    case injected_fault::restart_list_revisions: {
        auto& value = replica.values["vms"];
        value.revision =
            kind == injected_fault::publish_list ? value.revision + 1 : 1;
        value.content = "[vm " + std::string(1, *rc::gen::inRange('a', 'e')) +
                        "]\nstate=leaving\n";
        return;
    }
    case injected_fault::platform_down:
        replica.up = false;
        return;
    case injected_fault::platform_up:
        replica.up = true;
        return;
    case injected_fault::platform_freeze:
        replica.frozen = true;
        return;
    case injected_fault::platform_unfreeze:
        replica.frozen = false;
        return;
    case injected_fault::restart:
        return fleet.start(member_index);
    case injected_fault::restart_all:
        return fleet.start_all();
    case injected_fault::freeze:
        return fleet.freeze(member_index, seconds{*rc::gen::inRange(1, 20)});
    case injected_fault::partition:
        return fleet.move(member_index, 1);
    case injected_fault::rejoin:
        return fleet.move(member_index, 0);
    case injected_fault::set_datagram_loss:
        fleet.loss = 0.1 * *rc::gen::inRange(0, 6);
        return;
    default:
        return publish(fleet, operators, kind);
    }
}

void repair_all(simulated_fleet& fleet)
{
    for (auto& replica : fleet.replicas) {
        replica.up = true;
        replica.frozen = false;
    }
    for (auto& one : fleet.members) {
        one.partition = 0;
        one.frozen_until = fleet.now;
    }
    fleet.loss = 0.1;
}

} // namespace

RC_BOOST_PROP(no_daemon_reverts_and_all_converge_under_random_faults, ())
{
    simulated_fleet fleet(fleet_size, *rc::gen::arbitrary<std::uint64_t>());
    publisher operators;
    fleet.publish_valid(make_manifest(1, fleet_size, 0));
    fleet.start_all();
    const auto fault_count = *rc::gen::inRange(1, 25);
    for (int i = 0; i < fault_count; ++i) {
        const auto kind = static_cast<injected_fault>(
            *rc::gen::inRange(0, static_cast<int>(injected_fault::kind_count)));
        inject(fleet, operators, kind);
        fleet.run(milliseconds{*rc::gen::inRange(20, 6000)});
    }
    repair_all(fleet);
    ++operators.version;
    const auto last = next_manifest(fleet, operators);
    const bool publish_last = *rc::gen::arbitrary<bool>();
    if (publish_last) {
        fleet.publish_everywhere(last);
    }
    fleet.run(seconds{40});
    for (const auto& text : fleet.violations) {
        RC_LOG(text + "\n");
    }
    for (const auto& one : fleet.members) {
        const auto digest = digest_of(*one.node);
        RC_LOG(one.record.name + ": version " +
               std::to_string(digest.manifest_version) + " " +
               to_string(digest.manifest_hash) + ", list " +
               std::to_string(digest.vms_revision) + "\n");
    }
    RC_ASSERT(fleet.violations.empty());
    if (publish_last) {
        RC_ASSERT(fleet.count_in_force(document_id_of(last)) == fleet_size);
    }
    if (fleet.count_in_force({}) < fleet_size) {
        RC_ASSERT(fleet.converged());
        return;
    }
    // After a simultaneous restart of all daemons no manifest is in force
    // unless the platform has a valid one.
    for (const auto& replica : fleet.replicas) {
        const auto& current = replica.values.at("manifest").content;
        RC_ASSERT(!fleet.valid.contains(hash_content(current)));
    }
}

// However the views of the fleet differ, the calls within a time window do not
// exceed the fleet's rate plus the burst of two calls of each daemon.
RC_BOOST_PROP(platform_calls_stay_within_the_rate_limit, ())
{
    const auto size = *rc::gen::inRange<std::size_t>(1, 120);
    const auto partition_count = *rc::gen::inRange<std::size_t>(1, size + 1);
    options settings;
    settings.assumed_fleet_size = size + 2;
    settings.fleet_calls_per_second = 50.0;
    simulated_fleet fleet(size, *rc::gen::arbitrary<std::uint64_t>(), settings);
    fleet.publish_valid(make_manifest(1, size, 0));
    for (std::size_t i = 0; i < size; ++i) {
        fleet.members[i].partition = i % partition_count;
    }
    const bool down = *rc::gen::arbitrary<bool>();
    fleet.replicas[0].up = fleet.replicas[1].up = !down;
    fleet.start_all();
    fleet.run(seconds{10});
    fleet.replicas[0].up = fleet.replicas[1].up = true;
    fleet.run(seconds{10});
    fleet.start_all(); // a simultaneous restart
    fleet.run(seconds{10});
    const auto& calls = fleet.platform_calls;
    constexpr seconds window{2};
    const auto bound =
        2.0 * static_cast<double>(size) +
        settings.fleet_calls_per_second * static_cast<double>(window.count());
    for (std::size_t first = 0, last = 0; last < calls.size(); ++last) {
        while (calls[first].when + window < calls[last].when) {
            ++first;
        }
        RC_ASSERT(static_cast<double>(last - first + 1) <= bound);
    }
}
