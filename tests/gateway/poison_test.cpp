#include "libraries/gateway/crash_watch.hpp"
#include "tests/gateway/crashing_fixture.hpp"

#include <rapidcheck/boost_test.h>

namespace bulrushspring::gateway::test
{

namespace
{

// Three crashes, after which it is known, and three more retries.
constexpr std::size_t max_poisoned_leafs = 6;

// Leafs that crashed are back after some seconds.
void replace_crashed(crashing_fixture& of)
{
    for (const auto& leaf : std::exchange(of.down, {})) {
        of.replace(leaf, of.state.pool.leafs.at(leaf).published.service);
    }
    of.settle(seconds{1});
}

// Sends the poison request until it is known.
void make_poison_known(crashing_fixture& of)
{
    for (int round = 0; round < 4; ++round) {
        of.send_request("/s/poison");
        of.settle(milliseconds{200});
        replace_crashed(of);
    }
    of.answers.clear();
    of.poisoned = 0;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(a_request_that_crashes_its_leafs_is_not_sent_for_ever,
                        crashing_fixture)
{
    make_single_route(true, 6);
    for (int round = 0; round < 20; ++round) {
        send_request("/s/poison");
        settle(milliseconds{500});
        for (const auto& leaf : std::exchange(down, {})) {
            replace(leaf, "one");
        }
        settle(seconds{1});
    }
    BOOST_TEST(answers.size() == 20U);
    BOOST_TEST(poisoned <= max_poisoned_leafs);
    BOOST_TEST((answers.back().answer.kind == answer_kind::not_run));
}

BOOST_FIXTURE_TEST_CASE(a_poisoned_query_is_sent_to_one_leaf_once_suspected,
                        crashing_fixture)
{
    make_query_route(4);
    send_request("/q/poison");
    settle(milliseconds{500});
    // Each part's first attempt, and then one at a time.
    BOOST_TEST(poisoned <= 4U + 2U);
    BOOST_TEST(answers.size() == 1U);
    replace_crashed(*this);
    for (int round = 0; round < 5; ++round) {
        send_request("/q/poison");
        settle(milliseconds{500});
    }
    BOOST_TEST(poisoned <= 4U + 2U);
    BOOST_TEST(answers.size() == 6U);
}

BOOST_FIXTURE_TEST_CASE(poison_in_progress_is_answered_at_once_as_failed,
                        crashing_fixture)
{
    make_single_route(true, 8);
    make_poison_known(*this);
    state.exchanges.poison.records.clear();
    send_request("/s/poison");
    only_sent();
    send_request("/s/other");
    // The report of another daemon.
    auto& known = state.exchanges.poison;
    const auto of =
        fingerprint_of(state.exchanges.exchanges.at(last_token - 1));
    for (std::uint64_t process = 1; process <= 3; ++process) {
        const boot_time sent_at =
            clock.now() + milliseconds{10 * static_cast<int>(process)};
        poison::add_crash(known, of,
                          {process, sent_at, sent_at + milliseconds{5}},
                          clock.now());
    }
    bulrushspring::context shared_context{clock.now(), shared, last_identifier};
    gateway::context context{clock.now(), effects, shared_context};
    exchange_step step{state.exchanges, state.pool, context};
    finish_poison(step);
    const auto answer = take<answer_request>();
    BOOST_REQUIRE_EQUAL(answer.size(), 1U);
    BOOST_TEST(raw(answer[0].token) == last_token - 1);
    BOOST_TEST((answer[0].answer.kind == answer_kind::failed));
}

BOOST_FIXTURE_TEST_CASE(poison_is_refused_until_it_is_forgotten,
                        crashing_fixture)
{
    make_single_route(false, 8); // also a request that must not run twice
    make_poison_known(*this);
    const auto retention = state.exchanges.poison.settings.retention;
    advance(retention / 2, seconds{1});
    send_request("/s/poison");
    auto refused = only_answer();
    BOOST_TEST((refused.kind == answer_kind::not_run));
    BOOST_TEST((refused.retry_after == retention));
    BOOST_TEST(take<send_to_leaf>().empty());
    advance(retention - seconds{1}, seconds{1});
    send_request("/s/poison");
    BOOST_TEST((only_answer().kind == answer_kind::not_run));
    advance(retention + seconds{1}, seconds{1});
    connect_requested();
    BOOST_TEST(state.exchanges.poison.records.empty());
    send_request("/s/poison");
    connect_requested();
    BOOST_TEST(take<send_to_leaf>().size() == 1U);
}

// BUDGET: each daemon saw one crash and none of the others'.
BOOST_FIXTURE_TEST_CASE(crashes_seen_by_three_daemons_make_a_request_poison,
                        crashing_fixture)
{
    make_single_route(true, 8);
    crashing_fixture other;
    other.make_single_route(true, 8);
    // Leafs of their own, or both would see the same process end.
    other.publish(gateway_fixture::leaf("two-0", "one"));
    for (int i = 0; i < 8; ++i) {
        other.publish(gateway_fixture::leaf("one-" + std::to_string(i), "one"),
                      true);
    }
    other.settle(seconds{3});
    other.send_request("/s/poison");
    other.settle(seconds{2});
    BOOST_REQUIRE_EQUAL(other.poisoned, 1U);
    wire::crash_reports reports;
    for (const auto& each : other.shared) {
        const auto* sent = std::get_if<send_datagram>(&each);
        const auto* found =
            sent == nullptr ? nullptr
                            : std::get_if<wire::crash_reports>(&sent->message);
        reports = found == nullptr ? reports : *found;
    }
    BOOST_REQUIRE_EQUAL(reports.reports.size(), 1U);
    BOOST_REQUIRE_EQUAL(reports.reports.front().crashes.size(), 1U);
    // Three crashes of different leafs, one after the other.
    auto& report = reports.reports.front();
    report.crashes = {{1, 900, 800}, {2, 700, 600}, {3, 500, 400}};
    const endpoint from = parse_endpoint("127.0.0.1:7004").value();
    send_request("/s/other");
    feed(datagram_received{from, reports});
    BOOST_TEST(take<answer_request>().empty());
    effects.clear();
    send_request("/s/poison");
    BOOST_TEST(take<send_to_leaf>().empty());
    BOOST_TEST((only_answer().kind == answer_kind::not_run));
}

namespace
{

// A target whose arbiter is this daemon (entry-1) or the other one.
std::string target_judged_by(crashing_fixture& of, std::string_view arbiter)
{
    const auto& live = membership::view_of(of.state.members).members;
    for (int i = 0;; ++i) {
        exchange asked;
        auto request = std::make_shared<forward_request>();
        request->method = "GET";
        request->host = "h";
        request->target = "/s/" + std::to_string(i) + "/poison";
        asked.request = request;
        if (poison::arbiter_of(fingerprint_of(asked), live).name == arbiter) {
            return request->target;
        }
    }
}

// Sends the request three times at one moment, which crashes three leafs, and
// lets them return.
void crash_three_leafs(crashing_fixture& of, const std::string& target)
{
    of.make_single_route(false, 8);
    for (int i = 0; i < 3; ++i) {
        of.send_request(target);
    }
    of.settle(milliseconds{200});
    BOOST_REQUIRE_EQUAL(of.poisoned, 3U);
    replace_crashed(of);
    of.settle(seconds{3});
    of.answers.clear();
    of.shared.clear();
}

} // namespace

// BUDGET: a request that had crashed several leafs at one moment reached as
// many again each time that it came.
BOOST_FIXTURE_TEST_CASE(the_arbiter_tries_a_suspect_at_one_leaf_at_a_time,
                        crashing_fixture)
{
    const auto target = target_judged_by(*this, "entry-1");
    crash_three_leafs(*this, target);
    for (int round = 0; round < 4; ++round) {
        for (int i = 0; i < 3; ++i) {
            send_request(target);
        }
        settle(milliseconds{500});
    }
    BOOST_TEST(poisoned == 3U + 2U);
    BOOST_TEST(answers.size() == 12U);
}

BOOST_FIXTURE_TEST_CASE(a_suspect_waits_for_the_permission_of_its_arbiter,
                        crashing_fixture)
{
    arbiter_answers = false;
    const auto target = target_judged_by(*this, "entry-2");
    crash_three_leafs(*this, target);
    for (int i = 0; i < 3; ++i) {
        send_request(target);
    }
    settle(milliseconds{20});
    BOOST_TEST(poisoned == 3U);
    const auto asked = take_trial_requests();
    BOOST_REQUIRE_EQUAL(asked.size(), 3U);
    feed(peer_reply_received{
        asked[0].exchange,
        wire::peer_reply{wire::crash_trial_reply{false, {}}}});
    feed(peer_reply_received{asked[1].exchange,
                             error{errc::timed_out, "ask", "", ""}});
    settle(milliseconds{20});
    BOOST_TEST(poisoned == 3U);
    BOOST_REQUIRE_EQUAL(answers.size(), 2U);
    for (const auto& each : answers) {
        BOOST_TEST((each.answer.kind == answer_kind::not_run));
        BOOST_TEST(
            (each.answer.retry_after == settings.exchanges.trials.retry_after));
    }
    feed(peer_reply_received{
        asked[2].exchange,
        wire::peer_reply{wire::crash_trial_reply{true, {}}}});
    settle(milliseconds{500});
    BOOST_TEST(poisoned == 4U);
}

// A caller may leave before the arbiter has answered.
BOOST_FIXTURE_TEST_CASE(a_permission_that_is_not_used_is_returned,
                        crashing_fixture)
{
    arbiter_answers = false;
    const auto target = target_judged_by(*this, "entry-2");
    crash_three_leafs(*this, target);
    const auto token = send_request(target);
    settle(milliseconds{20});
    const auto asked = take_trial_requests();
    BOOST_REQUIRE_EQUAL(asked.size(), 1U);
    feed(caller_disconnected{token});
    feed(peer_reply_received{
        asked[0].exchange,
        wire::peer_reply{wire::crash_trial_reply{true, {}}}});
    const auto returned = take_trial_requests();
    BOOST_REQUIRE_EQUAL(returned.size(), 1U);
    BOOST_TEST(
        std::get<wire::crash_trial_request>(returned[0].request).withdrawn);
}

// Leafs that crash at one moment may have another cause in common.
BOOST_FIXTURE_TEST_CASE(an_innocent_suspect_is_served_again_after_one_trial,
                        crashing_fixture)
{
    make_single_route(false, 8);
    for (int i = 0; i < 3; ++i) {
        send_request("/s/innocent");
    }
    answer_opens();
    run_leafs();
    const auto on_leafs = running;
    for (const auto& each : on_leafs) {
        crash(each.leaf);
    }
    settle(milliseconds{200});
    replace_crashed(*this);
    settle(seconds{3});
    BOOST_REQUIRE_EQUAL(state.exchanges.poison.records.size(), 1U);
    answers.clear();
    send_request("/s/innocent");
    settle(milliseconds{20});
    for (int i = 0; i < 3; ++i) {
        send_request("/s/innocent");
    }
    settle(milliseconds{50});
    BOOST_REQUIRE_EQUAL(answers.size(), 4U);
    for (const auto& each : answers) {
        BOOST_TEST((each.answer.kind == answer_kind::relayed));
    }
}

BOOST_FIXTURE_TEST_CASE(a_reset_connection_to_a_living_leaf_is_no_crash,
                        crashing_fixture)
{
    make_single_route(true, 4);
    for (int round = 0; round < 10; ++round) {
        send_request("/s/x");
        for (int attempt = 0; attempt < 4; ++attempt) {
            answer_opens();
            for (const auto& each : take<send_to_leaf>()) {
                disconnect(each);
            }
            answer_opens();
            advance(milliseconds{12});
        }
        settle(seconds{3});
    }
    BOOST_TEST(state.exchanges.poison.records.empty());
}

BOOST_FIXTURE_TEST_CASE(leafs_that_crash_together_condemn_no_query,
                        crashing_fixture)
{
    make_query_route(6);
    for (int round = 0; round < 6; ++round) {
        for (int i = 0; i < 5; ++i) {
            send_request("/q/" + std::to_string(i));
        }
        answer_opens();
        run_leafs();
        std::set<std::string> used;
        for (const auto& each : running) {
            used.insert(each.leaf);
        }
        for (const auto& leaf : used) {
            crash(leaf);
        }
        settle(milliseconds{2100});
        replace_crashed(*this);
        BOOST_REQUIRE_EQUAL(answers.size(), 5U);
        answers.clear();
        for (int i = 0; i < 5; ++i) {
            send_request("/q/" + std::to_string(i));
        }
        settle(milliseconds{400});
        BOOST_REQUIRE_EQUAL(answers.size(), 5U);
        for (const auto& each : std::exchange(answers, {})) {
            BOOST_TEST((each.answer.kind == answer_kind::merged));
        }
    }
}

// One poison request among innocent ones, with a leaf that dies for another
// reason and connections that are reset.
RC_BOOST_PROP(only_poison_is_refused_whatever_runs_beside_it, ())
{
    crashing_fixture daemon;
    daemon.make_single_route(true, 14);
    std::set<std::uint64_t> innocent;
    std::uint64_t poison = 0; // its token; its caller awaits each answer
    bool died = false;
    const auto steps =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 13));
    for (const int what : steps) {
        if (what < 3) {
            if (daemon.state.exchanges.exchanges.count(poison) == 0) {
                poison = raw(daemon.send_request("/s/poison"));
            }
        } else if (what == 3 && !daemon.running.empty() && !died) {
            died = true;
            daemon.crash(daemon.running.front().leaf);
        } else if (what == 4 && !daemon.running.empty()) {
            const auto reset = daemon.running.front();
            daemon.running.erase(daemon.running.begin());
            daemon.disconnect(reset);
        } else if (what < 11) {
            // Few different ones, so that they come again.
            innocent.insert(
                raw(daemon.send_request("/s/" + std::to_string(what))));
        } else if (what == 11) {
            daemon.settle(milliseconds{300});
            replace_crashed(daemon);
        }
        daemon.answer_opens();
        if (what % 2 == 0) {
            daemon.run_leafs();
        }
    }
    daemon.settle(seconds{2});
    RC_ASSERT(daemon.poisoned <= max_poisoned_leafs);
    for (const auto& each : daemon.answers) {
        RC_ASSERT(innocent.count(raw(each.token)) == 0 ||
                  each.answer.kind != answer_kind::not_run);
    }
}

} // namespace bulrushspring::gateway::test
