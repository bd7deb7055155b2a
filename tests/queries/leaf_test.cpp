#include "tests/queries/world.hpp"

#include "base/random.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

// Leafs that leave, go silent, straggle or are cold.

using namespace bulrushspring;
using namespace bulrushspring::tests;

namespace
{

// Queries for the time given, one each 10 ms.
void query_for(world& world, duration span)
{
    static std::uint64_t token = 1'000'000;
    for (duration done{0}; done < span; done += milliseconds{10}) {
        world.begin(++token);
        world.run(milliseconds{10});
    }
}

manifest::manifest_pointer with_leaving(const std::string& name, bool leaving)
{
    auto manifest = make_manifest({});
    for (auto& leaf : manifest.pools.at("index").leafs) {
        leaf.leaving = leaving && leaf.name == name;
    }
    return share(manifest);
}

struct leaving_case {
    const char* source;
    std::function<void(world&, const std::string&)> leave;
    std::function<void(world&, const std::string&)> come_back;
    duration back_after; // from the moment that it comes back
};

std::vector<leaving_case> leaving_cases()
{
    const auto nothing = [](world&, const std::string&) {};
    return {
        {"manifest",
         [](world& in, const auto& name) {
             in.adopt(with_leaving(name, true));
         },
         [](world& in, const auto& name) {
             in.adopt(with_leaving(name, false));
         },
         seconds{0}},
        {"vms",
         [](world& in, const auto& name) {
             in.deliver(vms_changed{{}, {name}});
         },
         [](world& in, const auto& name) {
             in.deliver(vms_changed{{name}, {}});
         },
         seconds{0}},
        {"leaf",
         [](world& in, const auto& name) {
             in.leafs[name].does = behaviour::draining;
             while (!in.leaf_in_state(name).leaving.leaf) {
                 query_for(in, milliseconds{10});
             }
         },
         [](world& in, const auto& name) {
             in.leafs[name].does = behaviour::prompt;
         },
         seconds{10}},
        {"peer",
         [](world& in, const auto& name) {
             in.deliver(leaf_leaving{name, "entry-2"});
         },
         nothing, seconds{0}},
    };
}

const std::string leaf = leaf_name(4, 0);

} // namespace

BOOST_AUTO_TEST_CASE(a_leaving_leaf_gets_no_work_until_it_has_returned)
{
    for (const auto& one : leaving_cases()) {
        BOOST_TEST_CONTEXT(one.source)
        {
            world world(share(make_manifest({})));
            query_for(world, seconds{1});
            BOOST_TEST(world.sent_to(leaf) > 0);
            one.leave(world, leaf);
            const auto before = world.sent_to(leaf);
            query_for(world, seconds{9});
            BOOST_TEST(world.sent_to(leaf) == before);
            one.come_back(world, leaf);
            query_for(world, one.back_after + seconds{3});
            BOOST_TEST(world.sent_to(leaf) > before);
            BOOST_TEST(world.count_logged("leaf_returned") == 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(what_a_draining_leaf_refuses_is_not_its_failure)
{
    world world(share(make_manifest({})));
    query_for(world, seconds{1});
    leaving_cases()[2].leave(world, leaf);
    BOOST_TEST(world.counters[metrics::counter::leaf_failures] == 0);
    BOOST_TEST(world.leaf_in_state(leaf).error_rate == 0);
    BOOST_TEST(world.leaf_in_state(leaf).consecutive_failures == 0);
    BOOST_REQUIRE(world.raised_leaving.size() == 1);
    BOOST_TEST(world.raised_leaving.front().leaf == leaf);
    for (const auto& [token, answers] : world.answers) {
        BOOST_TEST((answers.front().status == answer_status::answered));
    }
}

BOOST_AUTO_TEST_CASE(the_vm_list_outweighs_what_a_leaf_says_of_itself)
{
    world world(share(make_manifest({})));
    world.deliver(vms_changed{{}, {leaf}});
    world.deliver(leaf_leaving{leaf, "entry-2"});
    query_for(world, seconds{30});
    BOOST_TEST(world.sent_to(leaf) == 0);
    BOOST_TEST(world.leafs[leaf].connections.empty());
}

BOOST_AUTO_TEST_CASE(idle_connections_gone_silent_are_found_and_replaced)
{
    world world(share(make_manifest({})));
    const auto opened = world.leaf_in_state(leaf).connections;
    world.leafs[leaf].silenced.insert(opened.begin(), opened.end());
    const auto& settings = world.targets.settings;
    const auto connections =
        static_cast<duration::rep>(world.targets.connections.size());
    const auto interval =
        std::max(settings.probe_interval, settings.probe_spacing * connections);
    const auto paced = settings.probe_spacing * connections;
    world.run(interval + paced + settings.probe_timeout + seconds{1});
    auto& state = world.leaf_in_state(leaf);
    for (const auto id : opened) {
        BOOST_TEST(!world.targets.connections.contains(raw(id)));
    }
    BOOST_TEST(!state.idle.empty());
    BOOST_TEST(state.consecutive_failures == 0);
    BOOST_TEST(world.counters[metrics::counter::connections_silent] ==
               opened.size());
    const auto before = world.sent_to(leaf);
    query_for(world, seconds{1});
    BOOST_TEST(world.sent_to(leaf) > before);
}

RC_BOOST_PROP(non_idempotent_work_goes_only_on_proven_connections,
              (std::uint64_t seed))
{
    random_source random(seed);
    layout from;
    from.shards = 1;
    world world(share(make_manifest(from)), seed);
    std::map<connection_id, boot_time> silent_since;
    for (int i = 0; i < 60; ++i) {
        if (random_below(random, 10) == 0) {
            auto& one = world.leafs[leaf_name(0, random_below(random, 3))];
            for (const auto id : one.connections) {
                one.silenced.insert(id);
                silent_since.try_emplace(id, world.now);
            }
        }
        world.run(milliseconds{random_below(random, 4000)});
        const auto* sent = world.send_alone(false);
        if (sent != nullptr) {
            const auto since = silent_since.find(sent->what.connection);
            RC_ASSERT(since == silent_since.end() ||
                      world.now - since->second <= seconds{2});
        } else {
            // What was asked for is a probe: soon there is proof again.
            world.run(milliseconds{5});
        }
    }
}

BOOST_AUTO_TEST_CASE(an_idle_daemon_still_finds_a_proven_connection)
{
    layout from;
    from.shards = 1;
    world world(share(make_manifest(from)));
    world.run(seconds{4});
    BOOST_TEST((world.send_alone(false) == nullptr));
    world.run(milliseconds{5});
    BOOST_TEST((world.send_alone(false) != nullptr));
}

BOOST_AUTO_TEST_CASE(a_straggler_is_avoided_and_found_again)
{
    world world(share(make_manifest({})));
    query_for(world, seconds{12});
    world.leafs[leaf].latency = milliseconds{100};
    query_for(world, seconds{5});
    const auto part = [&](duration span) {
        const auto before = world.sent_to(leaf);
        query_for(world, span);
        return static_cast<double>(world.sent_to(leaf) - before) /
               static_cast<double>(span / milliseconds{10});
    };
    BOOST_TEST(part(seconds{20}) < 0.02);
    world.leafs[leaf].latency = milliseconds{2};
    query_for(world, seconds{30});
    BOOST_TEST(part(seconds{20}) > 0.15);
}

BOOST_AUTO_TEST_CASE(a_cold_leaf_gets_less_until_it_is_warm)
{
    world world(share(make_manifest({})));
    world.leafs[leaf].does = behaviour::unreachable;
    query_for(world, seconds{3});
    world.leafs[leaf].does = behaviour::prompt;
    world.leafs[leaf].warm = false;
    query_for(world, seconds{12});
    const auto before = world.sent_to(leaf);
    query_for(world, seconds{10});
    const auto cold = world.sent_to(leaf) - before;
    world.leafs[leaf].warm = true;
    query_for(world, seconds{20});
    const auto at_warm = world.sent_to(leaf);
    query_for(world, seconds{10});
    const auto warm = world.sent_to(leaf) - at_warm;
    BOOST_TEST(cold * 3 < warm);
}

BOOST_AUTO_TEST_CASE(a_process_that_slept_keeps_its_connections)
{
    world world(share(make_manifest({})));
    world.run(seconds{5});
    const auto before = world.targets.connections.size();
    for (auto& [id, connection] : world.targets.connections) {
        connection.phase = targets::connection_phase::probing;
        connection.deadline = world.now + seconds{1};
    }
    world.now += seconds{60};
    world.deliver(tick{});
    BOOST_TEST(world.targets.connections.size() == before);
    for (const auto& [id, connection] : world.targets.connections) {
        world.deliver_at(world.now,
                         probe_answered{connection.id, leaf_health{}});
    }
    world.run(seconds{3});
    BOOST_TEST(world.counters[metrics::counter::connections_silent] == 0);
}

BOOST_AUTO_TEST_CASE(an_unreachable_leaf_is_tried_with_backoff)
{
    world world(share(make_manifest({})));
    world.leafs[leaf].does = behaviour::unreachable;
    query_for(world, seconds{1});
    const auto before = world.leafs[leaf].opens;
    world.run(seconds{60});
    BOOST_TEST(world.leafs[leaf].opens - before <= 15);
    const auto status = targets::status_of(world.targets);
    const auto line =
        std::find_if(status.begin(), status.end(),
                     [](const auto& one) { return one.name == leaf; });
    BOOST_TEST(line->state == "unreachable");
    world.leafs[leaf].does = behaviour::prompt;
    world.run(seconds{12});
    BOOST_TEST(!world.leaf_in_state(leaf).idle.empty());
}

BOOST_AUTO_TEST_CASE(a_daemon_of_a_large_fleet_holds_a_subset_that_settles)
{
    layout from;
    from.vms = 400;
    from.replicas = 20;
    world world(share(make_manifest(from)));
    const auto held = world.targets.connections.size();
    BOOST_TEST(held == 20);
    query_for(world, milliseconds{200});
    for (const auto& [token, answers] : world.answers) {
        BOOST_TEST((answers.front().status == answer_status::answered));
    }
    // A leaf that this daemon holds leaves: its replacement may be held by
    // others until they have heard of it.
    auto manifest = make_manifest(from);
    for (auto& one : manifest.pools.at("index").leafs) {
        one.leaving = one.name == world.sendings.front().leaf;
    }
    world.adopt(share(manifest));
    world.run(seconds{7});
    BOOST_TEST(world.targets.connections.size() == held - 1);
    world.run(seconds{3});
    BOOST_TEST(world.targets.connections.size() == held);
}
