#include "tests/gateway/bench.hpp"

namespace bulrushspring::gateway::test
{

namespace
{

std::string record(char letter)
{
    return std::string(16, letter);
}

} // namespace

BOOST_FIXTURE_TEST_CASE(a_query_asks_one_leaf_of_each_shard_and_merges, bench)
{
    make_query_route(3);
    ask("/q/x");
    const auto sent = take<send_to_leaf>();
    BOOST_REQUIRE_EQUAL(sent.size(), 3U);
    reply(sent[0], record('b') + "rest");
    reply(sent[1], record('c') + record('a'));
    BOOST_TEST(take<answer_forward>().empty());
    reply(sent[2], record('c'));
    const auto answer = only_answer();
    BOOST_TEST((answer.what == verdict::merged));
    BOOST_TEST(answer.missing == 0U);
    BOOST_TEST(answer.seals.size() == 3U);
    BOOST_TEST(answer.body == record('c') + record('c'));
}

BOOST_FIXTURE_TEST_CASE(a_silent_leaf_is_overtaken_by_another, bench)
{
    make_query_route(2);
    ask("/q/x");
    const auto sent = take<send_to_leaf>();
    reply(sent[0], record('a'));
    pass(milliseconds{60});
    const auto second = take<send_to_leaf>();
    BOOST_REQUIRE_EQUAL(second.size(), 1U);
    BOOST_TEST(second[0].leaf != sent[1].leaf);
    BOOST_TEST((second[0].time_left < sent[1].time_left));
    reply(second[0], record('b'));
    BOOST_TEST(only_answer().missing == 0U);
    // The loser's late answer reaches nobody and its connection is kept.
    reply(sent[1], record('z'));
    BOOST_TEST(take<answer_forward>().empty());
    BOOST_TEST(take<close_leaf>().empty());
}

BOOST_FIXTURE_TEST_CASE(no_shard_is_sent_to_more_leafs_than_allowed, bench)
{
    make_query_route(1);
    publish(leaf("s0-c", "s0"));
    open_all();
    ask("/q/x");
    pass(milliseconds{500});
    BOOST_TEST(take<send_to_leaf>().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(enough_shards_are_answered_before_the_objective, bench)
{
    make_query_route(2);
    table->routes[0].most_leafs = 1;
    ++table->version;
    publish_table();
    ask("/q/x");
    const auto sent = take<send_to_leaf>();
    reply(sent[0], record('a'));
    pass(milliseconds{119});
    const auto answer = only_answer();
    BOOST_TEST((answer.what == verdict::merged));
    BOOST_TEST(answer.missing == 1U);
    BOOST_TEST(answer.seals.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(too_few_shards_are_no_success, bench)
{
    make_query_route(3);
    ask("/q/x", milliseconds{300});
    const auto sent = take<send_to_leaf>();
    reply(sent[0], record('a'));
    pass(milliseconds{400});
    BOOST_TEST((only_answer().what == verdict::timed_out));
}

BOOST_FIXTURE_TEST_CASE(parts_come_from_the_shards_of_one_table, bench)
{
    make_query_route(2);
    ask("/q/x");
    const auto sent = take<send_to_leaf>();
    // The index is cut anew while the query runs.
    table->routes[0].shards = {"n0", "n1", "n2"};
    ++table->version;
    publish_table();
    reply(sent[0], record('a'));
    reply(sent[1], record('b'));
    const auto answer = only_answer();
    BOOST_TEST(answer.seals.size() == 2U);
    BOOST_TEST(answer.missing == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_shard_that_refused_is_asked_again_within_budget,
                        bench_with_two_extra)
{
    make_query_route(1);
    ask("/q/x");
    int sendings = 0;
    for (int i = 0; i < 20; ++i) {
        for (const auto& each : take<send_to_leaf>()) {
            ++sendings;
            refuse(each);
        }
        pass(milliseconds{20});
    }
    BOOST_TEST(sendings == 3); // the first, and two extra ones
    // No leaf has run it: the refusal says so, and when to come back.
    const auto answer = only_answer();
    BOOST_TEST((answer.what == verdict::not_run));
    BOOST_TEST(answer.retry_after.count() > 0);
}

// A leaf that is full is left with one request of this daemon at a time, so
// that what it takes is answered in time.
BOOST_FIXTURE_TEST_CASE(a_full_leaf_is_left_alone, bench)
{
    make_single_route(true, 1);
    for (int i = 0; i < 10; ++i) {
        ask("/s/x", milliseconds{50});
        for (int turn = 0; turn < 10; ++turn) {
            for (const auto& each : take<send_to_leaf>()) {
                refuse(each);
            }
            pass(milliseconds{10});
        }
    }
    effects.clear();
    for (int i = 0; i < 5; ++i) {
        ask("/s/x");
    }
    pass(milliseconds{20});
    const auto sent = take<send_to_leaf>();
    BOOST_REQUIRE_EQUAL(sent.size(), 1U);
    reply(sent[0], "done");
    pass(milliseconds{20});
    BOOST_TEST(take<send_to_leaf>().size() >= 1U);
}

BOOST_FIXTURE_TEST_CASE(without_budget_nothing_is_sent_twice,
                        bench_without_budget)
{
    make_query_route(4);
    ask("/q/x");
    BOOST_TEST(take<send_to_leaf>().size() == 4U);
    pass(milliseconds{500});
    BOOST_TEST(take<send_to_leaf>().empty());
}

BOOST_FIXTURE_TEST_CASE(a_leaf_that_was_silent_is_chosen_less, bench)
{
    make_query_route(1);
    ask("/q/x");
    const auto first = take<send_to_leaf>();
    pass(milliseconds{60});
    const auto second = take<send_to_leaf>();
    BOOST_REQUIRE_EQUAL(second.size(), 1U);
    reply(second[0], record('a'));
    ask("/q/x");
    const auto next = take<send_to_leaf>();
    BOOST_REQUIRE_EQUAL(next.size(), 1U);
    BOOST_TEST(next[0].leaf == second[0].leaf);
}

// A new set of shards is used once its leafs are reached, and no later than
// the time kept for that.
BOOST_FIXTURE_TEST_CASE(a_new_set_of_shards_waits_for_its_connections, bench)
{
    make_query_route(1);
    publish(leaf("n0-a", "n0"));
    table->services["n0"] = {"n0", "/health", 100};
    table->routes[0].shards = {"n0"};
    ++table->version;
    publish_table();
    ask("/q/x");
    BOOST_TEST(take<send_to_leaf>().at(0).leaf.substr(0, 2) == "s0");
    pass(milliseconds{60});
    const auto opened = take<open_leaf>();
    BOOST_REQUIRE_EQUAL(opened.size(), 1U);
    feed(leaf_connected{opened[0].connection});
    pass(milliseconds{60});
    effects.clear();
    ask("/q/x");
    BOOST_TEST(take<send_to_leaf>().at(0).leaf == "n0-a");
}

BOOST_FIXTURE_TEST_CASE(a_new_set_of_shards_does_not_wait_for_ever, bench)
{
    make_query_route(1);
    publish(leaf("n0-a", "n0"));
    table->services["n0"] = {"n0", "/health", 100};
    table->routes[0].shards = {"n0"};
    ++table->version;
    publish_table();
    pass(settings.table_patience + milliseconds{60});
    BOOST_TEST(state.table->version == table->version);
}

// A second leaf that can't be reached is tried with pauses, and what never
// left costs nothing of the budget.
BOOST_FIXTURE_TEST_CASE(a_leaf_that_is_not_reached_costs_no_budget,
                        bench_with_two_extra)
{
    make_query_route(1);
    const auto silent = ask("/q/x");
    const auto first = take<send_to_leaf>();
    BOOST_REQUIRE_EQUAL(first.size(), 1U);
    // The other leaf's connection ends, and no new one opens.
    for (const auto& [id, connection] : state.pool.connections) {
        if (connection.leaf != first[0].leaf) {
            feed(leaf_disconnected{connection_id{id}, error{}});
            break;
        }
    }
    std::size_t tries = 0;
    for (int i = 0; i < 70; ++i) {
        pass(milliseconds{1});
        for (const auto& each : take<open_leaf>()) {
            ++tries;
            feed(leaf_disconnected{each.connection, error{}});
        }
    }
    BOOST_TEST(tries <= 4U);
    BOOST_TEST(limits::left(state.exchanges.budgets["s0"],
                            state.exchanges.settings.budget,
                            clock.now()) >= 2.0);
    feed(caller_left{silent});
}

} // namespace bulrushspring::gateway::test
