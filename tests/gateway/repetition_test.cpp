#include "libraries/gateway/connection_quota.hpp"
#include "libraries/gateway/leaf_connections.hpp"
#include "tests/gateway/gateway_fixture.hpp"

#include <set>

// A leaf may send a second copy of an answer late, where the answer to the next
// request on that connection is expected. If that is the same request, the copy
// carries the expected id: a refusal from before would hide that the leaf has
// begun to run the request, which would be sent once more.
namespace bulrushspring::gateway::test
{

namespace
{

struct repetition_fixture : gateway_fixture {
    std::set<std::uint64_t> used;
    std::size_t opened = 0;

    // Refuses each sending, and fails the test if one is on a connection that
    // was used before. Returns the number of sendings.
    std::size_t refuse_all(duration span)
    {
        std::size_t sendings = 0;
        const auto end = clock.now() + span;
        while (clock.now() < end) {
            advance(milliseconds{1});
            for (const auto& each : take<open_leaf>()) {
                ++opened;
                feed(leaf_connected{each.connection});
            }
            for (const auto& each : take<send_to_leaf>()) {
                ++sendings;
                BOOST_TEST(used.insert(raw(each.connection)).second);
                refuse(each);
            }
        }
        return sendings;
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_request_is_sent_once_on_a_connection,
                        repetition_fixture)
{
    make_single_route(false, 1);
    send_request("/s/x");
    BOOST_TEST(refuse_all(milliseconds{700}) > 8U);
    const auto& leaf = state.pool.leafs.at("one-0");
    BOOST_TEST(leaf.connections <=
               connection_quota(state.pool, leaf, clock.now()));
    // Each new connection costs the leaf time: they replace the quota's, one
    // each reconnect_delay.
    BOOST_TEST(opened <= 27U);
}

BOOST_FIXTURE_TEST_CASE(a_part_of_a_query_is_sent_once_on_a_connection,
                        repetition_fixture)
{
    make_query_route(3);
    require_coverage(1.0);
    send_request("/q/x");
    BOOST_TEST(refuse_all(milliseconds{700}) > 9U);
}

BOOST_FIXTURE_TEST_CASE(another_request_uses_the_same_connection,
                        gateway_fixture)
{
    make_single_route(false, 1);
    send_request("/s/x");
    const auto first = only_sent();
    reply(first, "body");
    send_request("/s/y");
    BOOST_TEST(raw(only_sent().connection) == raw(first.connection));
    BOOST_TEST(take<open_leaf>().empty());
}

// A repetition takes another idle connection to the leaf before a new one.
BOOST_FIXTURE_TEST_CASE(a_repetition_prefers_an_open_connection,
                        gateway_fixture)
{
    make_single_route(false, 1);
    send_request("/s/x");
    send_request("/s/y");
    connect_requested();
    const auto sent = take<send_to_leaf>();
    BOOST_REQUIRE_EQUAL(sent.size(), 2U);
    reply(sent[1], "body");
    refuse(sent[0]);
    advance(milliseconds{25});
    BOOST_TEST(raw(only_sent().connection) == raw(sent[1].connection));
    BOOST_TEST(take<open_leaf>().empty());
}

// BUDGET: a repetition was cancelled while its connection was being opened. Its
// leaf, which had run the request, was forgotten, and a further leaf got it.
BOOST_FIXTURE_TEST_CASE(a_cancelled_repetition_frees_no_leaf_of_the_limit,
                        gateway_fixture)
{
    make_single_route(true, 4); // at most two leafs for each request
    send_request("/s/x");
    std::set<std::string> leafs;
    for (int i = 0; i < 300; ++i) {
        for (const auto& each : take<send_to_leaf>()) {
            leafs.insert(each.leaf);
            disconnect(each);
        }
        advance(milliseconds{1});
    }
    BOOST_TEST(leafs.size() == 2U);
}

// A health check has no id, so a late copy of its answer would be taken for the
// answer to any later request.
BOOST_FIXTURE_TEST_CASE(a_connection_is_closed_after_a_health_check,
                        gateway_fixture)
{
    make_single_route(false, 1);
    bulrushspring::context shared_context{clock.now(), shared, last_identifier};
    gateway::context context{clock.now(), effects, shared_context};
    BOOST_REQUIRE(
        send_health_check(state.pool, state.pool.leafs.at("one-0"), context));
    const auto check = only_sent();
    reply(check, "");
    const auto closed = take<close_leaf>();
    BOOST_REQUIRE_EQUAL(closed.size(), 1U);
    BOOST_TEST(raw(closed[0].connection) == raw(check.connection));
    send_request("/s/x");
    connect_requested();
    BOOST_TEST(raw(only_sent().connection) != raw(check.connection));
}

} // namespace bulrushspring::gateway::test
