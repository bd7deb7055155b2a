#include "tests/queries/simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::tests;

namespace
{

const caller_answer& only_answer(simulation& simulation, std::uint64_t token)
{
    BOOST_REQUIRE(simulation.answers[token].size() == 1);
    return simulation.answers[token].front();
}

// Starts queries at a steady rate, one every 10 ms, until the pool's latencies
// are known.
void warm_up(simulation& simulation, std::uint64_t first_token)
{
    for (std::uint64_t i = 0; i < 300; ++i) {
        simulation.begin_query(first_token + i);
        simulation.run_for(milliseconds{10});
    }
}

void set_all(simulation& simulation, behaviour mode)
{
    for (auto& [name, leaf] : simulation.leafs) {
        leaf.mode = mode;
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(complete_answer_is_sorted_by_score)
{
    simulation simulation(make_shared_manifest(make_manifest({})));
    simulation.begin_query(1);
    simulation.run_for(milliseconds{50});
    const auto& answer = only_answer(simulation, 1);
    BOOST_TEST((answer.status == answer_status::answered));
    BOOST_TEST((answer.run == execution::ran));
    BOOST_TEST(answer.snapshot == 17);
    BOOST_TEST(answer.shards == 10);
    BOOST_TEST(answer.missing.empty());
    BOOST_TEST(answer.body.starts_with(line_of("request-1", 17, 0) +
                                       line_of("request-1", 17, 1)));
    BOOST_TEST(simulation.attempts.size() == 10);
    BOOST_TEST(simulation.count_logged("query_routed") == 1);
}

BOOST_AUTO_TEST_CASE(straggler_is_hedged_and_the_answer_complete)
{
    simulation simulation(make_shared_manifest(make_manifest({})));
    warm_up(simulation, 1);
    for (std::uint64_t token = 1000; token < 1012; ++token) {
        auto& leaf = simulation.leafs[leaf_name(4, token % 3)];
        leaf.latency = milliseconds{800};
        simulation.begin_query(token);
        simulation.run_for(milliseconds{40});
        BOOST_TEST(
            (only_answer(simulation, token).status == answer_status::answered));
        leaf.latency = milliseconds{2};
        simulation.run_for(seconds{2});
    }
    const auto hedges = simulation.counters[metrics::counter::leaf_hedges];
    BOOST_TEST(hedges >= 1);
    BOOST_TEST(hedges <= 12);
    BOOST_TEST(simulation.counters[metrics::counter::leaf_cancellations] ==
               hedges);
    BOOST_TEST(simulation.counters[metrics::counter::unexpected_answers] ==
               hedges);
}

BOOST_AUTO_TEST_CASE(slow_pool_is_not_hedged)
{
    simulation simulation(make_shared_manifest(make_manifest({})));
    warm_up(simulation, 1);
    for (auto& [name, leaf] : simulation.leafs) {
        leaf.latency = milliseconds{100};
    }
    const auto before = simulation.counters[metrics::counter::leaf_hedges];
    for (std::uint64_t i = 0; i < 200; ++i) {
        simulation.begin_query(1000 + i);
        simulation.run_for(milliseconds{10});
    }
    const auto hedges =
        simulation.counters[metrics::counter::leaf_hedges] - before;
    BOOST_TEST(simulation.count_logged("hedging_off") >= 1);
    BOOST_TEST(hedges <= 40);
}

BOOST_AUTO_TEST_CASE(extra_attempts_stay_in_the_budget_if_half_the_leafs_fail)
{
    for (const auto mode : {behaviour::failing, behaviour::shedding,
                            behaviour::unreachable, behaviour::silent}) {
        simulation simulation(make_shared_manifest(make_manifest({})));
        std::size_t i = 0;
        for (auto& [name, leaf] : simulation.leafs) {
            leaf.mode = i++ % 2 == 0 ? mode : behaviour::prompt;
        }
        for (std::uint64_t token = 0; token < 500; ++token) {
            simulation.begin_query(token);
            simulation.run_for(milliseconds{5});
        }
        simulation.run_for(seconds{2});
        const auto extra = simulation.counters[metrics::counter::leaf_hedges] +
                           simulation.counters[metrics::counter::leaf_retries];
        const auto all = simulation.counters[metrics::counter::leaf_requests];
        BOOST_TEST(all == simulation.attempts.size());
        const double first = static_cast<double>(all - extra);
        const double initial_tokens = targets::options{}.initial_budget_tokens;
        BOOST_TEST(static_cast<double>(extra) <=
                   initial_tokens + 0.05 * first + 1e-6);
        BOOST_TEST(extra > 0);
    }
}

BOOST_AUTO_TEST_CASE(query_restarts_on_a_newer_snapshot)
{
    for (const bool known_before : {true, false}) {
        layout old;
        old.snapshots = {17};
        old.wait_for_coverage = true;
        simulation simulation(make_shared_manifest(make_manifest(old)));
        for (int i = 0; i < 3; ++i) {
            simulation.leafs[leaf_name(7, i)].oldest_snapshot = 18;
        }
        layout next = old;
        next.snapshots = {17, 18};
        next.shards = 12;
        auto manifest = make_manifest(next);
        manifest.version = 2;
        simulation.begin_query(1);
        simulation.run_for(known_before ? milliseconds{1} : milliseconds{100});
        BOOST_TEST(simulation.answers[1].empty());
        simulation.set_manifest(make_shared_manifest(manifest));
        simulation.run_for(milliseconds{600});
        const auto& answer = only_answer(simulation, 1);
        BOOST_TEST((answer.status == answer_status::answered));
        BOOST_TEST(answer.snapshot == 18);
        BOOST_TEST(answer.shards == 12);
        BOOST_TEST(simulation.count_logged("query_restarted") == 1);
        BOOST_TEST(answer.body.find("/17/") == std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(gone_snapshot_is_reported_if_there_is_no_newer_one)
{
    simulation simulation(make_shared_manifest(make_manifest({})));
    for (int i = 0; i < 3; ++i) {
        simulation.leafs[leaf_name(7, i)].oldest_snapshot = 18;
    }
    simulation.begin_query(1);
    simulation.run_for(milliseconds{100});
    const auto& answer = only_answer(simulation, 1);
    BOOST_TEST((answer.status == answer_status::partial));
    const missing_shard expected{7, missing_reason::snapshot_gone};
    BOOST_REQUIRE(answer.missing.size() == 1);
    BOOST_TEST((answer.missing.front() == expected));
}

BOOST_AUTO_TEST_CASE(service_answers_early_or_waits_by_its_policy)
{
    for (const bool waits : {false, true}) {
        layout from;
        from.wait_for_coverage = waits;
        from.replicas = 1;
        simulation simulation(make_shared_manifest(make_manifest(from)));
        warm_up(simulation, 1);
        simulation.leafs[leaf_name(3, 0)].latency = milliseconds{900};
        simulation.begin_query(1000);
        simulation.run_for(milliseconds{400});
        BOOST_TEST(simulation.answers[1000].empty() == waits);
        simulation.run_for(milliseconds{550});
        const auto& answer = only_answer(simulation, 1000);
        BOOST_TEST((answer.status == (waits ? answer_status::answered
                                            : answer_status::partial)));
    }
}

BOOST_AUTO_TEST_CASE(failed_query_is_answered_without_delay)
{
    layout from;
    from.minimum_coverage = 0.95;
    from.wait_for_coverage = true;
    simulation simulation(make_shared_manifest(make_manifest(from)));
    for (int i = 0; i < 3; ++i) {
        simulation.leafs[leaf_name(0, i)].mode = behaviour::failing;
    }
    simulation.begin_query(1);
    simulation.run_for(milliseconds{200});
    const auto& answer = only_answer(simulation, 1);
    BOOST_TEST((answer.status == answer_status::failed));
    BOOST_TEST((answer.run == execution::ran));
    BOOST_TEST((answer.retry_after > duration{0}));
    BOOST_TEST((answer.missing.front().reason == missing_reason::failed));
}

BOOST_AUTO_TEST_CASE(query_without_attempts_is_reported_as_not_run)
{
    auto manifest = make_manifest({});
    for (auto& leaf : manifest.pools.at("index").leafs) {
        leaf.leaving = true;
    }
    simulation simulation(make_shared_manifest(manifest));
    simulation.begin_query(1);
    simulation.begin_query(2, "no such service");
    simulation.begin_query(3, "find", milliseconds{-1});
    for (const std::uint64_t token : {1, 2, 3}) {
        const auto& answer = only_answer(simulation, token);
        BOOST_TEST((answer.status == answer_status::refused));
        BOOST_TEST((answer.run == execution::not_run));
    }
    BOOST_TEST(only_answer(simulation, 1).missing.size() == 10);
    BOOST_TEST(simulation.attempts.empty());
}

BOOST_AUTO_TEST_CASE(attempts_carry_the_remaining_time)
{
    simulation simulation(make_shared_manifest(make_manifest({})));
    simulation.leafs[leaf_name(2, 0)].mode = behaviour::shedding;
    simulation.leafs[leaf_name(2, 1)].mode = behaviour::shedding;
    simulation.begin_query(1, "find", milliseconds{300});
    simulation.run_for(milliseconds{100});
    BOOST_REQUIRE(simulation.attempts.size() > 10);
    const auto answer_by = seconds{1001} + milliseconds{280};
    for (const auto& sent : simulation.attempts) {
        const auto left = answer_by - sent.sent_at.time_since_epoch();
        BOOST_TEST((sent.message.request.time_left == left));
    }
}

BOOST_AUTO_TEST_CASE(waiting_shards_are_served_earliest_deadline_first)
{
    layout from;
    from.shards = 1;
    from.replicas = 1;
    from.wait_for_coverage = true;
    simulation simulation(make_shared_manifest(make_manifest(from)));
    simulation.leafs[leaf_name(0, 0)].latency = milliseconds{50};
    simulation.begin_query(1);
    simulation.begin_query(2, "find", milliseconds{900});
    simulation.begin_query(3, "find", milliseconds{500});
    simulation.begin_query(4, "find", milliseconds{700});
    simulation.run_for(seconds{1});
    std::vector<std::string> order;
    for (const auto& sent : simulation.attempts) {
        if (order.empty() || order.back() != sent.message.request.request_id) {
            order.push_back(sent.message.request.request_id);
        }
    }
    const std::vector<std::string> expected = {"request-1", "request-3",
                                               "request-4", "request-2"};
    BOOST_TEST(order == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(no_attempts_are_sent_after_the_caller_disconnects)
{
    simulation simulation(make_shared_manifest(make_manifest({})));
    set_all(simulation, behaviour::shedding);
    simulation.begin_query(1);
    simulation.deliver(caller_disconnected{caller_token{1}});
    const auto sent = simulation.attempts.size();
    simulation.run_for(seconds{2});
    BOOST_TEST(simulation.attempts.size() == sent);
    BOOST_TEST(simulation.answers[1].empty());
    BOOST_TEST(queries::in_flight(simulation.queries) == 0);
    BOOST_TEST(simulation.queries.attempts.empty());
}

BOOST_AUTO_TEST_CASE(silent_connection_to_the_only_replica_is_bypassed)
{
    layout from;
    from.replicas = 1;
    simulation simulation(make_shared_manifest(make_manifest(from)));
    warm_up(simulation, 1);
    auto& leaf = simulation.leafs[leaf_name(5, 0)];
    leaf.silenced.insert(
        simulation.targets
            .leafs[raw(simulation.targets.leaf_by_name.at(leaf_name(5, 0)))]
            .idle.back());
    simulation.begin_query(1000);
    simulation.run_for(milliseconds{300});
    BOOST_TEST(
        (only_answer(simulation, 1000).status == answer_status::answered));
}
