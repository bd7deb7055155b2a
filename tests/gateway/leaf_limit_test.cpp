#include "tests/gateway/gateway_fixture.hpp"

// Leafs that state how many requests a second they take from all daemons
// together. The fleet has two daemons, so half of it is this one's part.
namespace bulrushspring::gateway::test
{

namespace
{

constexpr seconds users_window{4};

struct limit_fixture : gateway_fixture {
    std::map<std::string, double> limits; // of leafs that state one
    std::map<std::string, std::vector<boot_time>> arrivals;

    // Answers what was sent, as the leafs do.
    void reply_to_all()
    {
        for (const auto& each : take<send_to_leaf>()) {
            arrivals[each.leaf].push_back(clock.now());
            leaf_reply answer;
            answer.status = 200;
            answer.signature = "seal-" + each.leaf;
            answer.body = "0123456789abcdef";
            const auto limit = limits.find(each.leaf);
            if (limit != limits.end()) {
                answer.rate = {true, limit->second};
            }
            feed(leaf_replied{each.connection, answer, true});
        }
    }

    // Sends requests at a rate above all limits, and answers them.
    void ask_for(duration span, const std::string& path = "/s/x",
                 duration interval = milliseconds{5})
    {
        for (duration left = span; left > duration{0}; left -= interval) {
            send_request(path);
            connect_requested();
            reply_to_all();
            advance(interval);
            connect_requested();
            reply_to_all();
        }
    }

    // Forgets the arrivals, so that later ones can be counted.
    void start_counting() { arrivals.clear(); }

    std::size_t count(const std::string& leaf) { return arrivals[leaf].size(); }

    std::size_t count_answers(answer_kind kind)
    {
        const auto answers = take<answer_request>();
        return static_cast<std::size_t>(std::count_if(
            answers.begin(), answers.end(),
            [&](const auto& each) { return each.answer.kind == kind; }));
    }
};

} // namespace

// LIMIT: hedges, retries and first attempts to a leaf that had stated its limit
// went on as before.
BOOST_AUTO_TEST_CASE(a_leaf_gets_this_daemons_part_of_its_limit)
{
    for (const std::size_t leafs : {1U, 3U}) {
        limit_fixture daemon;
        daemon.make_single_route(true, leafs);
        daemon.limits["one-0"] = 10;
        daemon.ask_for(seconds{2});
        daemon.start_counting();
        daemon.ask_for(users_window);
        BOOST_TEST(daemon.count("one-0") <= 21U); // 5 a second
        // With other leafs it may be sent less.
        BOOST_TEST((leafs > 1 || daemon.count("one-0") >= 19U));
    }
}

BOOST_FIXTURE_TEST_CASE(a_limit_does_not_allow_bursts_after_a_pause,
                        limit_fixture)
{
    make_single_route(true, 2);
    limits["one-0"] = 10;
    ask_for(seconds{2});
    advance(seconds{30}, milliseconds{10});
    start_counting();
    ask_for(milliseconds{100});
    BOOST_TEST(count("one-0") <= 2U);
}

// Known to be unservable: the caller is refused at once and told when the
// limit allows its request.
BOOST_FIXTURE_TEST_CASE(requests_above_the_limits_of_all_leafs_are_refused,
                        limit_fixture)
{
    make_single_route(true, 2);
    limits = {{"one-0", 2}, {"one-1", 2}};
    ask_for(seconds{1});
    effects.clear();
    std::size_t refused = 0;
    for (int i = 0; i < 40; ++i) {
        send_request("/s/x");
        for (const auto& each : take<answer_request>()) {
            BOOST_TEST((each.answer.kind == answer_kind::not_run));
            BOOST_TEST((each.answer.retry_after > milliseconds{50}));
            BOOST_TEST((each.answer.retry_after < seconds{5}));
            ++refused;
        }
    }
    BOOST_TEST(refused >= 38U);
}

BOOST_FIXTURE_TEST_CASE(a_query_goes_on_without_a_shard_at_its_limit,
                        limit_fixture)
{
    make_query_route(4);
    limits = {{"s0-a", 2}, {"s0-b", 2}};
    ask_for(seconds{1}, "/q/x");
    effects.clear();
    ask_for(seconds{1}, "/q/x");
    const auto answers = take<answer_request>();
    const auto complete =
        std::count_if(answers.begin(), answers.end(), [](const auto& each) {
            return each.answer.kind == answer_kind::merged &&
                   each.answer.missing_shards == 0;
        });
    BOOST_TEST(answers.size() > 150U);
    BOOST_TEST(complete <= 4);
    for (const auto& each : answers) {
        BOOST_TEST((each.answer.kind == answer_kind::merged));
    }
}

BOOST_FIXTURE_TEST_CASE(a_limit_ends_when_the_leaf_states_none, limit_fixture)
{
    make_single_route(true, 1);
    limits["one-0"] = 10;
    ask_for(seconds{2});
    limits.clear();
    ask_for(seconds{1});
    start_counting();
    ask_for(seconds{1});
    BOOST_TEST(count("one-0") > 100U);
}

// An answer to a request that was sent before the limit was heard of tells
// nothing of its end.
BOOST_FIXTURE_TEST_CASE(an_answer_from_before_the_limit_does_not_end_it,
                        limit_fixture)
{
    make_single_route(true, 1);
    send_request("/s/x");
    const auto first = only_sent();
    send_request("/s/y");
    connect_requested();
    const auto second = only_sent();
    advance(milliseconds{5});
    leaf_reply limited;
    limited.status = 200;
    limited.signature = "seal";
    limited.rate = {true, 10.0};
    feed(leaf_replied{second.connection, limited, true});
    advance(milliseconds{5});
    reply(first, "done");
    BOOST_TEST(state.pool.leafs.at("one-0").rate_limit.value_or(-1) == 10.0);
}

BOOST_FIXTURE_TEST_CASE(an_unreadable_limit_keeps_the_earlier_one,
                        limit_fixture)
{
    make_single_route(true, 1);
    limits["one-0"] = 10;
    ask_for(milliseconds{500});
    send_request("/s/x");
    advance(milliseconds{300});
    const auto sent = take<send_to_leaf>();
    BOOST_REQUIRE(!sent.empty());
    leaf_reply garbled;
    garbled.status = 200;
    garbled.signature = "seal";
    garbled.rate = {true, std::nullopt};
    shared.clear();
    feed(leaf_replied{sent[0].connection, garbled, true});
    BOOST_TEST(state.pool.leafs.at("one-0").rate_limit.value_or(-1) == 10.0);
    // Said once, not with each answer.
    advance(milliseconds{300});
    send_request("/s/x");
    advance(milliseconds{300});
    for (const auto& each : take<send_to_leaf>()) {
        feed(leaf_replied{each.connection, garbled, true});
    }
    const auto logged =
        std::count_if(shared.begin(), shared.end(), [](const auto& each) {
            const auto* line = std::get_if<write_log>(&each);
            return line != nullptr &&
                   line->record.definition->name == "leaf_rate_stated";
        });
    BOOST_TEST(logged == 1);
}

// Found by rereading: each question of a caller for the daemons to use put off
// the next look at who divides the rates.
BOOST_FIXTURE_TEST_CASE(questions_for_entries_do_not_delay_shares_of_rates,
                        limit_fixture)
{
    const auto self = membership::self_of(state.members);
    state = gateway::make_state(self, {}, settings, clock.now());
    for (int i = 0; i < 50; ++i) {
        advance(milliseconds{100}, milliseconds{10});
        feed(entries_requested{caller_token{++last_token}, "kl-1"});
    }
    BOOST_TEST(state.pool.sharers.known);
    BOOST_TEST(state.pool.sharers.serving.size() == 2U);
}

// A limit of 0 is kept, but a request now and then tells whether it still
// holds.
BOOST_FIXTURE_TEST_CASE(a_limit_of_zero_allows_rare_requests, limit_fixture)
{
    make_single_route(true, 4);
    for (const auto* each : {"one-0", "one-1", "one-2", "one-3"}) {
        limits[each] = 0;
    }
    ask_for(seconds{2});
    start_counting();
    ask_for(seconds{60}, "/s/x", milliseconds{20});
    std::size_t total = 0;
    for (const auto& [id, each] : limits) {
        BOOST_TEST(count(id) <= 7U);
        total += count(id);
    }
    BOOST_TEST(total >= 1U);
}

// A daemon that sends the leaf nothing hears of the end from others, but an
// older statement than its own changes nothing.
BOOST_FIXTURE_TEST_CASE(peers_tell_when_a_limit_begins_and_ends, limit_fixture)
{
    make_single_route(true, 1);
    const auto tell = [&](bool limited, std::uint32_t ms_ago) {
        feed(datagram_received{
            parse_endpoint("127.0.0.1:7004").value(),
            wire::leaf_rates{{{"one-0", 0, limited, 10000, ms_ago}}}});
        return state.pool.leafs.at("one-0").rate_limit.value_or(-1);
    };
    advance(seconds{1}, milliseconds{10});
    BOOST_TEST(tell(true, 100) == 10.0);
    BOOST_TEST(tell(false, 200) == 10.0);
    BOOST_TEST(tell(false, 50) == -1.0);
    // What has changed here is told to others.
    shared.clear();
    tell(true, 0);
    advance(seconds{1}, milliseconds{10});
    BOOST_TEST(std::any_of(shared.begin(), shared.end(), [](const auto& each) {
        const auto* sent = std::get_if<send_datagram>(&each);
        return sent != nullptr &&
               std::holds_alternative<wire::leaf_rates>(sent->message);
    }));
}

BOOST_FIXTURE_TEST_CASE(a_restarted_leaf_has_no_limit, limit_fixture)
{
    make_single_route(true, 1);
    limits["one-0"] = 2;
    ask_for(seconds{1});
    publish_restarted("one-0", "one");
    limits.clear();
    start_counting();
    ask_for(seconds{1});
    BOOST_TEST(count("one-0") > 100U);
}

} // namespace bulrushspring::gateway::test
