#include "libraries/membership/leaving_leafs.hpp"
#include "libraries/wire/datagram.hpp"
#include "tests/membership/fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>

using namespace bulrushspring;
using namespace bulrushspring::testing;

namespace
{

struct traffic {
    std::size_t datagrams = 0;
    std::size_t bytes = 0;
};

traffic sent_traffic(const std::vector<effect>& effects)
{
    traffic total;
    for (const auto& each : effects) {
        if (const auto* datagram = std::get_if<send_datagram>(&each)) {
            total.datagrams += 1;
            total.bytes += wire::encode(datagram->message).value().size();
        }
    }
    return total;
}

} // namespace

// Guards against traffic above the rate limits in a mass failure, such as the
// loss of a data centre at the fleet size expected in two years: 599 daemons
// report to one, for 20 s, that members died, joined and died again.
BOOST_AUTO_TEST_CASE(a_flood_of_updates_and_pings_stays_within_the_rate_limits)
{
    const layout shape{600, 10, 3};
    const membership::options settings;
    boot_time now{seconds{1000}};
    auto state =
        membership::make_state(make_record(shape, 0, 1), {}, {}, 1, now);
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;
    constexpr int duration_s = 20;
    for (int step = 0; step < duration_s * 100; ++step) {
        now += milliseconds{10};
        context effects_context{now, effects, last_identifier};
        wire::ping message;
        message.sequence = step;
        message.from = make_record(shape, 1 + step % 599, 1);
        for (int i = 0; i < 10; ++i) {
            auto record =
                make_record(shape, 1 + (step * 10 + i) % 599, 1 + step / 60);
            record.status = step % 2 == 0 ? wire::member_status::alive
                                          : wire::member_status::dead;
            message.members.push_back(record);
        }
        membership::reduce(state, datagram_received{message.from.peer, message},
                           effects_context);
        membership::reduce(state, tick{}, effects_context);
    }
    const auto total = sent_traffic(effects);
    const auto max_datagrams =
        settings.datagrams_burst + settings.datagrams_per_second * duration_s;
    BOOST_TEST(static_cast<double>(total.datagrams) <= max_datagrams);
    // Besides updates, each datagram may hold a correction for its receiver.
    const auto record = make_record(shape, 599, 1);
    const auto base = static_cast<double>(
        wire::base_size(wire::ping{1U << 20U, record, {}, {}, {}}) +
        wire::encoded_size(record));
    const auto max_bytes = settings.update_bytes_burst +
                           settings.update_bytes_per_second * duration_s +
                           base * max_datagrams;
    BOOST_TEST_MESSAGE(total.datagrams << " datagrams, " << total.bytes
                                       << " bytes");
    BOOST_TEST(static_cast<double>(total.bytes) <= max_bytes);
}

// Guards against a storm of datagrams and false deaths when ten of sixty
// daemons fail at once: the others must agree within 30 s, declare nobody else
// dead and send less than 4 KiB/s each.
BOOST_AUTO_TEST_CASE(loss_of_a_data_centre_causes_no_storm)
{
    auto simulation = start_fleet({60, 6, 2}, 13, {});
    run_until_views_agree(*simulation, seconds{60});
    simulation->network.run_for(seconds{60});
    for (auto& node : simulation->network.nodes) {
        node.datagram_bytes = 0;
    }
    const auto lost_at = simulation->network.now;
    for (std::size_t i = 3; i < 60; i += 6) {
        simulation->network.nodes[i].up = false;
    }
    const auto elapsed = run_until_views_agree(*simulation, seconds{30});
    BOOST_TEST_MESSAGE("agreed in " << to_milliseconds(elapsed) << " ms");
    BOOST_TEST(views_agree(*simulation));
    simulation->network.run_for(seconds{30} - elapsed);
    for (const auto& node : simulation->network.nodes) {
        BOOST_TEST(node.datagram_bytes < 30U * 4096);
    }
    for (const auto& line : simulation->log) {
        const auto& fields = line.record.fields;
        const bool dead = line.record.definition->number == 2004;
        BOOST_TEST((!dead || line.at < lost_at ||
                    std::stoi(fields[0].value.substr(6)) % 6 == 3));
    }
}

RC_BOOST_PROP(a_leaving_leaf_is_reported_to_each_daemon_once, ())
{
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 100000);
    auto simulation = start_fleet({15, 3, 1}, seed, {});
    run_until_views_agree(*simulation, seconds{60});
    simulation->network.loss_probability = 0.1;
    simulation->network.handle(3, leaf_leaving{"jc-3-b", ""});
    simulation->network.run_for(seconds{60});
    simulation->network.handle(9, leaf_leaving{"jc-3-b", ""});
    simulation->network.run_for(seconds{60});
    std::size_t reports = 0;
    for (const auto& each : simulation->raised) {
        const auto* leaving = std::get_if<leaf_leaving>(&each);
        reports += leaving != nullptr && leaving->leaf == "jc-3-b" ? 1 : 0;
    }
    RC_ASSERT(reports == 14U);
}

BOOST_AUTO_TEST_CASE(the_table_of_leaving_leafs_is_bounded)
{
    membership::leaving_table table;
    membership::options settings;
    settings.max_leaving_leafs = 8;
    boot_time now{seconds{1000}};
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(membership::add_leaving(table, "leaf-" + std::to_string(i),
                                           settings, now));
    }
    BOOST_TEST(table.entries.size() == 8U);
    BOOST_TEST(table.by_name.size() == 8U);
    BOOST_TEST(table.updates.by_priority.size() == 8U);
    BOOST_TEST(!membership::add_leaving(table, "leaf-99", settings, now));
    now += settings.leaving_leaf_retention;
    BOOST_TEST(membership::add_leaving(table, "leaf-99", settings, now));
}

BOOST_AUTO_TEST_CASE(a_new_digest_is_sent_without_delay)
{
    auto simulation = start_fleet({15, 3, 1}, 14, {});
    run_until_views_agree(*simulation, seconds{60});
    simulation->network.run_for(seconds{60});
    wire::digest changed;
    changed.manifest_version = 42;
    std::size_t reports = 0;
    simulation->network.on_effect = [&](network_node&, const effect& what) {
        const auto* datagram = std::get_if<send_datagram>(&what);
        const auto* gossip =
            datagram == nullptr ? nullptr
                                : std::get_if<wire::gossip>(&datagram->message);
        reports += gossip != nullptr && gossip->in_force == changed ? 1 : 0;
    };
    membership::set_digest(*simulation->states[2], changed);
    simulation->network.schedule(2);
    simulation->network.run_for(seconds{2});
    BOOST_TEST(reports >= 10U);
}

// Guards against memory that grows with the number of names received.
BOOST_AUTO_TEST_CASE(the_table_of_members_is_bounded)
{
    membership::options settings;
    settings.max_members = 50;
    const layout shape{500, 10, 3};
    boot_time now{seconds{1000}};
    auto state =
        membership::make_state(make_record(shape, 0, 1), {}, settings, 1, now);
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;
    context effects_context{now, effects, last_identifier};
    for (std::size_t i = 1; i < 500; ++i) {
        wire::gossip message;
        message.from = make_record(shape, i, 1);
        membership::reduce(state, datagram_received{message.from.peer, message},
                           effects_context);
    }
    BOOST_TEST(membership::list_members(state).size() == 50U);
    BOOST_TEST(membership::view_of(state).members.size() == 50U);
}
