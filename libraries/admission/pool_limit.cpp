#include "libraries/admission/pool_limit.hpp"

#include <algorithm>
#include <cmath>

namespace bulrushspring::admission
{
namespace
{

void lower(pool_limit& value, const limit_options& options)
{
    value.limit = std::max(1.0, value.limit * options.decrease);
}

// Lowers the limit because of latency alone, unless earlier decreases had no
// effect: a slow shard does not become faster with fewer requests, and the rest
// of the pool would be left idle.
limit_change lower_for_latency(pool_limit& value, const limit_options& options,
                               double ratio)
{
    // A limit that was not fully used did not cause the latency. It is not
    // lowered below the peak in use.
    if (!value.fully_used) {
        const double peak = value.peak;
        value.limit = std::max({1.0, value.limit * options.decrease, peak});
        return limit_change::lowered;
    }
    const bool ineffective =
        value.previous_ratio > 0.0 &&
        ratio > value.previous_ratio * options.effective_ratio;
    value.ineffective_steps = ineffective ? value.ineffective_steps + 1 : 0;
    if (value.ineffective_steps >= options.max_ineffective_steps) {
        value.ineffective_steps = 0;
        value.previous_ratio = 0.0;
        return limit_change::baseline_raised;
    }
    value.previous_ratio = ratio;
    lower(value, options);
    return limit_change::lowered;
}

limit_decision decide(pool_limit& value, const limit_options& options)
{
    limit_decision decision;
    decision.congested_share =
        static_cast<double>(value.congested) / value.samples;
    if (value.latency_samples > 0) {
        decision.latency_ratio = value.ratio_sum / value.latency_samples;
    }
    if (decision.congested_share > options.congested_share) {
        lower(value, options);
        decision.change = limit_change::lowered;
        return decision;
    }
    if (decision.latency_ratio > options.max_latency_ratio) {
        decision.change =
            lower_for_latency(value, options, decision.latency_ratio);
        return decision;
    }
    value.previous_ratio = 0.0;
    value.ineffective_steps = 0;
    if (value.fully_used && value.limit < options.max_limit) {
        value.limit =
            std::min(options.max_limit, value.limit + std::sqrt(value.limit));
        decision.change = limit_change::raised;
    }
    return decision;
}

} // namespace

bool has_room(const pool_limit& value)
{
    return value.in_flight < static_cast<std::uint32_t>(value.limit);
}

void acquire(pool_limit& value)
{
    ++value.in_flight;
    value.peak = std::max(value.peak, value.in_flight);
    value.fully_used = value.fully_used || !has_room(value);
}

void release(pool_limit& value)
{
    --value.in_flight;
}

limit_decision add_sample(pool_limit& value, const limit_options& options,
                          const limit_sample& sample)
{
    ++value.samples;
    value.congested += sample.congested ? 1 : 0;
    if (sample.latency_ratio > 0.0) {
        ++value.latency_samples;
        value.ratio_sum += sample.latency_ratio;
    }
    const auto window_size =
        std::clamp(static_cast<std::uint32_t>(value.limit), options.min_samples,
                   options.max_samples);
    if (value.samples < window_size) {
        return {};
    }
    const auto decision = decide(value, options);
    value.samples = 0;
    value.congested = 0;
    value.latency_samples = 0;
    value.ratio_sum = 0.0;
    value.fully_used = false;
    value.peak = value.in_flight;
    return decision;
}

} // namespace bulrushspring::admission
