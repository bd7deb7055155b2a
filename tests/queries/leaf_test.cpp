#include "tests/queries/simulation.hpp"

#include "base/random.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

// Tests with leafs that are leaving, silent, slow, unreachable or cold.

using namespace bulrushspring;
using namespace bulrushspring::tests;

namespace
{

// Starts queries for the given time, one every 10 ms.
void run_queries(simulation& simulation, duration span)
{
    static std::uint64_t token = 1'000'000;
    for (duration done{0}; done < span; done += milliseconds{10}) {
        simulation.begin_query(++token);
        simulation.run_for(milliseconds{10});
    }
}

manifest::manifest_pointer with_leaving(const std::string& name, bool leaving)
{
    auto manifest = make_manifest({});
    for (auto& leaf : manifest.pools.at("index").leafs) {
        leaf.leaving = leaving && leaf.name == name;
    }
    return make_shared_manifest(manifest);
}

struct leaving_case {
    const char* source;
    std::function<void(simulation&, const std::string&)> leave;
    std::function<void(simulation&, const std::string&)> come_back;
    duration back_after; // time after its return until it is considered live
};

std::vector<leaving_case> leaving_cases()
{
    const auto nothing = [](simulation&, const std::string&) {};
    return {
        {"manifest",
         [](simulation& simulation, const auto& name) {
             simulation.set_manifest(with_leaving(name, true));
         },
         [](simulation& simulation, const auto& name) {
             simulation.set_manifest(with_leaving(name, false));
         },
         seconds{0}},
        {"vms",
         [](simulation& simulation, const auto& name) {
             simulation.deliver(vms_changed{{}, {name}});
         },
         [](simulation& simulation, const auto& name) {
             simulation.deliver(vms_changed{{name}, {}});
         },
         seconds{0}},
        {"leaf",
         [](simulation& simulation, const auto& name) {
             simulation.leafs[name].mode = behaviour::draining;
             while (!simulation.find_leaf_state(name).leaving.leaf) {
                 run_queries(simulation, milliseconds{10});
             }
         },
         [](simulation& simulation, const auto& name) {
             simulation.leafs[name].mode = behaviour::prompt;
         },
         seconds{10}},
        {"peer",
         [](simulation& simulation, const auto& name) {
             simulation.deliver(leaf_leaving{name, "entry-2"});
         },
         nothing, seconds{0}},
    };
}

const std::string leaf = leaf_name(4, 0);

} // namespace

BOOST_AUTO_TEST_CASE(leaving_leaf_gets_no_requests_until_it_returns)
{
    for (const auto& one : leaving_cases()) {
        BOOST_TEST_CONTEXT(one.source)
        {
            simulation simulation(make_shared_manifest(make_manifest({})));
            run_queries(simulation, seconds{1});
            BOOST_TEST(simulation.attempts_to(leaf) > 0);
            one.leave(simulation, leaf);
            const auto before = simulation.attempts_to(leaf);
            run_queries(simulation, seconds{9});
            BOOST_TEST(simulation.attempts_to(leaf) == before);
            one.come_back(simulation, leaf);
            run_queries(simulation, one.back_after + seconds{3});
            BOOST_TEST(simulation.attempts_to(leaf) > before);
            BOOST_TEST(simulation.count_logged("leaf_returned") == 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(refusals_of_a_draining_leaf_are_not_failures)
{
    simulation simulation(make_shared_manifest(make_manifest({})));
    run_queries(simulation, seconds{1});
    leaving_cases()[2].leave(simulation, leaf);
    BOOST_TEST(simulation.counters[metrics::counter::leaf_failures] == 0);
    BOOST_TEST(simulation.find_leaf_state(leaf).error_rate == 0);
    BOOST_TEST(simulation.find_leaf_state(leaf).consecutive_failures == 0);
    BOOST_REQUIRE(simulation.raised_leaving.size() == 1);
    BOOST_TEST(simulation.raised_leaving.front().leaf == leaf);
    for (const auto& [token, answers] : simulation.answers) {
        BOOST_TEST((answers.front().status == answer_status::answered));
    }
}

BOOST_AUTO_TEST_CASE(vm_list_overrides_the_report_of_the_leaf)
{
    simulation simulation(make_shared_manifest(make_manifest({})));
    simulation.deliver(vms_changed{{}, {leaf}});
    simulation.deliver(leaf_leaving{leaf, "entry-2"});
    run_queries(simulation, seconds{30});
    BOOST_TEST(simulation.attempts_to(leaf) == 0);
    BOOST_TEST(simulation.leafs[leaf].connections.empty());
}

BOOST_AUTO_TEST_CASE(silent_idle_connections_are_found_and_replaced)
{
    simulation simulation(make_shared_manifest(make_manifest({})));
    const auto opened = simulation.find_leaf_state(leaf).connections;
    simulation.leafs[leaf].silenced.insert(opened.begin(), opened.end());
    const auto& settings = simulation.targets.settings;
    const auto connections =
        static_cast<duration::rep>(simulation.targets.connections.size());
    const auto interval =
        std::max(settings.probe_interval, settings.probe_spacing * connections);
    const auto probing_time = settings.probe_spacing * connections;
    simulation.run_for(interval + probing_time + settings.probe_timeout +
                       seconds{1});
    auto& state = simulation.find_leaf_state(leaf);
    for (const auto id : opened) {
        BOOST_TEST(!simulation.targets.connections.contains(raw(id)));
    }
    BOOST_TEST(!state.idle.empty());
    BOOST_TEST(state.consecutive_failures == 0);
    BOOST_TEST(simulation.counters[metrics::counter::connections_silent] ==
               opened.size());
    const auto before = simulation.attempts_to(leaf);
    run_queries(simulation, seconds{1});
    BOOST_TEST(simulation.attempts_to(leaf) > before);
}

RC_BOOST_PROP(non_idempotent_requests_need_a_recently_active_connection,
              (std::uint64_t seed))
{
    random_source random(seed);
    layout from;
    from.shards = 1;
    simulation simulation(make_shared_manifest(make_manifest(from)), seed);
    std::map<connection_id, boot_time> silent_since;
    for (int i = 0; i < 60; ++i) {
        if (random_below(random, 10) == 0) {
            auto& one = simulation.leafs[leaf_name(0, random_below(random, 3))];
            for (const auto id : one.connections) {
                one.silenced.insert(id);
                silent_since.try_emplace(id, simulation.now);
            }
        }
        simulation.run_for(milliseconds{random_below(random, 4000)});
        const auto* sent = simulation.send_single_request(false);
        if (sent != nullptr) {
            const auto since = silent_since.find(sent->message.connection);
            RC_ASSERT(since == silent_since.end() ||
                      simulation.now - since->second <= seconds{2});
        } else {
            // The leafs have been probed instead: wait for the answers.
            simulation.run_for(milliseconds{5});
        }
    }
}

BOOST_AUTO_TEST_CASE(idle_daemon_probes_for_a_non_idempotent_request)
{
    layout from;
    from.shards = 1;
    simulation simulation(make_shared_manifest(make_manifest(from)));
    simulation.run_for(seconds{4});
    BOOST_TEST((simulation.send_single_request(false) == nullptr));
    simulation.run_for(milliseconds{5});
    BOOST_TEST((simulation.send_single_request(false) != nullptr));
}

BOOST_AUTO_TEST_CASE(straggler_is_avoided_until_it_recovers)
{
    simulation simulation(make_shared_manifest(make_manifest({})));
    run_queries(simulation, seconds{12});
    simulation.leafs[leaf].latency = milliseconds{100};
    run_queries(simulation, seconds{5});
    const auto part = [&](duration span) {
        const auto before = simulation.attempts_to(leaf);
        run_queries(simulation, span);
        return static_cast<double>(simulation.attempts_to(leaf) - before) /
               static_cast<double>(span / milliseconds{10});
    };
    BOOST_TEST(part(seconds{20}) < 0.02);
    simulation.leafs[leaf].latency = milliseconds{2};
    run_queries(simulation, seconds{30});
    BOOST_TEST(part(seconds{20}) > 0.15);
}

BOOST_AUTO_TEST_CASE(cold_leaf_gets_fewer_requests_until_it_is_warm)
{
    simulation simulation(make_shared_manifest(make_manifest({})));
    simulation.leafs[leaf].mode = behaviour::unreachable;
    run_queries(simulation, seconds{3});
    simulation.leafs[leaf].mode = behaviour::prompt;
    simulation.leafs[leaf].warm = false;
    run_queries(simulation, seconds{12});
    const auto before = simulation.attempts_to(leaf);
    run_queries(simulation, seconds{10});
    const auto cold = simulation.attempts_to(leaf) - before;
    simulation.leafs[leaf].warm = true;
    run_queries(simulation, seconds{20});
    const auto at_warm = simulation.attempts_to(leaf);
    run_queries(simulation, seconds{10});
    const auto warm = simulation.attempts_to(leaf) - at_warm;
    BOOST_TEST(cold * 3 < warm);
}

BOOST_AUTO_TEST_CASE(connections_survive_a_suspension_of_the_process)
{
    simulation simulation(make_shared_manifest(make_manifest({})));
    simulation.run_for(seconds{5});
    const auto before = simulation.targets.connections.size();
    for (auto& [id, connection] : simulation.targets.connections) {
        connection.phase = targets::connection_phase::probing;
        connection.deadline = simulation.now + seconds{1};
    }
    simulation.now += seconds{60};
    simulation.deliver(tick{});
    BOOST_TEST(simulation.targets.connections.size() == before);
    for (const auto& [id, connection] : simulation.targets.connections) {
        simulation.deliver_at(simulation.now,
                              probe_answered{connection.id, leaf_health{}});
    }
    simulation.run_for(seconds{3});
    BOOST_TEST(simulation.counters[metrics::counter::connections_silent] == 0);
}

BOOST_AUTO_TEST_CASE(unreachable_leaf_is_reconnected_with_backoff)
{
    simulation simulation(make_shared_manifest(make_manifest({})));
    simulation.leafs[leaf].mode = behaviour::unreachable;
    run_queries(simulation, seconds{1});
    const auto before = simulation.leafs[leaf].open_requests;
    simulation.run_for(seconds{60});
    BOOST_TEST(simulation.leafs[leaf].open_requests - before <= 15);
    const auto status = targets::status_of(simulation.targets);
    const auto line =
        std::find_if(status.begin(), status.end(),
                     [](const auto& one) { return one.name == leaf; });
    BOOST_TEST(line->state == "unreachable");
    simulation.leafs[leaf].mode = behaviour::prompt;
    simulation.run_for(seconds{12});
    BOOST_TEST(!simulation.find_leaf_state(leaf).idle.empty());
}

BOOST_AUTO_TEST_CASE(daemon_in_a_large_fleet_settles_on_a_subset)
{
    layout from;
    from.vms = 400;
    from.replicas = 20;
    simulation simulation(make_shared_manifest(make_manifest(from)));
    const auto held = simulation.targets.connections.size();
    BOOST_TEST(held == 20);
    run_queries(simulation, milliseconds{200});
    for (const auto& [token, answers] : simulation.answers) {
        BOOST_TEST((answers.front().status == answer_status::answered));
    }
    // If a leaf that this daemon connects to leaves, the connections to its
    // replacement may still be used by other daemons until they learn of the
    // change.
    auto manifest = make_manifest(from);
    for (auto& one : manifest.pools.at("index").leafs) {
        one.leaving = one.name == simulation.attempts.front().leaf;
    }
    simulation.set_manifest(make_shared_manifest(manifest));
    simulation.run_for(seconds{7});
    BOOST_TEST(simulation.targets.connections.size() == held - 1);
    simulation.run_for(seconds{3});
    BOOST_TEST(simulation.targets.connections.size() == held);
}
