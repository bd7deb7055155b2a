#include "tests/gateway/gateway_fixture.hpp"

#include <algorithm>

// Planned stops of the gateway.
namespace bulrushspring::gateway::test
{
namespace
{

struct stop_fixture : gateway_fixture {
    stop_fixture() { make_single_route(true, 3); }

    // Publishes the route with a timeout that exceeds a planned stop.
    void allow_long_requests()
    {
        table->routes.front().timeout = seconds{60};
        ++table->version;
        publish_table();
        advance(seconds{1}, milliseconds{10});
        effects.clear();
    }

    bool stop_is_done() const { return state.stopped; }

    // Requests a stop and advances until it is done.
    void stop_completely()
    {
        feed(stop_requested{});
        while (!stop_is_done()) {
            advance(milliseconds{10});
        }
        effects.clear();
    }
};

} // namespace

// LOST: the process runs on for a moment after the stop is done, to write its
// last answers. A request that arrived then was sent to a leaf and lost.
BOOST_FIXTURE_TEST_CASE(a_request_after_a_completed_stop_is_refused,
                        stop_fixture)
{
    stop_completely();
    send_request("/s/x");
    BOOST_TEST(take<send_to_leaf>().empty());
    const auto answer = only_answer();
    BOOST_TEST((answer.kind == answer_kind::not_run));
    BOOST_TEST((answer.retry_after > duration{0}));
}

// LOST: a request that arrived just before the end of the grace period was sent
// to a leaf and cut off, although it could have been refused as not run.
BOOST_FIXTURE_TEST_CASE(
    a_request_after_the_published_addresses_have_expired_is_refused,
    stop_fixture)
{
    allow_long_requests();
    send_request("/s/slow", seconds{60}); // keeps the daemon running
    const auto slow = only_sent();
    feed(stop_requested{});
    advance(seconds{5});
    effects.clear();
    BOOST_REQUIRE(!stop_is_done());
    send_request("/s/x");
    BOOST_TEST(take<send_to_leaf>().empty());
    BOOST_TEST((only_answer().kind == answer_kind::not_run));
    reply(slow, "slow");
    BOOST_TEST((only_answer().kind == answer_kind::relayed));
    BOOST_TEST(stop_is_done());
}

// LOST: a daemon that noticed the end of its stop late (a slow VM) ended its
// event loop at once, without a turn in which to send the last answers.
BOOST_FIXTURE_TEST_CASE(a_stop_that_ends_late_leaves_time_to_send_its_answers,
                        stop_fixture)
{
    allow_long_requests();
    send_request("/s/slow", seconds{60});
    feed(stop_requested{});
    effects.clear();
    clock.advance(settings.stop_grace - settings.exit_reserve);
    feed(tick{});
    BOOST_TEST((only_answer().kind == answer_kind::failed));
    const auto ends = take<end_process>();
    BOOST_REQUIRE(ends.size() == 1U);
    BOOST_TEST((ends.front().time_limit >= milliseconds{100}));
}

// LOST: what had been taken late in the grace period was cut without an answer
// at its end, requests that may not be repeated among them.
BOOST_FIXTURE_TEST_CASE(a_request_taken_late_in_a_stop_gets_a_final_answer,
                        gateway_fixture)
{
    make_single_route(false, 3);
    table->routes.front().timeout = seconds{60};
    ++table->version;
    publish_table();
    advance(seconds{1}, milliseconds{10});
    feed(stop_requested{});
    std::size_t requests = 0;
    std::size_t taken = 0;
    std::size_t answered = 0;
    while (!state.stopped) {
        effects.clear();
        send_request("/s/x", seconds{60});
        ++requests;
        taken += take<send_to_leaf>().size();
        advance(milliseconds{100});
        answered += take<answer_request>().size();
    }
    BOOST_TEST(taken > 0U);
    BOOST_TEST(answered == requests);
    BOOST_TEST(in_progress(state) == 0U);
}

// A caller that still knows the address is served as usual.
BOOST_FIXTURE_TEST_CASE(a_request_early_in_a_planned_stop_is_served,
                        stop_fixture)
{
    feed(stop_requested{});
    advance(seconds{2});
    effects.clear();
    send_request("/s/x");
    reply(only_sent(), "body");
    BOOST_TEST((only_answer().kind == answer_kind::relayed));
}

} // namespace bulrushspring::gateway::test
