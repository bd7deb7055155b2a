#include "libraries/gateway/leaf_evidence.hpp"

#include <algorithm>
#include <cmath>

namespace bulrushspring::gateway
{
namespace
{

constexpr double least_slowness = 0.2;
constexpr double most_slowness = 30.0;

double decayed(double value, boot_time since, boot_time now, duration half_life)
{
    const double halvings = static_cast<double>((now - since).count()) /
                            static_cast<double>(half_life.count());
    return value * std::exp2(-halvings);
}

} // namespace

double slowness_at(const pool_options& settings, const leaf_state& leaf,
                   boot_time now)
{
    return 1.0 + decayed(leaf.slowness - 1.0, leaf.sampled_at, now,
                         settings.deviation_half_life);
}

double refusals_at(const pool_options& settings, const leaf_state& leaf,
                   boot_time now)
{
    return decayed(leaf.refusals, leaf.refusals_at, now,
                   settings.refusal_half_life);
}

void note_latency(leaf_state& leaf, duration seen, duration expected,
                  const pool_options& settings, boot_time now)
{
    if (expected <= duration{0}) {
        return;
    }
    const double ratio = std::clamp(static_cast<double>(seen.count()) /
                                        static_cast<double>(expected.count()),
                                    least_slowness, most_slowness);
    const double before = slowness_at(settings, leaf, now);
    constexpr double weight_of_newest = 0.3;
    leaf.slowness = before + weight_of_newest * (ratio - before);
    leaf.sampled_at = now;
}

void note_outcome(leaf_state& leaf, bool ran, const pool_options& settings,
                  boot_time now)
{
    constexpr double weight_of_newest = 0.2;
    const double before = refusals_at(settings, leaf, now);
    leaf.refusals = before + weight_of_newest * ((ran ? 0.0 : 1.0) - before);
    leaf.refusals_at = now;
}

void adapt_limit(leaf_state& leaf, bool ran, duration seen, duration expected,
                 const pool_options& settings, boot_time now)
{
    if (!ran) {
        limits::decrease(leaf.limit, limits::kept_after_shed, now);
        return;
    }
    const double ratio = expected > duration{0}
                             ? static_cast<double>(seen.count()) /
                                   static_cast<double>(expected.count())
                             : 1.0;
    if (ratio > settings.queueing_factor) {
        limits::decrease(leaf.limit, limits::kept_after_queue, now);
    } else if (leaf.in_flight + 2 > leaf.limit.allowed) {
        limits::increase(leaf.limit, settings.most_in_flight);
    }
}

void avoid(leaf_state& leaf, boot_time until)
{
    leaf.avoid_until = std::max(leaf.avoid_until, until);
}

} // namespace bulrushspring::gateway
