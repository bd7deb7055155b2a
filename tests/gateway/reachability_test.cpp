#include "tests/gateway/gateway_fixture.hpp"

// A daemon that loses its path to all leafs, while its peer may reach them.
namespace bulrushspring::gateway::test
{

namespace
{

struct reachability_fixture : gateway_fixture {
    reachability_fixture()
    {
        make_query_route(4);
        shared.clear();
    }

    // Lets requests arrive for a while. No leaf answers, connects fail, and the
    // peer tells when it had its last contact, if it is asked.
    void lose_leafs(duration span, std::optional<duration> peer_contact)
    {
        for (duration left = span; left > duration{0};
             left -= milliseconds{50}) {
            send_request("/q/x");
            advance(milliseconds{50});
            for (const auto& each : take<open_leaf>()) {
                feed(leaf_disconnected{each.connection, error{}});
            }
            answer_questions(peer_contact);
        }
    }

    void answer_questions(std::optional<duration> peer_contact)
    {
        for (const auto& each : std::exchange(shared, {})) {
            const auto* asked = std::get_if<send_peer_request>(&each);
            if (asked == nullptr || !peer_contact ||
                !std::holds_alternative<wire::leaf_contact_request>(
                    asked->request)) {
                continue;
            }
            const auto age =
                static_cast<std::uint32_t>(to_milliseconds(*peer_contact));
            feed(peer_reply_received{asked->exchange,
                                     wire::leaf_contact_reply{age, age}});
        }
    }

    // Lets connects succeed again.
    void return_path(duration span)
    {
        for (duration left = span; left > duration{0};
             left -= milliseconds{10}) {
            connect_requested();
            advance(milliseconds{10});
        }
    }

    bool partitioned() const
    {
        return membership::self_of(state.members).partitioned;
    }

    std::size_t count_refused()
    {
        const auto answers = take<answer_request>();
        return static_cast<std::size_t>(
            std::count_if(answers.begin(), answers.end(), [](const auto& each) {
                return each.answer.kind == answer_kind::not_run;
            }));
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(
    a_daemon_leaves_if_a_peer_reaches_leafs_that_it_does_not,
    reachability_fixture)
{
    lose_leafs(milliseconds{900}, milliseconds{10});
    BOOST_TEST(partitioned());
    BOOST_TEST(!accepts_callers(state));
    // Known to be unservable: refused at once.
    effects.clear();
    send_request("/q/x");
    BOOST_TEST(count_refused() == 1U);
    BOOST_TEST(take<send_to_leaf>().empty());
}

// The leafs are down for all: somebody has to stay.
BOOST_FIXTURE_TEST_CASE(a_daemon_stays_if_its_peer_reaches_no_leaf_either,
                        reachability_fixture)
{
    lose_leafs(seconds{3}, seconds{60});
    BOOST_TEST(!partitioned());
    BOOST_TEST(accepts_callers(state));
}

BOOST_FIXTURE_TEST_CASE(a_daemon_stays_if_no_peer_answers, reachability_fixture)
{
    lose_leafs(seconds{3}, std::nullopt);
    BOOST_TEST(!partitioned());
}

// Slow leafs are no lost path: connects to them succeed.
BOOST_FIXTURE_TEST_CASE(a_daemon_stays_while_leafs_only_answer_late,
                        reachability_fixture)
{
    std::vector<send_to_leaf> unanswered;
    for (int i = 0; i < 60; ++i) {
        send_request("/q/x");
        connect_requested();
        advance(milliseconds{50});
        connect_requested();
        answer_questions(milliseconds{10});
        for (const auto& each : take<send_to_leaf>()) {
            unanswered.push_back(each);
        }
        if (i >= 16) { // at first 800 ms late
            reply(unanswered.front(), "0123456789abcdef");
            unanswered.erase(unanswered.begin());
        }
        BOOST_TEST(!partitioned());
    }
}

// Found on the bench: leafs of a few services had crashed, and the others'
// answers took longer than the silence that raises doubt.
BOOST_FIXTURE_TEST_CASE(a_daemon_stays_if_some_leafs_crash_and_others_are_slow,
                        reachability_fixture)
{
    const auto crashed = [&](connection_id id) {
        const auto& leaf = state.pool.connections.at(raw(id)).leaf;
        return leaf.starts_with("s0") || leaf == "s1-a";
    };
    for (int i = 0; i < 24; ++i) {
        if (i % 6 == 0) {
            send_request("/q/x");
        }
        advance(milliseconds{50});
        for (const auto& each : take<open_leaf>()) {
            if (crashed(each.connection)) {
                feed(leaf_disconnected{each.connection, error{}});
            } else {
                feed(leaf_connected{each.connection});
            }
        }
        for (const auto& each : take<send_to_leaf>()) {
            if (crashed(each.connection)) {
                disconnect(each);
            }
        }
        answer_questions(milliseconds{10});
        BOOST_TEST(!partitioned());
    }
}

// A connection that is accepted and reset at once is no contact.
BOOST_FIXTURE_TEST_CASE(a_daemon_leaves_if_its_connections_are_reset_at_once,
                        reachability_fixture)
{
    for (int i = 0; i < 30; ++i) {
        send_request("/q/x");
        advance(milliseconds{50});
        for (const auto& each : take<open_leaf>()) {
            feed(leaf_connected{each.connection});
            feed(leaf_disconnected{each.connection, error{}});
        }
        answer_questions(milliseconds{10});
    }
    BOOST_TEST(partitioned());
}

// Behind a proxy that accepts them, connections prove nothing.
BOOST_FIXTURE_TEST_CASE(accepted_connections_alone_do_not_bring_callers_back,
                        reachability_fixture)
{
    const auto pass = [&](duration span, bool path_holds) {
        for (duration left = span; left > duration{0};
             left -= milliseconds{50}) {
            send_request("/q/x");
            advance(milliseconds{50});
            connect_requested();
            for (const auto& each : take<send_to_leaf>()) {
                if (path_holds) {
                    reply(each, "0123456789abcdef");
                }
            }
            answer_questions(milliseconds{10});
        }
    };
    pass(milliseconds{2500}, false);
    BOOST_REQUIRE(partitioned());
    pass(seconds{5}, false);
    BOOST_TEST(partitioned());
    pass(seconds{3}, true);
    BOOST_TEST(!partitioned());
    BOOST_TEST(accepts_callers(state));
}

// Silence counts from the first unanswered request, not from each of them.
BOOST_FIXTURE_TEST_CASE(
    a_daemon_leaves_although_silent_connections_are_replaced,
    reachability_fixture)
{
    for (int i = 0; i < 50; ++i) {
        send_request("/q/x", milliseconds{400});
        advance(milliseconds{50});
        connect_requested();
        answer_questions(milliseconds{10});
    }
    BOOST_TEST(partitioned());
}

BOOST_FIXTURE_TEST_CASE(callers_return_once_the_path_has_held,
                        reachability_fixture)
{
    lose_leafs(milliseconds{900}, milliseconds{10});
    BOOST_REQUIRE(partitioned());
    return_path(milliseconds{700});
    BOOST_TEST(partitioned());
    // Requests that still arrive are served meanwhile.
    effects.clear();
    send_request("/q/x");
    BOOST_TEST(!take<send_to_leaf>().empty());
    return_path(milliseconds{1000});
    BOOST_TEST(!partitioned());
    BOOST_TEST(accepts_callers(state));
    // What has failed before does not count again.
    for (int i = 0; i < 30; ++i) {
        return_path(milliseconds{100});
        answer_questions(milliseconds{10});
    }
    BOOST_TEST(!partitioned());
}

BOOST_FIXTURE_TEST_CASE(a_flapping_path_keeps_callers_away_for_longer,
                        reachability_fixture)
{
    lose_leafs(milliseconds{900}, milliseconds{10});
    return_path(milliseconds{1800});
    BOOST_REQUIRE(!partitioned());
    lose_leafs(milliseconds{1500}, milliseconds{10});
    BOOST_REQUIRE(partitioned());
    return_path(milliseconds{1800});
    BOOST_TEST(partitioned());
    return_path(milliseconds{1000});
    BOOST_TEST(!partitioned());
}

// It may have run: the caller of a non-idempotent request can't send it to
// another daemon, and a late answer is worth more than none.
BOOST_AUTO_TEST_CASE(a_non_idempotent_request_in_progress_is_kept)
{
    gateway_fixture daemon;
    daemon.make_single_route(false, 3);
    daemon.send_request("/s/x");
    const auto sent = daemon.only_sent();
    bulrushspring::context shared{daemon.clock.now(), daemon.shared,
                                  daemon.last_identifier};
    gateway::context context{daemon.clock.now(), daemon.effects, shared};
    exchange_step step{daemon.state.exchanges, daemon.state.pool, context};
    finish_repeatable(step);
    BOOST_TEST(daemon.take<answer_request>().empty());
    daemon.reply(sent, "done");
    BOOST_TEST((daemon.only_answer().kind == answer_kind::relayed));
}

} // namespace bulrushspring::gateway::test
