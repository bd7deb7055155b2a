#include "tests/queries/simulation.hpp"

#include "base/random.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

// Property tests with random schedules of faults. The checks apply to the whole
// history of a schedule, after its end.

using namespace bulrushspring;
using namespace bulrushspring::tests;

namespace
{

constexpr std::array all_behaviours = {
    behaviour::prompt,  behaviour::shedding,    behaviour::failing,
    behaviour::silent,  behaviour::unreachable, behaviour::gone,
    behaviour::draining};

struct schedule {
    explicit schedule(std::uint64_t seed) : random(seed) {}

    random_source random;
    layout base;
    std::uint64_t next_token = 1;
    std::set<std::uint64_t> disconnected;
    std::map<std::uint64_t, boot_time> answer_due;
    std::vector<leaf_answered> answers;

    bool one_in(std::uint64_t count)
    {
        return random_below(random, count) == 0;
    }
};

scripted_leaf& random_leaf(schedule& schedule, simulation& simulation)
{
    auto it = simulation.leafs.begin();
    std::advance(it, random_below(schedule.random, simulation.leafs.size()));
    return it->second;
}

// Corrupts some answers: replaces them by those to other requests, shards and
// snapshots, makes them malformed, duplicates them or drops them.
void corrupt_answers(schedule& schedule, simulation& simulation)
{
    simulation.intercept_answer = [&](const send_to_leaf& sent,
                                      leaf_answer& answer) {
        if (schedule.one_in(20) && !schedule.answers.empty()) {
            const auto& other = schedule.answers.back().answer;
            answer.request_id = other.request_id;
            answer.snapshot = other.snapshot;
            answer.shard = other.shard;
            answer.body = other.body;
        }
        if (schedule.one_in(30)) {
            answer.body = "no score\n";
        }
        schedule.answers.push_back({sent.connection, sent.attempt, answer});
        if (schedule.one_in(20)) {
            simulation.deliver_at(simulation.now + milliseconds{3},
                                  schedule.answers.back());
        }
        if (schedule.one_in(20)) {
            // This connection also delivers an answer to another attempt.
            auto mismatched = schedule.answers.back();
            mismatched.attempt =
                schedule
                    .answers[random_below(schedule.random,
                                          schedule.answers.size())]
                    .attempt;
            simulation.deliver_at(simulation.now + milliseconds{1}, mismatched);
        }
        return !schedule.one_in(50);
    };
}

void change_manifest(schedule& schedule, simulation& simulation)
{
    auto from = schedule.base;
    const auto version = simulation.current_manifest->version + 1;
    from.snapshots = {version + 15, version + 16};
    from.shards =
        4 + static_cast<std::uint32_t>(random_below(schedule.random, 4));
    from.wait_for_coverage = schedule.one_in(2);
    auto manifest = make_manifest(from);
    manifest.version = version;
    for (auto& leaf : manifest.pools.at("index").leafs) {
        leaf.leaving = schedule.one_in(10);
    }
    simulation.set_manifest(make_shared_manifest(manifest));
}

void take_step(schedule& schedule, simulation& simulation)
{
    switch (random_below(schedule.random, 8)) {
    case 0:
        random_leaf(schedule, simulation).mode = all_behaviours[random_below(
            schedule.random, all_behaviours.size())];
        break;
    case 1:
        random_leaf(schedule, simulation).latency =
            milliseconds{1 + random_below(schedule.random, 300)};
        break;
    case 2:
        if (schedule.one_in(3)) {
            change_manifest(schedule, simulation);
        }
        break;
    case 3:
        if (schedule.one_in(4)) {
            const auto& pool = simulation.current_manifest->pools.at("index");
            random_leaf(schedule, simulation).oldest_snapshot =
                pool.served_snapshot + 1;
        }
        if (schedule.next_token > 1 && schedule.one_in(4)) {
            const auto token = schedule.next_token - 1;
            schedule.disconnected.insert(token);
            simulation.deliver(caller_disconnected{caller_token{token}});
        }
        break;
    default:
        schedule.answer_due[schedule.next_token] = simulation.now + seconds{1};
        simulation.begin_query(schedule.next_token++);
        break;
    }
    simulation.run_for(milliseconds{random_below(schedule.random, 30)});
}

// The body must contain exactly one line for each shard that the answer covers,
// from the snapshot that the answer names, and no others.
void check_answer(std::uint64_t token, const caller_answer& answer)
{
    const auto id = "request-" + std::to_string(token);
    RC_ASSERT(answer.request_id == id);
    std::set<manifest::shard_id> missing;
    for (const auto& shard : answer.missing) {
        RC_ASSERT(shard.shard < answer.shards);
        RC_ASSERT(missing.insert(shard.shard).second);
    }
    std::string expected;
    for (manifest::shard_id shard = 0; shard < answer.shards; ++shard) {
        if (!missing.contains(shard)) {
            expected += line_of(id, answer.snapshot, shard);
        }
    }
    RC_ASSERT(answer.body == expected);
    RC_ASSERT((answer.status == answer_status::answered) == missing.empty());
}

void check_history(schedule& schedule, simulation& simulation)
{
    for (auto& [token, due] : schedule.answer_due) {
        const auto& answers = simulation.answers[token];
        const bool disconnected = schedule.disconnected.contains(token);
        RC_ASSERT(answers.size() == 1 || (disconnected && answers.empty()));
        for (const auto& answer : answers) {
            check_answer(token, answer);
        }
    }
    for (const auto& sent : simulation.attempts) {
        RC_ASSERT((sent.message.request.time_left > duration{0}));
    }
    RC_ASSERT(queries::in_flight(simulation.queries) == 0);
    RC_ASSERT(simulation.queries.attempts.empty());
    RC_ASSERT(simulation.queries.waiting.empty());
    RC_ASSERT(simulation.targets.attempts.empty());
    const auto extra = simulation.counters[metrics::counter::leaf_hedges] +
                       simulation.counters[metrics::counter::leaf_retries];
    const auto first =
        simulation.counters[metrics::counter::leaf_requests] - extra;
    RC_ASSERT(static_cast<double>(extra) <=
              targets::options{}.initial_budget_tokens +
                  0.05 * static_cast<double>(first) + 1e-6);
}

} // namespace

RC_BOOST_PROP(each_answer_matches_its_request_and_reported_coverage,
              (std::uint64_t seed))
{
    schedule schedule(seed);
    schedule.base.shards = 6;
    simulation simulation(make_shared_manifest(make_manifest(schedule.base)),
                          seed);
    corrupt_answers(schedule, simulation);
    for (int i = 0; i < 150; ++i) {
        take_step(schedule, simulation);
    }
    simulation.run_for(seconds{5});
    check_history(schedule, simulation);
}

RC_BOOST_PROP(leaf_never_counts_more_connections_than_the_share,
              (std::uint64_t seed))
{
    schedule schedule(seed);
    schedule.base.shards = 4;
    schedule.base.vms = 18;
    simulation simulation(make_shared_manifest(make_manifest(schedule.base)),
                          seed);
    const std::uint32_t share = 65 / (18 + 2);
    for (int i = 0; i < 300; ++i) {
        take_step(schedule, simulation);
        simulation.run_for(
            milliseconds{500 * random_below(schedule.random, 4)});
        for (const auto& [name, leaf] : simulation.leafs) {
            RC_ASSERT(leaf.max_connections <= share);
        }
    }
}
