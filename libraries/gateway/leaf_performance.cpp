#include "libraries/gateway/leaf_performance.hpp"

#include "libraries/balancing/events.hpp"
#include "libraries/gateway/answers.hpp"

namespace bulrushspring::gateway
{
namespace
{

balancing::answer_kind kind_of(attempt_outcome outcome)
{
    switch (outcome) {
    case attempt_outcome::succeeded:
        return balancing::answer_kind::success;
    case attempt_outcome::refused:
        return balancing::answer_kind::refusal;
    case attempt_outcome::expired:
        return balancing::answer_kind::expiry;
    default:
        return balancing::answer_kind::failure;
    }
}

void log_change(exchange_step& step, const leaf_state& leaf,
                balancing::change change, duration seen)
{
    constexpr milliseconds min_interval{100};
    const auto now = step.context.now;
    const bool slow = change == balancing::change::became_slow;
    if (slow) {
        step.context.count(metrics::counter::leafs_slow);
    }
    if (now - step.pool.slowness_logged_at < min_interval) {
        return;
    }
    step.pool.slowness_logged_at = now;
    const double ratio =
        balancing::latency_ratio_at(step.pool.settings.balancing, leaf, now);
    step.context.log(
        slow ? make_record(balancing::leaf_slow,
                           field("leaf", leaf.published.id),
                           field("service", leaf.published.service),
                           field("ratio", ratio),
                           field("after_ms", to_milliseconds(seen)))
             : make_record(
                   balancing::leaf_recovered, field("leaf", leaf.published.id),
                   field("service", leaf.published.service),
                   field("ratio", ratio),
                   field("slow_ms", to_milliseconds(now - leaf.slow_since))));
}

void learn_sample(exchange_step& step, const attempt& ended,
                  balancing::answer_kind kind, duration seen)
{
    auto* leaf = find_leaf(step.pool, ended.leaf);
    if (leaf == nullptr) {
        return;
    }
    const auto change = balancing::learn(
        *leaf, {kind, seen, ended.expected_latency, leaf->in_flight},
        step.pool.settings.balancing, step.context.now);
    if (change != balancing::change::none) {
        log_change(step, *leaf, change, seen);
    }
}

} // namespace

void record_performance(exchange_step& step, const attempt& ended,
                        const leaf_reply& reply)
{
    const auto kind = kind_of(outcome_of(ended, reply));
    const duration seen = step.context.now - ended.sent_at;
    // The latency of an expired attempt is at least the time that it took.
    if (kind == balancing::answer_kind::success ||
        kind == balancing::answer_kind::expiry) {
        limits::add(step.state.routes[ended.route].latencies, seen);
        step.context.shared.emit(
            record_duration{metrics::histogram::leaf_latency, seen});
    }
    learn_sample(step, ended, kind, seen);
}

void record_silence(exchange_step& step, const attempt& unanswered)
{
    auto* leaf = find_leaf(step.pool, unanswered.leaf);
    if (leaf == nullptr) {
        return;
    }
    const auto now = step.context.now;
    const auto& settings = step.pool.settings;
    ++leaf->unanswered_hedges;
    // One hedge in ten requests is usual. By the learned model only several in
    // a row show that the leaf is silent.
    constexpr std::uint32_t hedges_of_silent = 2;
    if (!settings.balancing.learned ||
        leaf->unanswered_hedges >= hedges_of_silent) {
        avoid(*leaf, now + settings.hedged_penalty);
    }
    balancing::learn_silence(*leaf, now - unanswered.sent_at,
                             unanswered.expected_latency, settings.balancing,
                             now);
}

void record_given_up(exchange_step& step, const attempt& ended)
{
    const auto now = step.context.now;
    if (auto* leaf = find_leaf(step.pool, ended.leaf)) {
        avoid(*leaf, now + step.pool.settings.failure_penalty);
        leaf->given_up_at = now;
    }
    if (step.pool.settings.balancing.learned) {
        learn_sample(step, ended, balancing::answer_kind::expiry,
                     now - ended.sent_at);
    }
}

void record_load(exchange_step& step, const leaf_connection& connection,
                 const leaf_reply& reply)
{
    auto* leaf = find_leaf(step.pool, connection.leaf);
    if (reply.load && leaf != nullptr &&
        connection.incarnation == leaf->incarnations &&
        step.pool.settings.balancing.learned) {
        balancing::learn_load(*leaf, *reply.load, step.context.now);
    }
}

} // namespace bulrushspring::gateway
