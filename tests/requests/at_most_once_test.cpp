#include "tests/requests/simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::requests_test;

namespace
{

void check_answer(const caller_answer& answer, answer_status status,
                  execution run, const std::string& reason = "")
{
    BOOST_TEST(to_string(answer.status) == to_string(status));
    BOOST_TEST(static_cast<int>(answer.run) == static_cast<int>(run));
    BOOST_TEST(answer.reason == reason);
}

} // namespace

BOOST_AUTO_TEST_SUITE(at_most_once)

BOOST_AUTO_TEST_CASE(a_request_runs_and_its_repeat_is_answered_from_its_record)
{
    simulation simulation;
    const auto first =
        simulation.submit(0, simulation.make_request("home", "r1"));
    BOOST_REQUIRE_EQUAL(simulation.messages.size(), 1U);
    simulation.execute(simulation.messages[0]);
    check_answer(simulation.answer_of(first), answer_status::answered,
                 execution::ran);
    const auto second = simulation.repeat(0, first);
    check_answer(simulation.answer_of(second), answer_status::answered,
                 execution::ran);
    BOOST_TEST(simulation.answer_of(second).body == "done home/r1");
    BOOST_TEST(simulation.messages.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_reported_as_unknown_and_never_sent_again)
{
    simulation simulation;
    const auto first =
        simulation.submit(0, simulation.make_request("home", "r1"));
    simulation.execute(simulation.messages[0], false);
    simulation.lose_connection(simulation.messages[0]);
    check_answer(simulation.answer_of(first), answer_status::outcome_unknown,
                 execution::unknown, "connection_lost");
    BOOST_TEST(simulation.answer_of(first).retry_after.count() > 0);
    const auto second = simulation.repeat(0, first);
    check_answer(simulation.answer_of(second), answer_status::outcome_unknown,
                 execution::unknown, "connection_lost");
    simulation.run(seconds{3});
    BOOST_TEST(simulation.messages.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_repeat_gets_a_late_answer)
{
    simulation simulation;
    const auto first =
        simulation.submit(0, simulation.make_request("home", "r1"));
    simulation.run(milliseconds{1001});
    check_answer(simulation.answer_of(first), answer_status::outcome_unknown,
                 execution::unknown, "timed_out");
    simulation.execute(simulation.messages[0]);
    const auto second = simulation.repeat(0, first);
    check_answer(simulation.answer_of(second), answer_status::answered,
                 execution::ran);
    BOOST_TEST(simulation.count_logged("request_outcome_learned") == 1U);
}

BOOST_AUTO_TEST_CASE(
    a_restarted_entry_refuses_grants_of_its_earlier_incarnation)
{
    simulation simulation;
    const auto first =
        simulation.submit(0, simulation.make_request("home", "r1"));
    simulation.restart(0);
    simulation.run(seconds{1});
    const auto second = simulation.repeat(0, first);
    check_answer(simulation.answer_of(second), answer_status::refused,
                 execution::unknown, "grant_foreign");
    const auto other =
        simulation.submit(0, simulation.make_request("home", "r2"));
    check_answer(simulation.answer_of(other), answer_status::refused,
                 execution::not_run, "grant_foreign");
    BOOST_TEST(simulation.messages.size() == 1U);
    auto again = simulation.make_request("home", "r2");
    again.grant = simulation.answer_of(other).grant;
    simulation.submit(0, again);
    BOOST_TEST(simulation.messages.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_repeat_through_another_entry_is_refused_as_unknown)
{
    simulation simulation;
    const auto first =
        simulation.submit(0, simulation.make_request("home", "r1"));
    const auto second = simulation.repeat(1, first);
    check_answer(simulation.answer_of(second), answer_status::refused,
                 execution::unknown, "earlier_sending_unknown");
    BOOST_TEST(simulation.messages.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_entry_suspended_past_the_grant_refuses)
{
    simulation simulation;
    simulation.suspend(0);
    const auto token =
        simulation.submit(0, simulation.make_request("home", "r1"));
    simulation.run(seconds{31});
    simulation.resume(0);
    check_answer(simulation.answer_of(token), answer_status::refused,
                 execution::not_run, "grant_expired");
    BOOST_TEST(!simulation.answer_of(token).grant.empty());
    BOOST_TEST(simulation.messages.empty());
}

BOOST_AUTO_TEST_CASE(
    a_queued_request_past_its_deadline_is_not_sent_after_a_suspension)
{
    simulation simulation;
    // Uses every connection, so that the last request waits for one.
    std::vector<std::uint64_t> tokens;
    while (simulation.messages.size() == tokens.size()) {
        tokens.push_back(simulation.submit(
            0, simulation.make_request("home",
                                       "r" + std::to_string(tokens.size()))));
        BOOST_REQUIRE_LT(tokens.size(), 300U);
    }
    const auto sent = simulation.messages.size();
    simulation.suspend(0);
    for (std::size_t i = 0; i < sent; ++i) {
        simulation.execute(simulation.messages[i]);
    }
    simulation.run(milliseconds{1500});
    simulation.resume(0);
    BOOST_TEST(simulation.messages.size() == sent);
    BOOST_TEST(simulation.violations.empty());
    const auto& answer = simulation.answer_of(tokens.back());
    BOOST_TEST(to_string(answer.status) == "refused");
    BOOST_TEST((answer.run == execution::not_run));
    BOOST_TEST(answer.retry_after.count() > 0);
}

BOOST_AUTO_TEST_CASE(
    a_refused_request_is_sent_to_another_leaf_within_the_budget)
{
    simulation simulation;
    const auto token =
        simulation.submit(0, simulation.make_request("home", "r1"));
    simulation.refuse(simulation.messages[0], leaf_status::shed);
    BOOST_REQUIRE_EQUAL(simulation.messages.size(), 2U);
    BOOST_TEST((simulation.messages[0].what.connection !=
                simulation.messages[1].what.connection));
    simulation.execute(simulation.messages[1]);
    check_answer(simulation.answer_of(token), answer_status::answered,
                 execution::ran);
}

BOOST_AUTO_TEST_CASE(
    without_budget_a_refused_request_ends_immediately_as_not_run)
{
    simulation simulation;
    auto& budget = targets::retry_budget_of(
        simulation.daemons[0].targets,
        simulation.manifest->services.at("order-desk"));
    budget.tokens = 0.0;
    const auto token =
        simulation.submit(0, simulation.make_request("home", "r1"));
    simulation.refuse(simulation.messages[0], leaf_status::shed);
    check_answer(simulation.answer_of(token), answer_status::refused,
                 execution::not_run, "shed");
    BOOST_TEST(simulation.answer_of(token).retry_after.count() > 0);
    // A repeat gets the recorded refusal; a request that starts over runs.
    const auto second = simulation.repeat(0, token);
    check_answer(simulation.answer_of(second), answer_status::refused,
                 execution::not_run, "shed");
    const auto anew =
        simulation.submit(0, simulation.make_request("home", "r1"));
    simulation.execute(simulation.messages.back());
    check_answer(simulation.answer_of(anew), answer_status::answered,
                 execution::ran);
}

BOOST_AUTO_TEST_CASE(a_mismatched_refusal_is_no_proof_of_not_run)
{
    simulation simulation;
    const auto one =
        simulation.submit(0, simulation.make_request("home", "r1"));
    const auto other =
        simulation.submit(0, simulation.make_request("school", "r2"));
    auto answer = simulation.answer_to(simulation.messages[1]);
    answer.status = leaf_status::shed;
    answer.run = execution::not_run;
    simulation.deliver_answer(simulation.messages[0], answer);
    check_answer(simulation.answer_of(one), answer_status::outcome_unknown,
                 execution::unknown, "answer_mismatched");
    BOOST_TEST(simulation.messages.size() == 2U);
    // The correct answer comes late, and reaches its own request only.
    simulation.execute(simulation.messages[0]);
    BOOST_TEST(simulation.caller_attempts.at(other).answers.empty());
    const auto again = simulation.repeat(0, one);
    BOOST_TEST(simulation.answer_of(again).body == "done home/r1");
}

BOOST_AUTO_TEST_CASE(an_id_reused_for_other_content_is_refused)
{
    simulation simulation;
    simulation.submit(0, simulation.make_request("home", "r1"));
    auto changed = simulation.make_request("home", "r1");
    changed.body = std::make_shared<const std::string>("another board");
    const auto refused = simulation.submit(0, changed);
    check_answer(simulation.answer_of(refused), answer_status::refused,
                 execution::unknown, "id_reused");
    // Ids of different callers are independent.
    simulation.submit(0, simulation.make_request("school", "r1"));
    BOOST_TEST(simulation.messages.size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_id_bound_to_its_grant_may_be_sent_again_after_a_loss)
{
    simulation simulation;
    const auto& grant = simulation.daemons[0].grant;
    const auto id = grant.substr(0, 17) + "r1";
    // The caller's first attempt never reached the entry.
    const auto second =
        simulation.submit(0, simulation.make_request("home", id, 2));
    simulation.execute(simulation.messages.at(0));
    check_answer(simulation.answer_of(second), answer_status::answered,
                 execution::ran);
    // Another entry does not run it, not even as a first attempt.
    const auto elsewhere =
        simulation.submit(1, simulation.make_request("home", id));
    check_answer(simulation.answer_of(elsewhere), answer_status::refused,
                 execution::not_run, "id_of_another_grant");
    BOOST_TEST(simulation.messages.size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    the_ledger_is_bounded_and_evicts_no_record_before_it_expires)
{
    requests::options settings;
    settings.ledger.max_records = 3;
    simulation simulation(1, settings);
    std::vector<std::uint64_t> taken;
    for (int i = 0; i < 3; ++i) {
        taken.push_back(simulation.submit(
            0, simulation.make_request("home", "r" + std::to_string(i))));
        simulation.execute(simulation.messages.back());
    }
    const auto over =
        simulation.submit(0, simulation.make_request("home", "r9"));
    check_answer(simulation.answer_of(over), answer_status::refused,
                 execution::not_run, "memory_full");
    BOOST_TEST(simulation.answer_of(over).retry_after > seconds{30});
    for (const auto token : taken) {
        const auto repeat = simulation.repeat(0, token);
        check_answer(simulation.answer_of(repeat), answer_status::answered,
                     execution::ran);
    }
    // The grant is valid for 30 s; a record outlives it by 10 s.
    simulation.run(seconds{42});
    BOOST_TEST(simulation.daemons[0].requests.request_ledger.records.empty());
    BOOST_TEST(simulation.daemons[0].requests.attempts.empty());
    simulation.renew_grant(0);
    simulation.submit(0, simulation.make_request("home", "r10"));
    BOOST_TEST(simulation.messages.size() == 4U);
}

BOOST_AUTO_TEST_CASE(bodies_in_the_ledger_are_bounded)
{
    requests::options settings;
    settings.ledger.max_body_bytes = 4;
    simulation simulation(1, settings);
    const auto first =
        simulation.submit(0, simulation.make_request("home", "r1"));
    simulation.execute(simulation.messages.back());
    BOOST_TEST(simulation.answer_of(first).body == "done home/r1");
    const auto second = simulation.repeat(0, first);
    check_answer(simulation.answer_of(second), answer_status::partial,
                 execution::ran, "body_not_kept");
    BOOST_TEST(simulation.daemons[0].requests.request_ledger.body_bytes == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_whose_caller_left_continues_and_is_recorded)
{
    simulation simulation;
    const auto first =
        simulation.submit(0, simulation.make_request("home", "r1"));
    simulation.disconnect_caller(first);
    const auto second = simulation.repeat(0, first);
    simulation.execute(simulation.messages[0]);
    check_answer(simulation.answer_of(second), answer_status::answered,
                 execution::ran);
    BOOST_TEST(simulation.daemons[0].admission.running.empty());
}

BOOST_AUTO_TEST_CASE(repeats_join_the_request_in_progress_up_to_a_limit)
{
    simulation simulation;
    const auto first =
        simulation.submit(0, simulation.make_request("home", "r1"));
    std::vector<std::uint64_t> repeats;
    for (int i = 0; i < 5; ++i) {
        repeats.push_back(simulation.repeat(0, first));
    }
    check_answer(simulation.answer_of(repeats.back()), answer_status::refused,
                 execution::unknown, "in_progress");
    simulation.disconnect_caller(repeats.front());
    simulation.execute(simulation.messages[0]);
    for (std::size_t i = 1; i + 1 < repeats.size(); ++i) {
        check_answer(simulation.answer_of(repeats[i]), answer_status::answered,
                     execution::ran);
    }
    BOOST_TEST(simulation.messages.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_silent_connection_gives_unknown_at_the_deadline)
{
    simulation simulation;
    // The connection has been idle for longer than a non-idempotent request
    // allows, so it is probed before it is used.
    simulation.run(seconds{4});
    const auto token =
        simulation.submit(0, simulation.make_request("home", "r1"));
    BOOST_TEST(simulation.messages.size() == 1U);
    simulation.run(milliseconds{1001});
    check_answer(simulation.answer_of(token), answer_status::outcome_unknown,
                 execution::unknown, "timed_out");
    simulation.run(seconds{5});
    BOOST_TEST(simulation.messages.size() == 1U);
    BOOST_TEST(requests::in_flight(simulation.daemons[0].requests) == 0U);
}

BOOST_AUTO_TEST_CASE(
    a_repeat_admitted_with_the_first_releases_its_admission_slot)
{
    simulation simulation(1, {}, 2);
    simulation.submit(0, simulation.make_request("home", "r1"));
    simulation.submit(0, simulation.make_request("home", "r2"));
    const auto first =
        simulation.submit(0, simulation.make_request("home", "r3"));
    const auto repeat = simulation.repeat(0, first);
    simulation.execute(simulation.messages[0]);
    simulation.execute(simulation.messages[1]);
    simulation.run(milliseconds{1});
    BOOST_TEST(simulation.messages.size() == 3U);
    BOOST_TEST(simulation.daemons[0].admission.running.size() == 2U);
    simulation.disconnect_caller(repeat);
    BOOST_TEST(simulation.daemons[0].admission.running.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_attempt_without_a_matching_answer_is_removed_on_expiry)
{
    simulation simulation(1);
    simulation.submit(0, simulation.make_request("home", "r1"));
    auto answer = simulation.answer_to(simulation.messages[0]);
    answer.request_id = "another";
    simulation.deliver_answer(simulation.messages[0], answer);
    BOOST_TEST(simulation.daemons[0].requests.attempts.size() == 1U);
    simulation.run(seconds{42});
    BOOST_TEST(simulation.daemons[0].requests.attempts.empty());
}

BOOST_AUTO_TEST_SUITE_END()
