#include "tests/queries/world.hpp"

#include "base/random.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

// Random schedules of faults; afterwards the whole history is checked.

using namespace bulrushspring;
using namespace bulrushspring::tests;

namespace
{

constexpr std::array behaviours = {behaviour::prompt,      behaviour::shedding,
                                   behaviour::failing,     behaviour::silent,
                                   behaviour::unreachable, behaviour::gone,
                                   behaviour::draining};

struct schedule {
    explicit schedule(std::uint64_t seed) : random(seed) {}

    random_source random;
    layout base;
    std::uint64_t next_token = 1;
    std::set<std::uint64_t> left;
    std::map<std::uint64_t, boot_time> answer_due;
    std::vector<leaf_answered> seen;

    bool chance(std::uint64_t one_in)
    {
        return random_below(random, one_in) == 0;
    }
};

scripted_leaf& any_leaf(schedule& schedule, world& world)
{
    auto it = world.leafs.begin();
    std::advance(it, random_below(schedule.random, world.leafs.size()));
    return it->second;
}

// Spoils some answers: crossed with those of other requests, shards and
// snapshots, doubled, or lost.
void tamper_with(schedule& schedule, world& world)
{
    world.tamper = [&](const send_to_leaf& sent, leaf_answer& answer) {
        if (schedule.chance(20) && !schedule.seen.empty()) {
            const auto& other = schedule.seen.back().answer;
            answer.request_id = other.request_id;
            answer.snapshot = other.snapshot;
            answer.shard = other.shard;
            answer.body = other.body;
        }
        if (schedule.chance(30)) {
            answer.body = "no score\n";
        }
        schedule.seen.push_back({sent.connection, sent.attempt, answer});
        if (schedule.chance(20)) {
            world.deliver_at(world.now + milliseconds{3}, schedule.seen.back());
        }
        if (schedule.chance(20)) {
            // Another attempt's answer comes on this connection.
            auto crossed = schedule.seen.back();
            crossed.attempt =
                schedule
                    .seen[random_below(schedule.random, schedule.seen.size())]
                    .attempt;
            world.deliver_at(world.now + milliseconds{1}, crossed);
        }
        return !schedule.chance(50);
    };
}

void change_manifest(schedule& schedule, world& world)
{
    auto from = schedule.base;
    const auto version = world.manifest_now->version + 1;
    from.snapshots = {version + 15, version + 16};
    from.shards =
        4 + static_cast<std::uint32_t>(random_below(schedule.random, 4));
    from.wait_for_coverage = schedule.chance(2);
    auto manifest = make_manifest(from);
    manifest.version = version;
    for (auto& leaf : manifest.pools.at("index").leafs) {
        leaf.leaving = schedule.chance(10);
    }
    world.adopt(share(manifest));
}

void take_step(schedule& schedule, world& world)
{
    switch (random_below(schedule.random, 8)) {
    case 0:
        any_leaf(schedule, world).does =
            behaviours[random_below(schedule.random, behaviours.size())];
        break;
    case 1:
        any_leaf(schedule, world).latency =
            milliseconds{1 + random_below(schedule.random, 300)};
        break;
    case 2:
        if (schedule.chance(3)) {
            change_manifest(schedule, world);
        }
        break;
    case 3:
        if (schedule.chance(4)) {
            const auto& pool = world.manifest_now->pools.at("index");
            any_leaf(schedule, world).oldest = pool.serve + 1;
        }
        if (schedule.next_token > 1 && schedule.chance(4)) {
            const auto token = schedule.next_token - 1;
            schedule.left.insert(token);
            world.deliver(caller_left{caller_token{token}});
        }
        break;
    default:
        schedule.answer_due[schedule.next_token] = world.now + seconds{1};
        world.begin(schedule.next_token++);
        break;
    }
    world.run(milliseconds{random_below(schedule.random, 30)});
}

// The body must hold the line of each shard that the answer covers, from the
// snapshot that it names, and no other.
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

void check_history(schedule& schedule, world& world)
{
    for (auto& [token, due] : schedule.answer_due) {
        const auto& answers = world.answers[token];
        const bool left = schedule.left.contains(token);
        RC_ASSERT(answers.size() == 1 || (left && answers.empty()));
        for (const auto& answer : answers) {
            check_answer(token, answer);
        }
    }
    for (const auto& sent : world.sendings) {
        RC_ASSERT((sent.what.request.time_left > duration{0}));
    }
    RC_ASSERT(queries::in_flight(world.queries) == 0);
    RC_ASSERT(world.queries.attempts.empty());
    RC_ASSERT(world.queries.waiting.empty());
    RC_ASSERT(world.targets.attempts.empty());
    const auto extra = world.counters[metrics::counter::leaf_hedges] +
                       world.counters[metrics::counter::leaf_retries];
    const auto first = world.counters[metrics::counter::leaf_requests] - extra;
    RC_ASSERT(static_cast<double>(extra) <=
              targets::options{}.initial_budget_tokens +
                  0.05 * static_cast<double>(first) + 1e-6);
}

} // namespace

RC_BOOST_PROP(each_answer_is_the_callers_own_whole_and_truly_covered,
              (std::uint64_t seed))
{
    schedule schedule(seed);
    schedule.base.shards = 6;
    world world(share(make_manifest(schedule.base)), seed);
    tamper_with(schedule, world);
    for (int i = 0; i < 150; ++i) {
        take_step(schedule, world);
    }
    world.run(seconds{5});
    check_history(schedule, world);
}

RC_BOOST_PROP(a_leaf_never_counts_more_connections_than_its_share,
              (std::uint64_t seed))
{
    schedule schedule(seed);
    schedule.base.shards = 4;
    schedule.base.vms = 18;
    world world(share(make_manifest(schedule.base)), seed);
    const std::uint32_t share = 65 / (18 + 2);
    for (int i = 0; i < 300; ++i) {
        take_step(schedule, world);
        world.run(milliseconds{500 * random_below(schedule.random, 4)});
        for (const auto& [name, leaf] : world.leafs) {
            RC_ASSERT(leaf.most_connections <= share);
        }
    }
}
