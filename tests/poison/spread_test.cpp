#include "libraries/poison/spread.hpp"
#include "tests/support/lossy_network.hpp"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <rapidcheck/boost_test.h>

using namespace bulrushspring;
using namespace bulrushspring::testing;

namespace
{

constexpr std::size_t fleet_size = 1700;
constexpr duration least_window = seconds{4}; // the least stabilityWindowMs
constexpr poison::fingerprint poisoned{42};

struct daemon {
    poison::state table;
    poison::spread_state spread;
};

struct fleet {
    lossy_network network;
    std::vector<wire::member_record> members; // twice in a row
    std::deque<daemon> daemons;
    std::uint64_t seed = 1;
};

std::span<const wire::member_record> live_at(const fleet& simulation,
                                             std::size_t index)
{
    return std::span(simulation.members).subspan(index, fleet_size);
}

void handle(fleet& simulation, std::size_t index, const event& what,
            context& effects)
{
    auto& [table, spread] = simulation.daemons[index];
    const auto live = live_at(simulation, index);
    if (const auto* sent = std::get_if<datagram_received>(&what)) {
        const auto& reports = std::get<wire::crash_reports>(sent->message);
        poison::receive(spread, table, reports.reports, "peer", effects);
    } else if (const auto* asked = std::get_if<peer_request_received>(&what)) {
        poison::reply_to_request(spread, table, asked->token, effects);
    } else if (const auto* reply = std::get_if<peer_reply_received>(&what)) {
        poison::handle_reply(spread, table, *reply, live.size(), effects);
    }
    poison::advance(spread, table, live, effects);
}

void start(fleet& simulation, std::size_t index)
{
    auto& started = simulation.daemons[index];
    started = {};
    started.spread = poison::make_spread({}, simulation.seed * 7919 + index,
                                         simulation.network.now);
    network_node node;
    node.address = simulation.members[index].peer;
    node.next_wakeup = [&] { return poison::next_wakeup(started.spread); };
    node.reduce = [&simulation, index](const event& what, context& effects) {
        handle(simulation, index, what, effects);
    };
    simulation.network.add(std::move(node));
}

std::unique_ptr<fleet> start_fleet(std::uint64_t seed)
{
    auto simulation = std::make_unique<fleet>();
    simulation->seed = seed;
    simulation->network.random.seed(seed);
    simulation->network.loss_probability = 0.05;
    simulation->daemons.resize(fleet_size);
    for (std::size_t i = 0; i < 2 * fleet_size; ++i) {
        wire::member_record record;
        record.peer = {0x0A000000U + static_cast<std::uint32_t>(i % fleet_size),
                       7002};
        simulation->members.push_back(record);
    }
    for (std::size_t i = 0; i < fleet_size; ++i) {
        start(*simulation, i);
    }
    simulation->network.run_for(seconds{3});
    return simulation;
}

void crash_at(fleet& simulation, std::size_t index, poison::fingerprint of,
              std::uint64_t process)
{
    const auto now = simulation.network.now;
    auto& [table, spread] = simulation.daemons[index];
    poison::add_crash(table, of, {process, now - milliseconds{50}, now}, now);
    poison::share(spread, of, 1, now);
    simulation.network.schedule(index);
}

std::size_t count_knowing(const fleet& simulation)
{
    return static_cast<std::size_t>(
        std::count_if(simulation.daemons.begin(), simulation.daemons.end(),
                      [](const auto& each) {
                          return poison::is_poison(each.table, poisoned);
                      }));
}

// Crashes at three daemons, a second apart. Returns how long after the third
// all daemons know the request, at most `limit`.
duration spread_three_crashes(fleet& simulation, duration limit)
{
    crash_at(simulation, 1, poisoned, 1);
    simulation.network.run_for(seconds{1});
    crash_at(simulation, 600, poisoned, 2);
    simulation.network.run_for(seconds{1});
    crash_at(simulation, 1200, poisoned, 3);
    const auto third = simulation.network.now;
    while (simulation.network.now - third < limit &&
           count_knowing(simulation) < fleet_size) {
        simulation.network.run_for(milliseconds{100});
    }
    return simulation.network.now - third;
}

std::uint64_t most_bytes_sent(const fleet& simulation)
{
    std::uint64_t most = 0;
    for (const auto& node : simulation.network.nodes) {
        most = std::max(most, node.datagram_bytes);
    }
    return most;
}

} // namespace

// A request that crashed leafs at three daemons crashes a leaf at each further
// daemon that has not learned of it.
BOOST_AUTO_TEST_CASE(poison_reaches_the_whole_fleet_within_the_window)
{
    auto simulation = start_fleet(1);
    const auto taken = spread_three_crashes(*simulation, least_window);
    BOOST_TEST(count_knowing(*simulation) == fleet_size);
    BOOST_TEST_MESSAGE("known everywhere after "
                       << to_milliseconds(taken) << " ms, most sent by one "
                       << most_bytes_sent(*simulation) << " bytes");
    // A restarted daemon knows it after its first requests to peers.
    start(*simulation, 5);
    BOOST_TEST(!poison::is_poison(simulation->daemons[5].table, poisoned));
    simulation->network.run_for(milliseconds{50});
    BOOST_TEST(poison::is_poison(simulation->daemons[5].table, poisoned));
}

// If many leafs fail at once, all requests that ran on them become suspects.
// Their reports must neither exceed the rate limit nor delay poison.
BOOST_AUTO_TEST_CASE(many_suspects_do_not_delay_poison_or_exceed_the_limits)
{
    auto simulation = start_fleet(2);
    const auto began = simulation->network.now;
    for (std::size_t at = 0; at < fleet_size; at += 34) {
        for (std::uint64_t i = 0; i < 1000; ++i) {
            crash_at(*simulation, at, poison::fingerprint{at * 1000 + i + 100},
                     at * 1000 + i + 100);
        }
        BOOST_TEST(simulation->daemons[at].spread.queue.size() <= 64U);
    }
    const auto taken = spread_three_crashes(*simulation, least_window);
    BOOST_TEST(count_knowing(*simulation) == fleet_size);
    for (const auto& each : simulation->daemons) {
        BOOST_REQUIRE(each.spread.queue.size() <= 64U);
    }
    const poison::spread_options limits;
    const std::chrono::duration<double> span = simulation->network.now - began;
    BOOST_TEST(static_cast<double>(most_bytes_sent(*simulation)) <=
               limits.gossip.bytes_burst +
                   limits.gossip.bytes_per_second * span.count());
    BOOST_TEST_MESSAGE("known everywhere after "
                       << to_milliseconds(taken) << " ms, most sent by one "
                       << most_bytes_sent(*simulation) << " bytes in "
                       << span.count() << " s");
}

// Otherwise daemons that got the same reports on different ways would differ
// in what they refuse.
RC_BOOST_PROP(reports_in_any_order_give_the_same_verdict, ())
{
    const boot_time now{seconds{1000}};
    std::vector<wire::crash_report> reports;
    for (std::uint64_t process = 1; process <= 6; ++process) {
        wire::crash_report report;
        report.fingerprint = 42;
        const auto ended = *rc::gen::inRange<std::uint32_t>(0, 20);
        const auto ran = *rc::gen::inRange<std::uint32_t>(0, 5);
        report.crashes = {{process, ended + ran, ended}};
        if (*rc::gen::inRange(0, 6) == 0) {
            report.answered_ms_ago = *rc::gen::inRange<std::uint32_t>(0, 25);
        }
        reports.push_back(report);
    }
    const auto verdict = [&](const std::vector<wire::crash_report>& merged) {
        poison::state table;
        for (const auto& each : merged) {
            poison::merge(table, each, now);
        }
        return std::pair{poison::is_poison(table, poisoned),
                         poison::is_suspect(table, poisoned)};
    };
    const auto expected = verdict(reports);
    random_source random(*rc::gen::arbitrary<std::uint64_t>());
    auto repeated = reports;
    repeated.insert(repeated.end(), reports.begin(), reports.end());
    shuffle(std::span(repeated), random);
    RC_ASSERT(verdict(repeated) == expected);
}
