#include "libraries/wire/frame.hpp"
#include "tests/topology/topology_fixture.hpp"

#include <set>

using namespace bulrushspring;
using namespace bulrushspring::topology;
using namespace bulrushspring::topology::test;

namespace
{

constexpr std::uint64_t second(std::uint64_t store_revision)
{
    return revision_in_era(2, store_revision);
}

// A daemon that keeps table 9 although the store was restored to table 7.
struct keeping_fixture : fixture {
    keeping_fixture()
    {
        receive_records(20, true, {leaf("a", 3), table(9, 19)});
        receive_records(second(10), true,
                        {leaf("a", second(3)), table(7, second(8))});
        result = {};
    }

    // Lets a daemon list the store as it is after the restore.
    static void list_store(fixture& started)
    {
        started.receive_records(second(10), true,
                                {leaf("a", second(3)), table(7, second(8))});
        started.result = {};
    }
};

} // namespace

// Review case 5: a daemon that had listed the restored store had the same
// revision as its peers, and neither asked for nor was given their newer table.
BOOST_FIXTURE_TEST_CASE(a_started_daemon_gets_the_newer_table_of_a_peer,
                        keeping_fixture)
{
    starting_fixture started;
    list_store(started);
    BOOST_TEST(started.state.table->version == 7U);
    BOOST_TEST(!has_asked_peer(started.state));
    started.hear(*this);
    BOOST_TEST(has_asked_peer(started.state));
    BOOST_TEST(started.state.table->version == 9U);
    // It passes the table on, and does not go back.
    list_store(started);
    BOOST_TEST(started.state.table->version == 9U);
    starting_fixture next;
    list_store(next);
    next.hear(started);
    BOOST_TEST(next.state.table->version == 9U);
}

// Any daemon fetches a newer table that a peer states, at any time.
BOOST_FIXTURE_TEST_CASE(a_newer_table_is_fetched_whatever_the_revisions,
                        keeping_fixture)
{
    starting_fixture other;
    list_store(other);
    starting_fixture starting;
    list_store(starting);
    other.hear(starting, false);
    BOOST_TEST(!has_asked_peer(other.state)); // no peer serves callers yet
    other.receive_records(second(15), false, {});
    // The peer does not serve callers, so that it is not asked as the first.
    BOOST_TEST(other.hear(*this, false) == 1U);
    BOOST_TEST(other.state.table->version == 9U);
    BOOST_TEST(other.state.revision == second(15));
    BOOST_TEST(other.hear(*this, false) == 0U);
}

// The peer may not have noticed yet that the store was restored.
BOOST_FIXTURE_TEST_CASE(a_newer_table_of_an_earlier_era_is_used, fixture)
{
    receive_records(20, true, {leaf("a", 3), leaf("b", 4), table(9, 19)});
    starting_fixture started;
    keeping_fixture::list_store(started);
    started.hear(*this);
    BOOST_TEST(started.state.table->version == 9U);
    BOOST_TEST(has_asked_peer(started.state));
    // Nothing else of that era is.
    BOOST_TEST(started.state.leafs.size() == 1U);
    BOOST_TEST(started.state.revision == second(10));
}

// A peer of a later version may use a table that can't be read here.
BOOST_FIXTURE_TEST_CASE(a_table_that_is_not_delivered_is_not_asked_for_at_once,
                        keeping_fixture)
{
    fixture other;
    list_store(other);
    other.hear(*this);
    auto later = digest_of(state, true);
    later.vms_revision = 12;
    const auto receive = [&] {
        wire::ping ping;
        ping.in_force = later;
        other.apply(datagram_received{{}, ping});
        other.clock.advance(seconds{1});
        other.apply(tick{});
        const auto asked = other.take_peer_request();
        if (asked) {
            other.answer_from(*this, *asked);
        }
        return asked.has_value();
    };
    BOOST_TEST(receive());
    BOOST_TEST(!receive());
    other.clock.advance(other.state.settings.table_retry);
    BOOST_TEST(receive());
}

BOOST_FIXTURE_TEST_CASE(a_started_daemon_asks_after_its_listing, fixture)
{
    receive_records(20, true, {leaf("a", 3), table(9, 19)});
    starting_fixture started;
    wire::ping ping;
    ping.in_force = digest_of(state, true);
    started.apply(datagram_received{{}, ping});
    started.apply(tick{});
    BOOST_TEST(!started.take_peer_request());
    // The listing need not be sent again.
    started.receive_records(20, true, {leaf("a", 3), table(9, 19)});
    started.apply(tick{});
    const auto asked = started.take_peer_request();
    BOOST_REQUIRE(asked);
    const auto& request =
        std::get<wire::record_changes_request>(asked->request);
    BOOST_TEST(request.after == 20U);
    BOOST_TEST(request.kept);
    // A store that takes too long is not waited for.
    starting_fixture waiting;
    waiting.apply(datagram_received{{}, ping});
    waiting.clock.advance(waiting.state.settings.first_list_wait);
    waiting.apply(tick{});
    BOOST_TEST(waiting.take_peer_request().has_value());
}

// The store lists a record that can't be read; peers know its last content.
BOOST_FIXTURE_TEST_CASE(a_started_daemon_gets_content_that_is_kept, fixture)
{
    receive_records(5, true, {leaf("a", 3), table(1, 4)});
    receive_records(6, false, {unreadable_leaf("a", 6)});
    starting_fixture started;
    started.receive_records(6, true, {unreadable_leaf("a", 6), table(1, 4)});
    BOOST_TEST(started.state.leafs.empty());
    started.hear(*this);
    BOOST_TEST(started.state.leafs.size() == 1U);
    // It gives the content to others in turn.
    starting_fixture next;
    next.receive_records(6, true, {unreadable_leaf("a", 6), table(1, 4)});
    next.hear(started);
    BOOST_TEST(next.state.leafs.size() == 1U);
}

// Guards against a leaf that is used although the store has removed it, because
// a peer has not heard of the removal.
BOOST_FIXTURE_TEST_CASE(a_peer_that_lags_brings_back_no_removed_leaf, fixture)
{
    receive_records(5, true, {leaf("a", 3), leaf("b", 4), table(1, 2)});
    for (const bool old : {false, true}) {
        starting_fixture started;
        started.receive_records(9, true, {leaf("a", 3), table(1, 2)});
        started.hear(*this, true, old);
        BOOST_TEST(has_asked_peer(started.state));
        BOOST_TEST(started.state.leafs.size() == 1U);
        BOOST_TEST(started.state.revision == 9U);
    }
}

// A listing without the table takes it neither out of use nor from peers.
BOOST_FIXTURE_TEST_CASE(a_table_that_the_store_has_lost_is_given_to_peers,
                        fixture)
{
    receive_records(20, true, {leaf("a", 3), table(9, 19)});
    receive_records(second(10), true, {leaf("a", second(3))});
    clock.advance(state.settings.restore_grace);
    apply(tick{});
    starting_fixture started;
    started.receive_records(second(10), true, {leaf("a", second(3))});
    started.hear(*this);
    BOOST_REQUIRE(started.state.table);
    BOOST_TEST(started.state.table->version == 9U);
}

BOOST_FIXTURE_TEST_CASE(a_complete_list_is_sent_in_pieces, fixture)
{
    std::vector<learned_record> records;
    for (std::uint64_t i = 1; i <= 60; ++i) {
        records.push_back(large_leaf(std::to_string(i), i + 5, 100UL * 1024));
    }
    receive_records(70, true, std::move(records));
    fixture peer;
    peer.receive_records(5, true, {leaf("gone", 4)});
    peer.hear(*this);
    BOOST_TEST(peer.state.leafs.size() == 60U);
    BOOST_TEST(peer.state.revision == 70U);
    // A failure between pieces leaves nothing behind.
    fixture other;
    other.receive_records(5, true, {leaf("gone", 4)});
    wire::ping ping;
    ping.in_force = digest_of(state, false);
    other.apply(datagram_received{{}, ping});
    other.clock.advance(seconds{1});
    other.apply(tick{});
    other.answer_from(*this, *other.take_peer_request());
    BOOST_TEST(other.state.leafs.size() == 1U);
    other.apply(tick{});
    BOOST_REQUIRE(other.state.peers.exchange);
    other.apply(peer_reply_received{*other.state.peers.exchange,
                                    error{errc::timed_out, "", "", ""}});
    BOOST_TEST(other.state.leafs.size() == 1U);
    BOOST_TEST(other.hear(*this, false) > 5U);
    BOOST_TEST(other.state.leafs.size() == 60U);
}

// Mixed versions: an old peer knows leafs and tables only. Its lists remove no
// other records, and its changes don't hide others from this daemon.
BOOST_FIXTURE_TEST_CASE(an_old_peer_hides_no_kind_that_it_does_not_know,
                        fixture)
{
    receive_records(10, true, {leaf("a", 3), zone("z1", 8), table(1, 2)});
    set_role(state, store_role::none, clock.now());
    fixture old;
    old.receive_records(15, true, {leaf("b", 13), table(1, 2)});
    // A complete list, since the old peer knows nothing of what came before.
    hear(old, true, true);
    BOOST_TEST(state.leafs.count("leaf/b") == 1U);
    BOOST_TEST(state.leafs.count("leaf/a") == 0U);
    BOOST_TEST(state.leafs.count("zone/z1") == 1U);
    BOOST_TEST(state.revision == 10U);
    BOOST_TEST(digest_of(state, true).manifest_version == 15U);
    BOOST_TEST(is_up_to_date(state, clock.now()));
    // A peer of this version knows what changed meanwhile of the other kind.
    fixture current;
    current.receive_records(15, true, {leaf("b", 13), table(1, 2)});
    current.receive_records(16, false, {zone("z2", 16)});
    hear(current);
    BOOST_TEST(state.leafs.count("zone/z1") == 0U);
    BOOST_TEST(state.leafs.count("zone/z2") == 1U);
    BOOST_TEST(state.revision == 16U);
}

BOOST_FIXTURE_TEST_CASE(an_old_peer_is_sent_only_the_kinds_that_it_knows,
                        fixture)
{
    receive_records(10, true, {leaf("a", 3), zone("z1", 8), table(1, 2)});
    receive_records(12, false, {leaf("b", 11), zone("z2", 12)});
    for (const std::uint64_t after : {0U, 10U}) {
        const auto reply = reply_to_peer_at(after);
        BOOST_TEST(reply.revision == 12U);
        for (const auto& each : reply.records) {
            BOOST_TEST(!each.key.starts_with("zone/"));
        }
    }
}

// If only old peers read the store, this daemon has to read it itself.
BOOST_FIXTURE_TEST_CASE(a_daemon_among_old_peers_reads_the_store_itself,
                        fixture)
{
    receive_records(10, true, {leaf("a", 3), table(1, 2)});
    set_role(state, store_role::none, clock.now());
    BOOST_TEST(peers_deliver(state, clock.now()));
    fixture old;
    old.receive_records(15, true, {leaf("a", 3), table(1, 2)});
    hear(old, true, true);
    clock.advance(state.settings.level_timeout);
    apply(tick{});
    BOOST_TEST(!peers_deliver(state, clock.now()));
    clock.advance(state.settings.reads_itself_for);
    BOOST_TEST(peers_deliver(state, clock.now()));
}

// CONFIG: each failed request made a daemon forget that a peer had a newer
// revision. It took its own records for current, and answered 404 for routes
// that it had not received.
BOOST_FIXTURE_TEST_CASE(records_are_out_of_date_while_requests_keep_failing,
                        fixture)
{
    receive_records(10, true, {leaf("a", 3), table(1, 2)});
    set_role(state, store_role::none, clock.now());
    BOOST_TEST(is_up_to_date(state, clock.now()));
    wire::ping ping;
    ping.from.peer = parse_endpoint("127.0.0.1:7002").value();
    ping.in_force = to_wire({12, protocol_level, 12, 2, true});
    const auto failed_after = state.settings.peer_timeout;
    for (duration passed{0}; passed < 2 * state.settings.max_staleness;
         passed += failed_after) {
        apply(datagram_received{ping.from.peer, ping});
        clock.advance(state.settings.peer_fetch_delay);
        apply(tick{});
        const auto asked = take_peer_request();
        BOOST_REQUIRE(asked.has_value());
        clock.advance(failed_after);
        apply(peer_reply_received{asked->exchange,
                                  error{errc::timed_out, "", "", ""}});
    }
    BOOST_TEST(!is_up_to_date(state, clock.now()));
    receive_records(12, false, {table(2, 12)}, "peer");
    BOOST_TEST(is_up_to_date(state, clock.now()));
}

// A VM that is busy with other peers refuses a request at once. The next digest
// may be seconds away.
BOOST_FIXTURE_TEST_CASE(after_a_failure_another_peer_is_asked_without_a_digest,
                        fixture)
{
    receive_records(10, true, {leaf("a", 3), table(1, 2)});
    set_role(state, store_role::none, clock.now());
    constexpr std::size_t offering = 3;
    for (std::size_t i = 0; i < offering; ++i) {
        wire::ping ping;
        ping.from.peer = {0x7F000001, static_cast<std::uint16_t>(7002 + i)};
        ping.in_force = to_wire({12, protocol_level, 12, 2, true});
        apply(datagram_received{ping.from.peer, ping});
    }
    std::set<endpoint> asked;
    for (std::size_t i = 0; i < offering; ++i) {
        clock.advance(state.settings.peer_retry_pause);
        BOOST_TEST((next_wakeup(state) <= clock.now()));
        apply(tick{});
        const auto request = take_peer_request();
        BOOST_REQUIRE(request.has_value());
        asked.insert(request->peer);
        apply(peer_reply_received{request->exchange,
                                  error{errc::closed, "", "", ""}});
    }
    BOOST_TEST(asked.size() == offering);
    // None is left; nothing is requested until the next digest.
    clock.advance(seconds{1});
    apply(tick{});
    BOOST_TEST(!take_peer_request().has_value());
}
