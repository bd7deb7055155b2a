#include "tests/admission/bench.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::admission_test;

namespace
{

// Limits the pool to one request in flight and trains the service time to
// 100 ms.
void train_slow_service(bench& bench)
{
    bench.settings.limits.initial_limit = 1.0;
    bench.settings.limits.max_limit = 1.0;
    bench.start();
    for (int i = 0; i < 30; ++i) {
        const auto token = bench.offer("quick-find", "family");
        BOOST_REQUIRE_EQUAL(bench.take().size(), 1U);
        bench.clock.advance(milliseconds{100});
        bench.finish(token);
    }
    BOOST_REQUIRE(bench.answers().empty());
}

void check_refusal(const bench& bench, caller_token token,
                   const std::string& reason)
{
    const auto answers = bench.answers();
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    const auto& answer = answers[0].answer;
    BOOST_TEST(raw(answers[0].token) == raw(token));
    BOOST_TEST(to_string(answer.status) == "refused");
    BOOST_TEST((answer.run == execution::not_run));
    BOOST_TEST(answer.reason == reason);
    BOOST_TEST(answer.retry_after.count() > 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(deadlines)

BOOST_AUTO_TEST_CASE(queueing_time_is_subtracted_from_the_time_left)
{
    bench bench;
    bench.settings.limits.initial_limit = 1.0;
    bench.start();
    bench.offer("quick-find", "family-1");
    bench.offer("quick-find", "family-2");
    const auto first = bench.take();
    BOOST_REQUIRE_EQUAL(first.size(), 1U);
    bench.clock.advance(milliseconds{30});
    bench.finish(first[0].token);
    const auto second = bench.take();
    BOOST_REQUIRE_EQUAL(second.size(), 1U);
    BOOST_TEST(to_milliseconds(second[0].request.time_left) == 270);
}

BOOST_AUTO_TEST_CASE(a_request_with_a_deadline_that_is_too_short_is_refused)
{
    bench bench;
    train_slow_service(bench);
    bench.offer("quick-find", "family");
    bench.take();
    const auto token = bench.offer("quick-find", "family", milliseconds{60});
    check_refusal(bench, token, "deadline_too_short");
}

BOOST_AUTO_TEST_CASE(a_request_is_refused_if_its_queue_is_too_long)
{
    bench bench;
    train_slow_service(bench);
    bench.offer("quick-find", "family");
    bench.take();
    bench.offer("quick-find", "family"); // queued 100 ms
    bench.offer("quick-find", "family"); // queued 200 ms, just in time
    const auto token = bench.offer("quick-find", "family");
    check_refusal(bench, token, "overloaded");
}

BOOST_AUTO_TEST_CASE(an_idle_service_admits_a_request_however_slow_it_was)
{
    bench bench;
    train_slow_service(bench);
    bench.offer("quick-find", "family", milliseconds{60});
    BOOST_TEST(bench.take().size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    a_queued_request_is_refused_once_it_would_miss_its_deadline)
{
    bench bench;
    train_slow_service(bench);
    bench.offer("quick-find", "family");
    bench.take();
    const auto token = bench.offer("quick-find", "other");
    // The deadline is 300 ms, of which execution needs 100 ms.
    const auto due = admission::next_wakeup(bench.state);
    BOOST_TEST(to_milliseconds(due - bench.clock.now()) == 200);
    bench.clock.advance(due - bench.clock.now());
    bench.tick();
    check_refusal(bench, token, "overloaded");
}

BOOST_AUTO_TEST_CASE(a_request_that_expired_during_a_pause_is_not_admitted)
{
    bench bench;
    train_slow_service(bench);
    const auto running = bench.offer("quick-find", "family");
    bench.take();
    const auto token = bench.offer("quick-find", "other");
    bench.clock.advance(seconds{5});
    // No tick was processed in between.
    bench.finish(running);
    BOOST_TEST(bench.take().empty());
    check_refusal(bench, token, "overloaded");
}

BOOST_AUTO_TEST_CASE(queues_are_limited_per_caller_per_service_and_in_bytes)
{
    bench bench;
    bench.settings.limits.initial_limit = 1.0;
    bench.settings.max_queued_per_caller = 2;
    bench.settings.max_queued_per_service = 3;
    bench.settings.max_queued_bytes = 100;
    bench.start();
    bench.offer("quick-find", "family");
    bench.offer("quick-find", "family");
    check_refusal(bench, bench.offer("quick-find", "family"), "queue_full");
    bench.effects.clear();
    bench.offer("quick-find", "school");
    check_refusal(bench, bench.offer("quick-find", "home"), "queue_full");
    bench.effects.clear();
    bench.body = std::make_shared<const std::string>(101, 'x');
    check_refusal(bench, bench.offer("export", "home"), "queue_full");
}

BOOST_AUTO_TEST_CASE(a_refused_repeat_may_have_run_in_an_earlier_attempt)
{
    bench bench;
    bench.settings.max_queued = 0;
    bench.start();
    const auto run_of = [&](std::uint32_t attempt) {
        bench.effects.clear();
        bench.offer("order-desk", "home", duration{0}, attempt);
        return bench.answers().at(0).answer.run;
    };
    BOOST_TEST((run_of(1) == execution::not_run));
    BOOST_TEST((run_of(2) == execution::unknown));
    BOOST_TEST((run_of(0) == execution::unknown));
}

BOOST_AUTO_TEST_CASE(retry_delays_of_refused_callers_are_spread)
{
    bench bench;
    train_slow_service(bench);
    bench.offer("quick-find", "family");
    bench.take();
    std::set<duration> times;
    for (int i = 0; i < 20; ++i) {
        bench.offer("quick-find", "family", milliseconds{60});
    }
    for (const auto& one : bench.answers()) {
        times.insert(one.answer.retry_after);
    }
    BOOST_TEST(times.size() == 20U);
    BOOST_TEST((*times.rbegin() - *times.begin() > milliseconds{30}));
}

BOOST_AUTO_TEST_CASE(a_closed_caller_connection_releases_its_capacity)
{
    bench bench;
    bench.settings.limits.initial_limit = 1.0;
    bench.start();
    const auto running = bench.offer("quick-find", "family");
    const auto queued = bench.offer("quick-find", "other");
    bench.take();
    bench.leave(queued);
    bench.leave(running);
    BOOST_TEST(bench.state.waiting.empty());
    BOOST_TEST(bench.state.running.empty());
    // A non-idempotent request continues and is counted until it ends.
    const auto order = bench.offer("order-desk", "family");
    bench.take();
    bench.leave(order);
    BOOST_TEST(bench.state.running.size() == 1U);
    bench.finish(order);
    BOOST_TEST(bench.state.running.empty());
}

BOOST_AUTO_TEST_SUITE_END()
