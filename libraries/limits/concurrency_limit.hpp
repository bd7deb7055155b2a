#ifndef BULRUSHSPRING_LIBRARIES_LIMITS_CONCURRENCY_LIMIT_HPP
#define BULRUSHSPRING_LIBRARIES_LIMITS_CONCURRENCY_LIMIT_HPP

#include "base/time.hpp"

#include <algorithm>
#include <cstdint>

namespace bulrushspring::limits
{

// The number of requests that may be in flight to one leaf, adjusted by
// additive increase and multiplicative decrease (AIMD): increased while the
// leaf keeps up, decreased when it refuses requests or its answers indicate
// queueing. A limit below one is kept on average, by a pause after each
// request: where many daemons share a leaf, one request of each may be more
// than it has slots.
struct concurrency_limit {
    double limit = 1.0;
    boot_time decreased_at{};
    boot_time paced_until{}; // no request is sent before
};

inline constexpr double min_concurrency = 1.0;
// The least limit, of a leaf that refuses every request.
inline constexpr double min_paced_concurrency = 0.1;
// Growth of a limit below one with each answer in time.
inline constexpr double paced_increase_factor = 1.05;
// Factors by which the limit is decreased: after a refusal by the leaf, and
// after an answer that indicates queueing: one that reports more queued work
// than the leaf has slots, or one with a high latency.
inline constexpr double shed_decrease_factor = 0.7;
inline constexpr double queue_decrease_factor = 0.9;
// Minimum time between decreases: answers to requests sent before a decrease do
// not reflect it yet.
inline constexpr duration decrease_interval = milliseconds{20};

// Increases the limit after an answer from a leaf that kept up while the limit
// was in full use. The steps add up to one after as many answers as the limit
// allows in flight.
inline void increase(concurrency_limit& limit, double max)
{
    if (limit.limit < min_concurrency) {
        limit.limit =
            std::min(min_concurrency, limit.limit * paced_increase_factor);
        return;
    }
    limit.limit += 1.0 / std::max(limit.limit, min_concurrency);
    limit.limit = std::clamp(limit.limit, min_concurrency,
                             std::max(max, min_concurrency));
}

// Multiplies the limit by the factor, unless it was decreased less than
// `decrease_interval` ago. It is not decreased below `floor`.
inline void decrease(concurrency_limit& limit, double factor, boot_time now,
                     double floor = min_concurrency)
{
    if (now - limit.decreased_at < decrease_interval) {
        return;
    }
    limit.decreased_at = now;
    limit.limit = std::max(std::min(floor, limit.limit), limit.limit * factor);
}

// Starts the pause after a request that took `took`, if the limit is below one.
inline void pace(concurrency_limit& limit, duration took, boot_time now)
{
    if (limit.limit < min_concurrency) {
        limit.paced_until = now + std::chrono::duration_cast<duration>(
                                      took * (1.0 / limit.limit - 1.0));
    }
}

// Resets the limit to its minimum, for a leaf that is new, has returned or is
// cold.
inline void reset(concurrency_limit& limit)
{
    limit.limit = min_concurrency;
}

// Whether one more request may be sent.
inline bool admits(const concurrency_limit& limit, std::uint32_t in_flight,
                   boot_time now)
{
    return now >= limit.paced_until &&
           static_cast<double>(in_flight) + 1.0 <=
               std::max(limit.limit, min_concurrency) + 1e-9;
}

} // namespace bulrushspring::limits

#endif
