#include "tests/gateway/bench.hpp"

namespace bulrushspring::gateway::test
{

BOOST_FIXTURE_TEST_CASE(a_leafs_answer_is_passed_on_unchanged, bench)
{
    make_single_route(true, 2);
    ask("/s/x?y=1");
    const auto sent = take<send_to_leaf>();
    BOOST_REQUIRE_EQUAL(sent.size(), 1U);
    BOOST_TEST(sent[0].request->target == "/s/x?y=1");
    reply(sent[0], "body");
    const auto answer = only_answer();
    BOOST_TEST((answer.what == verdict::relayed));
    BOOST_TEST(answer.reply.body == "body");
    BOOST_TEST(answer.reply.seal == "seal-" + sent[0].leaf);
}

BOOST_FIXTURE_TEST_CASE(what_may_have_run_is_not_sent_again, bench)
{
    make_single_route(false, 3);
    ask("/s/x");
    const auto sent = take<send_to_leaf>();
    BOOST_REQUIRE_EQUAL(sent.size(), 1U);
    break_off(sent[0]);
    pass(seconds{1});
    BOOST_TEST(take<send_to_leaf>().empty());
    BOOST_TEST((only_answer().what == verdict::failed));
}

BOOST_FIXTURE_TEST_CASE(a_silent_leaf_is_not_overtaken_if_not_idempotent, bench)
{
    make_single_route(false, 3);
    ask("/s/x", milliseconds{600});
    BOOST_TEST(take<send_to_leaf>().size() == 1U);
    pass(milliseconds{700});
    BOOST_TEST(take<send_to_leaf>().empty());
    BOOST_TEST((only_answer().what == verdict::timed_out));
}

BOOST_FIXTURE_TEST_CASE(what_a_leaf_has_not_run_goes_to_another, bench)
{
    make_single_route(false, 3);
    ask("/s/x");
    const auto first = take<send_to_leaf>();
    refuse(first[0]);
    const auto second = take<send_to_leaf>();
    BOOST_REQUIRE_EQUAL(second.size(), 1U);
    BOOST_TEST(second[0].leaf != first[0].leaf);
    reply(second[0], "done");
    BOOST_TEST((only_answer().what == verdict::relayed));
}

BOOST_FIXTURE_TEST_CASE(a_misdirected_leaf_is_not_asked_again, bench)
{
    make_single_route(false, 2);
    ask("/s/x");
    const auto first = take<send_to_leaf>();
    refuse(first[0], 421);
    const auto second = take<send_to_leaf>();
    BOOST_REQUIRE_EQUAL(second.size(), 1U);
    reply(second[0], "done");
    for (int i = 0; i < 5; ++i) {
        ask("/s/x");
        const auto next = take<send_to_leaf>();
        BOOST_REQUIRE_EQUAL(next.size(), 1U);
        BOOST_TEST(next[0].leaf == second[0].leaf);
        reply(next[0], "done");
    }
}

BOOST_FIXTURE_TEST_CASE(a_connection_that_never_opened_costs_no_budget,
                        bench_without_budget)
{
    make_single_route(false, 1);
    // Its only connection ends while idle.
    const auto connection = state.pool.connections.begin()->first;
    feed(leaf_disconnected{connection_id{connection}, error{}});
    publish(leaf("one-9", "one"));
    ask("/s/x");
    const auto opened = take<open_leaf>();
    BOOST_REQUIRE(!opened.empty());
    feed(leaf_disconnected{opened[0].connection, error{}});
    pass(milliseconds{70}); // both leafs are left alone for a moment
    const auto again = take<open_leaf>();
    BOOST_REQUIRE(!again.empty());
    for (const auto& each : again) {
        feed(leaf_connected{each.connection});
    }
    pass(milliseconds{20});
    BOOST_TEST(take<send_to_leaf>().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(without_leafs_the_refusal_says_not_run, bench)
{
    make_single_route(false, 0);
    ask("/s/x", milliseconds{300});
    pass(milliseconds{400});
    const auto answer = only_answer();
    BOOST_TEST((answer.what == verdict::not_run));
}

BOOST_FIXTURE_TEST_CASE(a_failure_of_the_leafs_own_is_passed_on_at_last, bench)
{
    make_single_route(true, 3);
    ask("/s/x");
    for (int i = 0; i < 2; ++i) {
        const auto sent = take<send_to_leaf>();
        BOOST_REQUIRE_EQUAL(sent.size(), 1U);
        leaf_reply answer;
        answer.status = 500;
        answer.seal = "seal";
        feed(leaf_replied{sent[0].connection, answer, true});
    }
    const auto answer = only_answer();
    BOOST_TEST((answer.what == verdict::relayed));
    BOOST_TEST(answer.reply.status == 500U);
}

BOOST_FIXTURE_TEST_CASE(a_success_without_a_signature_is_none, bench)
{
    make_single_route(false, 2);
    ask("/s/x");
    const auto sent = take<send_to_leaf>();
    leaf_reply answer;
    answer.status = 200;
    feed(leaf_replied{sent[0].connection, answer, true});
    BOOST_TEST((only_answer().what == verdict::failed));
}

BOOST_FIXTURE_TEST_CASE(leafs_stop_working_for_a_caller_that_left, bench)
{
    make_single_route(true, 2);
    const auto token = ask("/s/x");
    const auto sent = take<send_to_leaf>();
    feed(caller_left{token});
    pass(milliseconds{450});
    const auto closed = take<close_leaf>();
    BOOST_REQUIRE(!closed.empty());
    BOOST_TEST(raw(closed[0].connection) == raw(sent[0].connection));
    BOOST_TEST(take<answer_forward>().empty());
}

BOOST_FIXTURE_TEST_CASE(a_draining_leaf_gets_nothing_new, bench)
{
    make_single_route(true, 2);
    auto draining = leaf("one-0", "one");
    draining.draining = true;
    publish(draining);
    for (int i = 0; i < 5; ++i) {
        ask("/s/x");
        const auto sent = take<send_to_leaf>();
        BOOST_REQUIRE_EQUAL(sent.size(), 1U);
        BOOST_TEST(sent[0].leaf == "one-1");
        reply(sent[0], "done");
    }
}

BOOST_FIXTURE_TEST_CASE(a_leaf_that_lapsed_is_a_last_resort_for_a_while, bench)
{
    make_single_route(true, 2);
    publish(leaf("one-0", "one"), true);
    publish(leaf("one-1", "one"), true);
    ask("/s/x");
    const auto sent = take<send_to_leaf>();
    BOOST_REQUIRE_EQUAL(sent.size(), 1U);
    reply(sent[0], "done");
    only_answer();
    pass(seconds{3}, milliseconds{50});
    ask("/s/x", milliseconds{200});
    BOOST_TEST(take<send_to_leaf>().empty());
}

BOOST_FIXTURE_TEST_CASE(routes_that_are_not_known_are_told_apart, bench)
{
    ask("/s/x");
    BOOST_TEST((only_answer().what == verdict::not_run)); // no table yet
    make_single_route(true, 1);
    feed(tick{});
    ask("/other/x");
    BOOST_TEST((only_answer().what == verdict::no_route));
    // With the store silent, a route may exist that is not known here.
    feed(topology::store_failed{error{errc::timed_out, "call", "store", ""}});
    ask("/other/x");
    BOOST_TEST((only_answer().what == verdict::not_run));
}

BOOST_FIXTURE_TEST_CASE(a_planned_stop_serves_to_the_end, bench)
{
    make_single_route(true, 1);
    ask("/s/x");
    const auto sent = take<send_to_leaf>();
    feed(stop_requested{});
    BOOST_TEST(!accepts_callers(state));
    pass(seconds{1}, milliseconds{10});
    reply(sent[0], "late");
    BOOST_TEST((only_answer().what == verdict::relayed));
    // Callers that have not heard of the stop are served.
    pass(seconds{2}, milliseconds{10});
    ask("/s/x");
    const auto next = take<send_to_leaf>();
    BOOST_REQUIRE_EQUAL(next.size(), 1U);
    pass(milliseconds{1500}, milliseconds{10});
    BOOST_TEST(!state.stopped);
    reply(next[0], "last");
    BOOST_TEST((only_answer().what == verdict::relayed));
    BOOST_TEST(state.stopped);
}

// Seeds and the limits of the site may change while the daemon runs.
BOOST_FIXTURE_TEST_CASE(changed_settings_are_in_force_at_once, bench)
{
    auto changed = settings;
    changed.budget_slack = 40;
    changed.capacity = 500;
    const auto seed = parse_endpoint("127.0.0.1:7009").value();
    feed(settings_changed{std::make_shared<const options>(changed), {seed}});
    BOOST_TEST(state.exchanges.settings.budget.slack == 20.0); // of two daemons
    BOOST_REQUIRE_EQUAL(state.members.seeds.size(), 1U);
    BOOST_TEST((state.members.seeds[0] == seed));
    BOOST_TEST(membership::self_of(state.members).capacity == 500U);
}

// A start lists the store, and leaves the watching to readers for a while: at
// a cold start hundreds of daemons would watch at once.
BOOST_AUTO_TEST_CASE(a_start_does_not_watch_before_it_looked_for_peers)
{
    manual_clock clock;
    std::vector<effect> effects;
    std::vector<bulrushspring::effect> shared;
    std::uint64_t last = 0;
    wire::member_record self;
    self.name = "entry-1";
    self.life = 1;
    auto state = gateway::make_state(self, {}, {}, clock.now());
    const auto feed = [&](const any_event& what) {
        bulrushspring::context shared_context{clock.now(), shared, last};
        gateway::context context{clock.now(), effects, shared_context};
        gateway::reduce(state, what, context);
    };
    const auto calls = [&] {
        std::size_t lists = 0;
        std::size_t watches = 0;
        for (const auto& each : std::exchange(effects, {})) {
            if (const auto* call = std::get_if<call_store>(&each)) {
                const bool all =
                    std::holds_alternative<topology::read_all>(call->call);
                (all ? lists : watches) += 1;
            }
        }
        return std::pair(lists, watches);
    };
    const auto pass = [&](duration span) {
        for (duration left = span; left > duration{0};
             left -= milliseconds{10}) {
            clock.advance(milliseconds{10});
            feed(tick{});
        }
    };
    feed(tick{});
    BOOST_TEST((calls() == std::pair<std::size_t, std::size_t>(1, 0)));
    topology::records_learned listing;
    listing.source = "store";
    listing.revision = 5;
    listing.whole = true;
    feed(listing);
    pass(milliseconds{900});
    BOOST_TEST((calls() == std::pair<std::size_t, std::size_t>(0, 0)));
    // It may be alone.
    pass(milliseconds{500});
    BOOST_TEST((calls() == std::pair<std::size_t, std::size_t>(0, 1)));
}

} // namespace bulrushspring::gateway::test
