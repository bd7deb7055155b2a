#include "libraries/topology/topology.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::topology;

namespace
{

struct fixture {
    manual_clock clock;
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;
    outcome result;
    topology::state state = make_state({}, 1, clock.now());

    fixture() { set_role(state, store_role::leader, clock.now()); }

    template <typename Event>
    void feed(const Event& what)
    {
        context context{clock.now(), effects, last_identifier};
        reduce(state, what, result, context);
    }

    static learned_record leaf(const std::string& id, std::uint64_t revision,
                               bool removed = false)
    {
        routing::leaf made;
        made.id = id;
        return {{"leaf/" + id, revision, removed, id}, made};
    }

    static learned_record table(std::uint64_t version, std::uint64_t revision)
    {
        auto made = std::make_shared<routing::table>();
        made->version = version;
        return {{"table", revision, false, ""}, routing::table_pointer(made)};
    }

    void learn(std::uint64_t revision, bool whole,
               std::vector<learned_record> records,
               const std::string& source = "store")
    {
        feed(records_learned{source, revision, whole, std::move(records)});
    }

    template <typename Change>
    std::vector<Change> take()
    {
        std::vector<Change> taken;
        for (const auto& each : result.changes) {
            if (const auto* found = std::get_if<Change>(&each)) {
                taken.push_back(*found);
            }
        }
        result.changes.clear();
        return taken;
    }

    std::vector<store_call> calls()
    {
        feed(tick{});
        return std::exchange(result.calls, {});
    }

    void show(std::uint64_t revision)
    {
        wire::ping ping;
        ping.from.peer = parse_endpoint("127.0.0.1:7002").value();
        ping.in_force.manifest_version = revision;
        feed(datagram_received{ping.from.peer, ping});
    }

    std::size_t asks()
    {
        const auto count =
            std::count_if(effects.begin(), effects.end(), [](const auto& each) {
                return std::holds_alternative<ask_peer>(each);
            });
        effects.clear();
        return static_cast<std::size_t>(count);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(all_is_read_once_and_then_watched, fixture)
{
    auto made = calls();
    BOOST_REQUIRE_EQUAL(made.size(), 1U);
    BOOST_TEST(std::holds_alternative<read_all>(made[0]));
    learn(5, true, {leaf("a", 3)});
    clock.advance(seconds{1});
    made = calls();
    BOOST_REQUIRE_EQUAL(made.size(), 1U);
    BOOST_TEST(std::get<watch_changes>(made[0]).after == 5U);
}

BOOST_FIXTURE_TEST_CASE(nothing_goes_back_whatever_order_news_comes_in, fixture)
{
    learn(9, false, {table(7, 9), leaf("a", 8)});
    BOOST_TEST(take<table_changed>().size() == 1U);
    learn(6, false, {table(5, 6), leaf("a", 4, true)}, "peer");
    BOOST_TEST(result.changes.empty());
    // A higher revision with an older version is refused too.
    learn(12, false, {table(6, 12)});
    BOOST_TEST(result.changes.empty());
    BOOST_TEST(state.table->version == 7U);
    BOOST_TEST(digest_of(state).manifest_version == 12U);
}

BOOST_FIXTURE_TEST_CASE(a_listing_removes_what_it_does_not_name, fixture)
{
    learn(5, true, {leaf("a", 3), leaf("b", 4)});
    take<leaf_changed>();
    learn(9, true, {leaf("b", 4), leaf("c", 8)});
    const auto changes = std::exchange(result.changes, {});
    BOOST_REQUIRE_EQUAL(changes.size(), 2U);
    BOOST_TEST(std::get<leaf_changed>(changes[0]).now.id == "c");
    BOOST_TEST(std::get<leaf_gone>(changes[1]).id == "a");
    // Older news of the removed one does not bring it back.
    learn(4, false, {leaf("a", 3)}, "peer");
    BOOST_TEST(result.changes.empty());
}

BOOST_FIXTURE_TEST_CASE(a_lost_history_is_read_anew, fixture)
{
    calls();
    learn(5, true, {leaf("a", 3)});
    clock.advance(seconds{1});
    calls();
    feed(store_failed{error{}, true});
    const auto made = calls();
    BOOST_REQUIRE_EQUAL(made.size(), 1U);
    BOOST_TEST(std::holds_alternative<read_all>(made[0]));
}

BOOST_FIXTURE_TEST_CASE(unreadable_content_removes_a_leaf_but_no_table, fixture)
{
    learn(3, true, {leaf("a", 1), table(1, 2)});
    take<leaf_changed>();
    learn(5, false,
          {{{"leaf/a", 4, false, "?"}, unreadable{"not JSON"}},
           {{"table", 5, false, "?"}, unreadable{"not JSON"}}});
    BOOST_TEST(take<leaf_gone>().size() == 1U);
    BOOST_TEST(state.table->version == 1U);
}

BOOST_FIXTURE_TEST_CASE(failed_calls_are_repeated_with_growing_pauses, fixture)
{
    duration last{0};
    for (int i = 0; i < 6; ++i) {
        BOOST_REQUIRE_EQUAL(calls().size(), 1U);
        feed(store_failed{error{}});
        const auto wait = next_wakeup(state) - clock.now();
        BOOST_TEST(wait.count() > 0);
        BOOST_TEST((wait <= state.settings.most_backoff));
        last = wait;
        clock.advance(wait);
    }
    BOOST_TEST((last >= state.settings.most_backoff / 2));
    BOOST_TEST(!fresh(state, clock.now()));
}

BOOST_FIXTURE_TEST_CASE(what_only_a_peer_knows_is_fetched_from_it, fixture)
{
    learn(5, true, {});
    show(9);
    feed(tick{});
    BOOST_TEST(asks() == 0U); // the store may still tell
    clock.advance(state.settings.peer_advantage);
    feed(tick{});
    BOOST_TEST(asks() == 1U);
    learn(9, false, {leaf("a", 9)}, "peer");
    BOOST_TEST(take<leaf_changed>().size() == 1U);
    clock.advance(seconds{1});
    feed(tick{});
    BOOST_TEST(asks() == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_peer_that_does_not_answer_is_replaced, fixture)
{
    learn(5, true, {});
    show(9);
    clock.advance(seconds{1});
    feed(tick{});
    BOOST_REQUIRE(state.asking);
    feed(peer_replied{*state.asking, error{errc::timed_out, "", "", ""}});
    effects.clear();
    show(9);
    clock.advance(seconds{1});
    feed(tick{});
    BOOST_TEST(asks() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_peer_is_told_just_what_it_misses, fixture)
{
    learn(9, true, {leaf("a", 3), leaf("b", 8), table(1, 2)});
    learn(10, false, {leaf("a", 10, true)});
    effects.clear();
    feed(peer_asked{peer_token{1}, {}, wire::records_request{7}});
    const auto reply = std::get<wire::records_reply>(
        std::get<reply_to_peer>(effects.back()).reply);
    BOOST_TEST(reply.revision == 10U);
    BOOST_TEST(!reply.whole);
    BOOST_REQUIRE_EQUAL(reply.records.size(), 2U);
    BOOST_TEST(reply.records[0].removed);
    BOOST_TEST(reply.records[1].key == "leaf/b");
    // One that knows nothing, or too little, gets all that there is.
    feed(peer_asked{peer_token{2}, {}, wire::records_request{0}});
    const auto all = std::get<wire::records_reply>(
        std::get<reply_to_peer>(effects.back()).reply);
    BOOST_TEST(all.whole);
    BOOST_TEST(all.records.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(others_leave_the_reading_to_readers, fixture)
{
    set_role(state, store_role::none, clock.now());
    BOOST_TEST(calls().empty());
    show(4);
    clock.advance(state.settings.peer_advantage_of_others);
    feed(tick{});
    BOOST_TEST(asks() == 1U);
}

// A change that peers pass on must not cost a call of each reader; one that
// they don't must still be noticed in time.
BOOST_FIXTURE_TEST_CASE(a_follower_reads_less_often_than_a_leader, fixture)
{
    const auto calls_in = [&](duration span) {
        std::size_t count = 0;
        for (duration left = span; left > duration{0};
             left -= milliseconds{10}) {
            clock.advance(milliseconds{10});
            feed(tick{});
            const auto made = calls().size();
            count += made;
            result.calls.clear();
            if (made > 0) {
                learn(state.revision + 1, false, {});
            }
        }
        return count;
    };
    learn(9, true, {});
    const auto by_leader = calls_in(seconds{6});
    set_role(state, store_role::follower, clock.now());
    const auto by_follower = calls_in(seconds{6});
    BOOST_TEST(by_follower * 3 < by_leader);
    BOOST_TEST(by_follower >= 5U);
    // Promoted, it does not wait for the rest of its pause.
    set_role(state, store_role::leader, clock.now());
    BOOST_TEST(calls_in(milliseconds{200}) >= 1U);
}

BOOST_FIXTURE_TEST_CASE(a_review_does_not_cut_a_backoff_short, fixture)
{
    learn(9, true, {});
    for (int i = 0; i < 10; ++i) {
        clock.advance(seconds{3});
        feed(tick{});
        feed(store_failed{error{errc::closed, "read", "store", ""}, false});
    }
    result.calls.clear();
    const auto due = state.call_at;
    BOOST_TEST((due > clock.now() + milliseconds{500}));
    set_role(state, store_role::leader, clock.now());
    set_role(state, store_role::follower, clock.now());
    set_role(state, store_role::leader, clock.now());
    BOOST_TEST((state.call_at == due));
}

// A call that the store swallowed must not keep a reader from the changes
// that follow: what waits is given up within the time that a change may take.
BOOST_FIXTURE_TEST_CASE(a_waiting_call_is_short_enough_to_be_lost, fixture)
{
    constexpr milliseconds change_may_take{3000};
    const auto wait_of = [&](store_role role) {
        set_role(state, role, clock.now());
        learn(state.revision + 1, false, {});
        result.calls.clear();
        clock.advance(seconds{2});
        feed(tick{});
        const auto made = calls();
        BOOST_REQUIRE_EQUAL(made.size(), 1U);
        return std::get<watch_changes>(made[0]).wait;
    };
    learn(9, true, {});
    BOOST_TEST((wait_of(store_role::leader) <= change_may_take / 3));
    // Followers wait longer: there are several, and each call is paid for.
    BOOST_TEST((wait_of(store_role::follower) > change_may_take / 3));
    BOOST_TEST((wait_of(store_role::follower) <= 2 * change_may_take));
}

// A start takes a cheap answer, that may be old, and watches from there. With
// the history gone an old answer could not be gone on from.
BOOST_FIXTURE_TEST_CASE(a_start_takes_a_stale_listing, fixture)
{
    auto made = calls();
    BOOST_REQUIRE_EQUAL(made.size(), 1U);
    BOOST_TEST(std::get<read_all>(made[0]).may_be_stale);
    learn(9, true, {leaf("a", 11)}); // a page was newer than another
    clock.advance(seconds{1});
    made = calls();
    BOOST_REQUIRE_EQUAL(made.size(), 1U);
    BOOST_TEST(std::get<watch_changes>(made[0]).after == 9U);
    feed(store_failed{error{errc::closed, "read", "store", ""}, true});
    made = calls();
    BOOST_REQUIRE_EQUAL(made.size(), 1U);
    BOOST_TEST(!std::get<read_all>(made[0]).may_be_stale);
}
