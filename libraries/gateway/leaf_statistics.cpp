#include "libraries/gateway/leaf_statistics.hpp"

#include "libraries/limits/decay.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

constexpr double min_latency_ratio = 0.2;
constexpr double max_latency_ratio = 30.0;

} // namespace

double latency_ratio_at(const pool_options& settings, const leaf_state& leaf,
                        boot_time now)
{
    return 1.0 + (leaf.latency_ratio - 1.0) *
                     limits::decay_factor(now - leaf.sampled_at,
                                          settings.latency_half_life);
}

double refusal_rate_at(const pool_options& settings, const leaf_state& leaf,
                       boot_time now)
{
    return leaf.refusal_rate * limits::decay_factor(now - leaf.refusals_at,
                                                    settings.refusal_half_life);
}

void update_latency_ratio(leaf_state& leaf, duration seen, duration expected,
                          const pool_options& settings, boot_time now)
{
    if (expected <= duration{0}) {
        return;
    }
    const double ratio = std::clamp(static_cast<double>(seen.count()) /
                                        static_cast<double>(expected.count()),
                                    min_latency_ratio, max_latency_ratio);
    const double previous = latency_ratio_at(settings, leaf, now);
    constexpr double weight_of_newest = 0.3;
    leaf.latency_ratio = previous + weight_of_newest * (ratio - previous);
    leaf.sampled_at = now;
}

void update_refusal_rate(leaf_state& leaf, attempt_outcome outcome,
                         const pool_options& settings, boot_time now)
{
    constexpr double weight_of_newest = 0.2;
    const double previous = refusal_rate_at(settings, leaf, now);
    leaf.refusal_rate =
        previous +
        weight_of_newest *
            ((outcome == attempt_outcome::succeeded ? 0.0 : 1.0) - previous);
    leaf.refusals_at = now;
}

void adapt_concurrency_limit(leaf_state& leaf, attempt_outcome outcome,
                             duration seen, duration expected,
                             const pool_options& settings, boot_time now)
{
    const double ratio = expected > duration{0}
                             ? static_cast<double>(seen.count()) /
                                   static_cast<double>(expected.count())
                             : 1.0;
    const bool paced = leaf.limit.limit < limits::min_concurrency;
    if (outcome == attempt_outcome::refused) {
        limits::decrease(leaf.limit, limits::shed_decrease_factor, now,
                         limits::min_paced_concurrency);
    } else if (outcome != attempt_outcome::succeeded) {
        limits::decrease(leaf.limit, limits::shed_decrease_factor, now);
    } else if (ratio > settings.queueing_latency_ratio && !paced) {
        limits::decrease(leaf.limit, limits::queue_decrease_factor, now);
    } else if (leaf.in_flight + 2 > leaf.limit.limit) {
        limits::increase(leaf.limit, settings.max_in_flight);
    }
    limits::pace(leaf.limit, seen, now);
}

void avoid(leaf_state& leaf, boot_time until)
{
    leaf.avoid_until = std::max(leaf.avoid_until, until);
}

} // namespace bulrushspring::gateway
