#include "tests/gateway/gateway_fixture.hpp"

// Load pattern: all leafs of a shard are down, and refuse connections or do not
// answer them.
namespace bulrushspring::gateway::test
{

namespace
{

struct unreachable_fixture : gateway_fixture {
    // Ends the connections to the leafs of a service.
    void lose(const std::string& service)
    {
        std::vector<connection_id> lost;
        for (const auto& [id, each] : state.pool.connections) {
            if (each.leaf.starts_with(service + "-")) {
                lost.push_back(connection_id{id});
            }
        }
        for (const auto id : lost) {
            feed(leaf_disconnected{id, error{}});
        }
        effects.clear();
    }

    // The same, and lets connects to them fail until the next one is due in
    // more than a second.
    void lose_for_long(const std::string& service)
    {
        lose(service);
        const auto connects_soon = [&] {
            const auto& leafs = state.pool.by_service.at(service);
            return std::any_of(leafs.begin(), leafs.end(), [&](const auto& id) {
                return state.pool.leafs.at(id).backoff_until <
                       clock.now() + seconds{1};
            });
        };
        while (connects_soon()) {
            advance(milliseconds{10}, milliseconds{10});
            refuse_connects(service);
        }
        effects.clear();
    }

    void refuse_connects(const std::string& service)
    {
        for (const auto& each : take<open_leaf>()) {
            const auto& leaf =
                state.pool.connections.at(raw(each.connection)).leaf;
            if (leaf.starts_with(service + "-")) {
                feed(leaf_disconnected{each.connection, error{}});
            } else {
                feed(leaf_connected{each.connection});
            }
        }
    }

    void reply_to_all()
    {
        for (const auto& each : take<send_to_leaf>()) {
            reply(each, "0123456789abcdef");
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_query_does_not_wait_for_an_unreachable_shard,
                        unreachable_fixture)
{
    make_query_route(4);
    lose_for_long("s0");
    // Whether the leafs are in backoff or connects go on.
    for (int i = 0; i < 40; ++i) {
        send_request("/q/x");
        reply_to_all();
        const auto answer = only_answer();
        BOOST_TEST((answer.kind == answer_kind::merged));
        BOOST_TEST(answer.missing_shards == 1U);
        advance(milliseconds{50}, milliseconds{10});
    }
}

// One failed connect is not enough: the leaf may have closed the connection and
// accept the next one.
BOOST_FIXTURE_TEST_CASE(a_query_waits_for_a_shard_that_may_return,
                        unreachable_fixture)
{
    make_query_route(4);
    lose("s0");
    send_request("/q/x");
    reply_to_all();
    BOOST_TEST(take<answer_request>().empty());
    advance(milliseconds{60});
    connect_requested();
    advance(milliseconds{20});
    reply_to_all();
    BOOST_TEST(only_answer().missing_shards == 0U);
}

// The caller is told when the next connect is due, and the other shards do no
// work for nothing.
BOOST_FIXTURE_TEST_CASE(a_query_without_coverage_is_refused_before_it_is_sent,
                        unreachable_fixture)
{
    make_query_route(4);
    require_coverage(1.0);
    lose_for_long("s0");
    send_request("/q/x", milliseconds{200});
    BOOST_TEST(take<send_to_leaf>().empty());
    const auto answer = only_answer();
    BOOST_TEST((answer.kind == answer_kind::not_run));
    BOOST_TEST((answer.retry_after > milliseconds{100}));
    BOOST_TEST((answer.retry_after <= milliseconds{2500}));
}

BOOST_FIXTURE_TEST_CASE(a_request_without_a_reachable_leaf_is_refused_at_once,
                        unreachable_fixture)
{
    make_single_route(true, 2);
    lose_for_long("one");
    send_request("/s/x", milliseconds{200});
    BOOST_TEST((only_answer().kind == answer_kind::not_run));
}

// A leaf that was published anew is not judged by the connects to the old one.
BOOST_FIXTURE_TEST_CASE(restarted_leafs_are_reachable_again,
                        unreachable_fixture)
{
    make_query_route(4);
    lose_for_long("s0");
    publish_restarted("s0-a", "s0");
    send_request("/q/x");
    reply_to_all();
    BOOST_TEST(take<answer_request>().empty());
    connect_requested();
    reply_to_all();
    BOOST_TEST(only_answer().missing_shards == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_restarted_leaf_is_not_paced, unreachable_fixture)
{
    make_single_route(true, 1);
    auto& paced = state.pool.leafs.at("one-0");
    paced.limit.limit = limits::min_paced_concurrency;
    paced.limit.paced_until = clock.now() + seconds{1};
    publish_restarted("one-0", "one");
    BOOST_TEST(paced.limit.limit == 3.0); // its slots
    send_request("/s/x");
    connect_requested();
    only_sent();
}

} // namespace bulrushspring::gateway::test
