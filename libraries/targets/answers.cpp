#include "libraries/targets/answers.hpp"

#include "libraries/targets/events.hpp"

#include <algorithm>

namespace bulrushspring::targets
{
namespace
{

// Weights of a new answer in the moving averages of a leaf and of a pool.
constexpr double leaf_average_weight = 0.3;
constexpr double pool_average_weight = 1.0 / 64;
// A leaf's average latency is restarted if its last answer is older than this.
constexpr duration max_latency_age = seconds{1};
// A leaf whose latency exceeds its pool's median by this factor is a straggler.
// It is sent a trial request after an interval that doubles, between the two
// bounds, with each answer that is still slow.
constexpr std::int64_t straggler_factor = 4;
constexpr duration min_trial_interval = seconds{5};
constexpr duration max_trial_interval = seconds{60};
// Number of answers after which the pool's quantiles are computed again.
constexpr std::uint32_t answers_per_update = 64;
// The hedge delay is the 98th percentile of the latencies or, if stragglers
// make that long, twice the 90th, but at least the 95th: so 2% to 5% of
// attempts are hedged.
constexpr double base_hedge_quantile = 0.90;
constexpr double min_hedge_quantile = 0.95;
constexpr double max_hedge_quantile = 0.98;
constexpr duration min_hedge_delay = milliseconds{2};
// Hedging is disabled above these shares of recent answers, and enabled again
// once both shares are below half of them.
constexpr double max_overload_share = 0.15;
constexpr double max_late_share = 0.25;

void update_average(double& average, double value, double weight)
{
    average += weight * (value - average);
}

bool shows_overload(const leaf_state& leaf, const leaf_answer& answer)
{
    return answer.status == leaf_status::shed ||
           answer.status == leaf_status::deadline_passed ||
           answer.queued > leaf.slots;
}

bool is_error(leaf_status status)
{
    return status == leaf_status::shed || status == leaf_status::failed ||
           status == leaf_status::deadline_passed;
}

void update_limit(leaf_state& leaf, const leaf_answer& answer, boot_time now)
{
    if (answer.status == leaf_status::shed ||
        answer.status == leaf_status::deadline_passed) {
        limits::decrease(leaf.limit, limits::shed_decrease_factor, now);
        return;
    }
    if (answer.queued > leaf.slots) {
        limits::decrease(leaf.limit, limits::queue_decrease_factor, now);
        return;
    }
    const bool in_use =
        static_cast<double>(leaf.in_flight) + 2 > leaf.limit.limit;
    if (answer.status == leaf_status::answered && in_use && leaf.warm) {
        limits::increase(leaf.limit,
                         static_cast<double>(leaf.connections.size()));
    }
}

void update_latency(leaf_state& leaf, const leaf_answer& answer,
                    duration latency, boot_time now)
{
    // The latency of a cancelled attempt is a lower bound: it counts only if
    // it raises the average.
    const bool cancelled = answer.status == leaf_status::cancelled;
    if (cancelled && latency <= leaf.latency) {
        return;
    }
    if (answer.status != leaf_status::answered && !cancelled) {
        return;
    }
    const bool outdated = now - leaf.answered_at > max_latency_age;
    if (leaf.latency == duration{0} || outdated) {
        leaf.latency = latency;
    } else {
        const auto step = static_cast<double>((latency - leaf.latency).count());
        leaf.latency +=
            duration{static_cast<duration::rep>(leaf_average_weight * step)};
    }
    leaf.latency = std::max(leaf.latency, duration{1});
    leaf.answered_at = now;
}

void update_trial_interval(leaf_state& leaf, const pool_state& pool)
{
    const bool slow = pool.median_latency > duration{0} &&
                      leaf.latency > straggler_factor * pool.median_latency;
    leaf.trial_interval =
        slow ? std::min(2 * leaf.trial_interval, max_trial_interval)
             : min_trial_interval;
    leaf.trial_interval = std::max(leaf.trial_interval, min_trial_interval);
}

void update_hedge_delay(pool_state& pool)
{
    if (pool.answers_until_update > 0) {
        --pool.answers_until_update;
        return;
    }
    pool.answers_until_update = answers_per_update;
    const auto& latencies = pool.latencies;
    const auto preferred =
        std::min(quantile(latencies, max_hedge_quantile),
                 2 * quantile(latencies, base_hedge_quantile));
    pool.hedge_delay = std::max(
        {preferred, quantile(latencies, min_hedge_quantile), min_hedge_delay});
    pool.median_latency = quantile(latencies, 0.5);
}

void update_hedging(pool_state& pool, const std::string& name, context& context)
{
    const double threshold_factor = pool.hedging_enabled ? 1.0 : 0.5;
    const bool helps =
        pool.overload_share <= threshold_factor * max_overload_share &&
        pool.late_share <= threshold_factor * max_late_share;
    if (helps == pool.hedging_enabled) {
        return;
    }
    pool.hedging_enabled = helps;
    context.emit(write_log{make_record(helps ? hedging_on : hedging_off,
                                       field("pool", name),
                                       field("overloaded", pool.overload_share),
                                       field("late", pool.late_share))});
}

void update_pool_statistics(pool_state& pool, const leaf_state& leaf,
                            const leaf_answer& answer, duration latency,
                            context& context)
{
    const bool overload = shows_overload(leaf, answer);
    update_average(pool.overload_share, overload ? 1 : 0, pool_average_weight);
    const bool has_latency = answer.status == leaf_status::answered ||
                             answer.status == leaf_status::cancelled;
    if (has_latency) {
        const bool known = pool.hedge_delay > duration{0};
        const bool late = known && latency > pool.hedge_delay;
        update_average(pool.late_share, late ? 1 : 0, pool_average_weight);
        limits::add(pool.latencies, latency);
        update_hedge_delay(pool);
    }
    update_hedging(pool, leaf.pool, context);
}

} // namespace

void record_unusable_answer(leaf_state& leaf, boot_time now)
{
    update_average(leaf.error_rate, 1, leaf_average_weight);
    leaf.answered_at = now;
}

void record_answer(state& self, leaf_state& leaf, const leaf_answer& answer,
                   duration latency, context& context)
{
    update_limit(leaf, answer, context.now);
    update_latency(leaf, answer, latency, context.now);
    if (answer.status != leaf_status::draining) {
        update_average(leaf.error_rate, is_error(answer.status) ? 1 : 0,
                       leaf_average_weight);
        leaf.answered_at = context.now;
    }
    const auto pool = self.pools.find(leaf.pool);
    if (pool != self.pools.end()) {
        update_pool_statistics(pool->second, leaf, answer, latency, context);
        update_trial_interval(leaf, pool->second);
    }
}

} // namespace bulrushspring::targets
