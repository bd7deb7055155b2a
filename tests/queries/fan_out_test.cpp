#include "tests/queries/world.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::tests;

namespace
{

const caller_answer& only_answer(world& world, std::uint64_t token)
{
    BOOST_REQUIRE(world.answers[token].size() == 1);
    return world.answers[token].front();
}

// Queries at a steady rate, one each 10 ms, until the latencies are known.
void warm_up(world& world, std::uint64_t first_token)
{
    for (std::uint64_t i = 0; i < 300; ++i) {
        world.begin(first_token + i);
        world.run(milliseconds{10});
    }
}

void set_all(world& world, behaviour does)
{
    for (auto& [name, leaf] : world.leafs) {
        leaf.does = does;
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(prompt_leafs_give_a_whole_answer_best_score_first)
{
    world world(share(make_manifest({})));
    world.begin(1);
    world.run(milliseconds{50});
    const auto& answer = only_answer(world, 1);
    BOOST_TEST((answer.status == answer_status::answered));
    BOOST_TEST((answer.run == execution::ran));
    BOOST_TEST(answer.snapshot == 17);
    BOOST_TEST(answer.shards == 10);
    BOOST_TEST(answer.missing.empty());
    BOOST_TEST(answer.body.starts_with(line_of("request-1", 17, 0) +
                                       line_of("request-1", 17, 1)));
    BOOST_TEST(world.sendings.size() == 10);
    BOOST_TEST(world.count_logged("query_routed") == 1);
}

BOOST_AUTO_TEST_CASE(a_straggler_costs_a_hedge_and_not_the_answer)
{
    world world(share(make_manifest({})));
    warm_up(world, 1);
    for (std::uint64_t token = 1000; token < 1012; ++token) {
        auto& leaf = world.leafs[leaf_name(4, token % 3)];
        leaf.latency = milliseconds{800};
        world.begin(token);
        world.run(milliseconds{40});
        BOOST_TEST(
            (only_answer(world, token).status == answer_status::answered));
        leaf.latency = milliseconds{2};
        world.run(seconds{2});
    }
    const auto hedges = world.counters[metrics::counter::leaf_hedges];
    BOOST_TEST(hedges >= 1);
    BOOST_TEST(hedges <= 12);
    BOOST_TEST(world.counters[metrics::counter::leaf_cancellations] == hedges);
    BOOST_TEST(world.counters[metrics::counter::stray_answers] == hedges);
}

BOOST_AUTO_TEST_CASE(a_pool_slow_as_a_whole_is_not_hedged)
{
    world world(share(make_manifest({})));
    warm_up(world, 1);
    for (auto& [name, leaf] : world.leafs) {
        leaf.latency = milliseconds{100};
    }
    const auto before = world.counters[metrics::counter::leaf_hedges];
    for (std::uint64_t i = 0; i < 200; ++i) {
        world.begin(1000 + i);
        world.run(milliseconds{10});
    }
    const auto hedges = world.counters[metrics::counter::leaf_hedges] - before;
    BOOST_TEST(world.count_logged("hedging_off") >= 1);
    BOOST_TEST(hedges <= 40);
}

BOOST_AUTO_TEST_CASE(extra_load_stays_in_the_budget_while_half_the_leafs_fail)
{
    for (const auto does : {behaviour::failing, behaviour::shedding,
                            behaviour::unreachable, behaviour::silent}) {
        world world(share(make_manifest({})));
        std::size_t i = 0;
        for (auto& [name, leaf] : world.leafs) {
            leaf.does = i++ % 2 == 0 ? does : behaviour::prompt;
        }
        for (std::uint64_t token = 0; token < 500; ++token) {
            world.begin(token);
            world.run(milliseconds{5});
        }
        world.run(seconds{2});
        const auto extra = world.counters[metrics::counter::leaf_hedges] +
                           world.counters[metrics::counter::leaf_retries];
        const auto all = world.counters[metrics::counter::leaf_requests];
        BOOST_TEST(all == world.sendings.size());
        const double first = static_cast<double>(all - extra);
        const double saved = targets::options{}.initial_budget_tokens;
        BOOST_TEST(static_cast<double>(extra) <= saved + 0.05 * first + 1e-6);
        BOOST_TEST(extra > 0);
    }
}

BOOST_AUTO_TEST_CASE(a_query_starts_over_on_the_newer_snapshot)
{
    for (const bool known_before : {true, false}) {
        layout old;
        old.snapshots = {17};
        old.wait_for_coverage = true;
        world world(share(make_manifest(old)));
        for (int i = 0; i < 3; ++i) {
            world.leafs[leaf_name(7, i)].oldest = 18;
        }
        layout next = old;
        next.snapshots = {17, 18};
        next.shards = 12;
        auto manifest = make_manifest(next);
        manifest.version = 2;
        world.begin(1);
        world.run(known_before ? milliseconds{1} : milliseconds{100});
        BOOST_TEST(world.answers[1].empty());
        world.adopt(share(manifest));
        world.run(milliseconds{600});
        const auto& answer = only_answer(world, 1);
        BOOST_TEST((answer.status == answer_status::answered));
        BOOST_TEST(answer.snapshot == 18);
        BOOST_TEST(answer.shards == 12);
        BOOST_TEST(world.count_logged("query_restarted") == 1);
        BOOST_TEST(answer.body.find("/17/") == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(a_gone_snapshot_without_a_newer_one_is_said)
{
    world world(share(make_manifest({})));
    for (int i = 0; i < 3; ++i) {
        world.leafs[leaf_name(7, i)].oldest = 18;
    }
    world.begin(1);
    world.run(milliseconds{100});
    const auto& answer = only_answer(world, 1);
    BOOST_TEST((answer.status == answer_status::partial));
    const missing_shard expected{7, missing_reason::snapshot_gone};
    BOOST_REQUIRE(answer.missing.size() == 1);
    BOOST_TEST((answer.missing.front() == expected));
}

BOOST_AUTO_TEST_CASE(a_service_answers_early_or_waits_as_its_policy_says)
{
    for (const bool waits : {false, true}) {
        layout from;
        from.wait_for_coverage = waits;
        from.replicas = 1;
        world world(share(make_manifest(from)));
        warm_up(world, 1);
        world.leafs[leaf_name(3, 0)].latency = milliseconds{900};
        world.begin(1000);
        world.run(milliseconds{400});
        BOOST_TEST(world.answers[1000].empty() == waits);
        world.run(milliseconds{550});
        const auto& answer = only_answer(world, 1000);
        BOOST_TEST((answer.status == (waits ? answer_status::answered
                                            : answer_status::partial)));
    }
}

BOOST_AUTO_TEST_CASE(what_is_given_up_is_answered_at_once)
{
    layout from;
    from.minimum_coverage = 0.95;
    from.wait_for_coverage = true;
    world world(share(make_manifest(from)));
    for (int i = 0; i < 3; ++i) {
        world.leafs[leaf_name(0, i)].does = behaviour::failing;
    }
    world.begin(1);
    world.run(milliseconds{200});
    const auto& answer = only_answer(world, 1);
    BOOST_TEST((answer.status == answer_status::failed));
    BOOST_TEST((answer.run == execution::ran));
    BOOST_TEST((answer.retry_after > duration{0}));
    BOOST_TEST((answer.missing.front().reason == missing_reason::failed));
}

BOOST_AUTO_TEST_CASE(nothing_was_run_where_no_leaf_was_asked)
{
    auto manifest = make_manifest({});
    for (auto& leaf : manifest.pools.at("index").leafs) {
        leaf.leaving = true;
    }
    world world(share(manifest));
    world.begin(1);
    world.begin(2, "no such service");
    world.begin(3, "find", milliseconds{-1});
    for (const std::uint64_t token : {1, 2, 3}) {
        const auto& answer = only_answer(world, token);
        BOOST_TEST((answer.status == answer_status::refused));
        BOOST_TEST((answer.run == execution::not_run));
    }
    BOOST_TEST(only_answer(world, 1).missing.size() == 10);
    BOOST_TEST(world.sendings.empty());
}

BOOST_AUTO_TEST_CASE(the_time_spent_is_taken_off_the_deadline)
{
    world world(share(make_manifest({})));
    world.leafs[leaf_name(2, 0)].does = behaviour::shedding;
    world.leafs[leaf_name(2, 1)].does = behaviour::shedding;
    world.begin(1, "find", milliseconds{300});
    world.run(milliseconds{100});
    BOOST_REQUIRE(world.sendings.size() > 10);
    const auto answer_by = seconds{1001} + milliseconds{280};
    for (const auto& sent : world.sendings) {
        const auto left = answer_by - sent.at.time_since_epoch();
        BOOST_TEST((sent.what.request.time_left == left));
    }
}

BOOST_AUTO_TEST_CASE(waiting_shards_are_served_earliest_deadline_first)
{
    layout from;
    from.shards = 1;
    from.replicas = 1;
    from.wait_for_coverage = true;
    world world(share(make_manifest(from)));
    world.leafs[leaf_name(0, 0)].latency = milliseconds{50};
    world.begin(1);
    world.begin(2, "find", milliseconds{900});
    world.begin(3, "find", milliseconds{500});
    world.begin(4, "find", milliseconds{700});
    world.run(seconds{1});
    std::vector<std::string> order;
    for (const auto& sent : world.sendings) {
        if (order.empty() || order.back() != sent.what.request.request_id) {
            order.push_back(sent.what.request.request_id);
        }
    }
    const std::vector<std::string> expected = {"request-1", "request-3",
                                               "request-4", "request-2"};
    BOOST_TEST(order == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_caller_that_left_costs_nothing_more)
{
    world world(share(make_manifest({})));
    set_all(world, behaviour::shedding);
    world.begin(1);
    world.deliver(caller_left{caller_token{1}});
    const auto sent = world.sendings.size();
    world.run(seconds{2});
    BOOST_TEST(world.sendings.size() == sent);
    BOOST_TEST(world.answers[1].empty());
    BOOST_TEST(queries::in_flight(world.queries) == 0);
    BOOST_TEST(world.queries.attempts.empty());
}

BOOST_AUTO_TEST_CASE(one_silent_connection_to_the_only_replica_is_survived)
{
    layout from;
    from.replicas = 1;
    world world(share(make_manifest(from)));
    warm_up(world, 1);
    auto& leaf = world.leafs[leaf_name(5, 0)];
    leaf.silenced.insert(
        world.targets.leafs[raw(world.targets.leaf_by_name.at(leaf_name(5, 0)))]
            .idle.back());
    world.begin(1000);
    world.run(milliseconds{300});
    BOOST_TEST((only_answer(world, 1000).status == answer_status::answered));
}
