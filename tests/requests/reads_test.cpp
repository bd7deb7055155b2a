#include "tests/requests/simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::requests_test;

namespace
{

caller_request read(const simulation& simulation, const std::string& key)
{
    auto request = simulation.make_request("editor", key);
    request.kind = manifest::service_kind::read;
    request.service = "tracker";
    return request;
}

limits::retry_budget& retry_budget_of(simulation& simulation)
{
    return targets::retry_budget_of(
        simulation.daemons[0].targets,
        simulation.manifest->services.at("tracker"));
}

std::size_t cancellations(const simulation& simulation)
{
    return simulation.cancelled;
}

} // namespace

BOOST_AUTO_TEST_SUITE(reads)

BOOST_AUTO_TEST_CASE(a_read_goes_to_the_shard_of_its_key)
{
    simulation simulation;
    const auto token = simulation.submit(0, read(simulation, "series-7"));
    const auto& sent = simulation.messages.at(0).what.request;
    BOOST_TEST(sent.shard == stable_hash("series-7") % 2);
    BOOST_TEST(sent.snapshot == 17U);
    BOOST_TEST(sent.idempotent);
    BOOST_TEST((sent.time_left == milliseconds{1000}));
    simulation.execute(simulation.messages[0]);
    BOOST_TEST(simulation.answer_of(token).body == "done editor/series-7");
    BOOST_TEST(simulation.answer_of(token).snapshot == 17U);
}

BOOST_AUTO_TEST_CASE(a_lost_read_is_sent_to_another_leaf)
{
    simulation simulation;
    const auto token = simulation.submit(0, read(simulation, "k"));
    simulation.lose_connection(simulation.messages[0]);
    BOOST_REQUIRE_EQUAL(simulation.messages.size(), 2U);
    simulation.execute(simulation.messages[1]);
    BOOST_TEST(to_string(simulation.answer_of(token).status) == "answered");
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget_and_the_answer_is_immediate)
{
    simulation simulation;
    retry_budget_of(simulation).tokens = 1.0;
    const auto token = simulation.submit(0, read(simulation, "k"));
    simulation.refuse(simulation.messages[0], leaf_status::shed);
    simulation.refuse(simulation.messages.at(1), leaf_status::shed);
    BOOST_TEST(simulation.messages.size() == 2U);
    const auto& answer = simulation.answer_of(token);
    BOOST_TEST(to_string(answer.status) == "refused");
    BOOST_TEST(answer.reason == "shed");
    BOOST_TEST((answer.run == execution::not_run));
    BOOST_TEST(answer.retry_after.count() > 0);
}

BOOST_AUTO_TEST_CASE(a_slow_read_is_hedged_and_the_slower_attempt_cancelled)
{
    simulation simulation;
    const auto token = simulation.submit(0, read(simulation, "k"));
    const auto delay =
        targets::hedge_delay(simulation.daemons[0].targets, "orders");
    BOOST_REQUIRE_LT(delay.count(), duration{milliseconds{900}}.count());
    simulation.run(delay + milliseconds{1});
    BOOST_REQUIRE_EQUAL(simulation.messages.size(), 2U);
    simulation.execute(simulation.messages[1]);
    BOOST_TEST(to_string(simulation.answer_of(token).status) == "answered");
    BOOST_TEST(cancellations(simulation) == 1U);
    // The answer to the cancelled attempt is dropped.
    simulation.execute(simulation.messages[0]);
    BOOST_TEST(simulation.caller_attempts.at(token).answers.size() == 1U);
    BOOST_TEST(simulation.daemons[0].requests.attempts.empty());
}

BOOST_AUTO_TEST_CASE(a_read_without_an_answer_ends_at_its_deadline)
{
    simulation simulation;
    retry_budget_of(simulation).tokens = 0.0;
    const auto token = simulation.submit(0, read(simulation, "k"));
    simulation.run(milliseconds{1001});
    const auto& answer = simulation.answer_of(token);
    BOOST_TEST(to_string(answer.status) == "outcome_unknown");
    BOOST_TEST(answer.reason == "timed_out");
}

BOOST_AUTO_TEST_CASE(a_mismatched_answer_is_dropped_and_the_read_sent_again)
{
    simulation simulation;
    const auto one = simulation.submit(0, read(simulation, "k1"));
    const auto other = simulation.submit(0, read(simulation, "k2"));
    simulation.deliver_answer(simulation.messages[0],
                              simulation.answer_to(simulation.messages[1]));
    BOOST_REQUIRE_EQUAL(simulation.messages.size(), 3U);
    simulation.execute(simulation.messages[2]);
    BOOST_TEST(simulation.answer_of(one).body == "done editor/k1");
    BOOST_TEST(simulation.caller_attempts.at(other).answers.empty());
    BOOST_TEST(simulation.count_logged("answer_mismatched") == 1U);
}

BOOST_AUTO_TEST_CASE(a_caller_that_left_has_its_read_cancelled)
{
    simulation simulation;
    const auto token = simulation.submit(0, read(simulation, "k"));
    simulation.disconnect_caller(token);
    BOOST_TEST(cancellations(simulation) == 1U);
    BOOST_TEST(requests::in_flight(simulation.daemons[0].requests) == 0U);
    BOOST_TEST(simulation.daemons[0].admission.running.empty());
    simulation.execute(simulation.messages[0]);
    BOOST_TEST(simulation.caller_attempts.at(token).answers.empty());
}

BOOST_AUTO_TEST_CASE(a_retry_goes_to_the_snapshot_in_force)
{
    simulation simulation;
    const auto token = simulation.submit(0, read(simulation, "k"));
    simulation.change_manifest(5, 18);
    simulation.run(seconds{0});
    simulation.refuse(simulation.messages[0], leaf_status::snapshot_gone);
    BOOST_REQUIRE_EQUAL(simulation.messages.size(), 2U);
    BOOST_TEST(simulation.messages[1].what.request.snapshot == 18U);
    BOOST_TEST(simulation.messages[1].what.request.shard ==
               stable_hash("k") % 5);
    simulation.execute(simulation.messages[1]);
    BOOST_TEST(simulation.answer_of(token).snapshot == 18U);
}

BOOST_AUTO_TEST_CASE(without_a_replica_the_refusal_is_immediate)
{
    simulation simulation;
    auto none = std::make_shared<manifest::manifest>(*simulation.manifest);
    none->pools.at("orders").leafs.clear();
    simulation.change_manifest(none);
    const auto token = simulation.submit(0, read(simulation, "k"));
    BOOST_TEST(simulation.answer_of(token).reason == "no_replica");
    BOOST_TEST((simulation.answer_of(token).run == execution::not_run));
    BOOST_TEST(simulation.answer_of(token).retry_after.count() > 0);
}

BOOST_AUTO_TEST_SUITE_END()
