#include "libraries/balancing/performance.hpp"

#include "libraries/limits/decay.hpp"

#include <algorithm>
#include <cmath>

namespace bulrushspring::balancing
{
namespace
{

constexpr double min_latency_ratio = 0.2;
constexpr double max_latency_ratio = 30.0;
// Latency alone does not lower the limit further: if all leafs become slow, the
// usual latency follows late, and requests would find no leaf until then.
constexpr double min_limit_of_slow = 2.0;

// Observed over expected latency.
double ratio_of(const sample& sample)
{
    return static_cast<double>(sample.seen.count()) /
           static_cast<double>(sample.expected.count());
}

double clamped_ratio_of(const sample& sample)
{
    return std::clamp(ratio_of(sample), min_latency_ratio, max_latency_ratio);
}

void update_latency_ratio(performance& leaf, const sample& sample,
                          const options& settings, boot_time now)
{
    const double ratio = clamped_ratio_of(sample);
    const double previous = latency_ratio_at(settings, leaf, now);
    constexpr double weight_of_newest = 0.3;
    leaf.latency_ratio = previous + weight_of_newest * (ratio - previous);
    leaf.sampled_at = now;
}

void update_refusal_rate(performance& leaf, answer_kind kind,
                         const options& settings, boot_time now)
{
    constexpr double weight_of_newest = 0.2;
    const double previous = refusal_rate_at(settings, leaf, now);
    leaf.refusal_rate =
        previous + weight_of_newest *
                       ((kind == answer_kind::success ? 0.0 : 1.0) - previous);
    leaf.refusals_at = now;
}

void adapt_concurrency_limit(performance& leaf, const sample& sample,
                             const options& settings, boot_time now)
{
    const double ratio = sample.expected > duration{0} ? ratio_of(sample) : 1.0;
    const bool paced = leaf.limit.limit < limits::min_concurrency;
    const bool queueing =
        settings.learned ? leaf.latency.recent > std::log(settings.slow_ratio)
                         : ratio > settings.queueing_latency_ratio;
    if (sample.kind == answer_kind::refusal) {
        limits::decrease(leaf.limit, limits::shed_decrease_factor, now,
                         limits::min_paced_concurrency);
    } else if (sample.kind != answer_kind::success) {
        limits::decrease(leaf.limit, limits::shed_decrease_factor, now);
    } else if (queueing && !paced) {
        limits::decrease(leaf.limit, limits::queue_decrease_factor, now,
                         settings.learned ? min_limit_of_slow
                                          : limits::min_concurrency);
    } else if (sample.in_flight + 2 > leaf.limit.limit) {
        limits::increase(leaf.limit, settings.max_in_flight);
    }
    limits::pace(leaf.limit, sample.seen, now);
}

change judge(performance& leaf, const options& settings, boot_time now)
{
    const double expected = expected_value(leaf.latency, now);
    if (!leaf.slow && expected > std::log(settings.slow_ratio)) {
        leaf.slow = true;
        leaf.slow_since = now;
        return change::became_slow;
    }
    if (leaf.slow && expected < std::log(settings.recovered_ratio)) {
        leaf.slow = false;
        return change::recovered;
    }
    return change::none;
}

} // namespace

double latency_ratio_at(const options& settings, const performance& leaf,
                        boot_time now)
{
    if (settings.learned) {
        return std::exp(expected_value(leaf.latency, now));
    }
    return 1.0 + (leaf.latency_ratio - 1.0) *
                     limits::decay_factor(now - leaf.sampled_at,
                                          settings.latency_half_life);
}

double refusal_rate_at(const options& settings, const performance& leaf,
                       boot_time now)
{
    return leaf.refusal_rate * limits::decay_factor(now - leaf.refusals_at,
                                                    settings.refusal_half_life);
}

change learn(performance& leaf, const sample& sample, const options& settings,
             boot_time now)
{
    // The latency of an expired attempt is at least the time that it took.
    if (sample.expected > duration{0} && (sample.kind == answer_kind::success ||
                                          sample.kind == answer_kind::expiry)) {
        if (settings.learned) {
            add_sample(leaf.latency, std::log(clamped_ratio_of(sample)), now);
        } else {
            update_latency_ratio(leaf, sample, settings, now);
        }
    }
    update_refusal_rate(leaf, sample.kind, settings, now);
    adapt_concurrency_limit(leaf, sample, settings, now);
    return settings.learned ? judge(leaf, settings, now) : change::none;
}

void learn_silence(performance& leaf, duration waited, duration expected,
                   const options& settings, boot_time now)
{
    if (settings.learned && expected > duration{0}) {
        const sample seen{answer_kind::expiry, waited, expected};
        add_lower_bound(leaf.latency, std::log(clamped_ratio_of(seen)), now);
    }
}

void learn_load(performance& leaf, const load_statement& stated, boot_time now)
{
    constexpr double max_load = 4.0;
    constexpr double percent = 100.0;
    const double used = static_cast<double>(stated.running) + stated.waiting;
    leaf.stated_load = std::min(used / std::max(stated.slots, 1U), max_load);
    leaf.stated_slowness = std::log(std::clamp(
        stated.slowness.value_or(0) / percent, 1.0, max_latency_ratio));
    leaf.stated_at = now;
}

double expected_latency(const performance& leaf, const options& settings,
                        boot_time now)
{
    const double seen = expected_value(leaf.latency, now);
    if (leaf.stated_slowness <= 0) {
        return seen;
    }
    return std::max(seen,
                    leaf.stated_slowness *
                        limits::decay_factor(now - leaf.stated_at,
                                             settings.statement_half_life));
}

void avoid(performance& leaf, boot_time until)
{
    leaf.avoid_until = std::max(leaf.avoid_until, until);
}

} // namespace bulrushspring::balancing
