#ifndef BULRUSHSPRING_LIBRARIES_ADMISSION_POOL_LIMIT_HPP
#define BULRUSHSPRING_LIBRARIES_ADMISSION_POOL_LIMIT_HPP

#include "base/time.hpp"

#include <cstdint>

namespace bulrushspring::admission
{

struct limit_options {
    double initial_limit = 4.0; // before the first window is complete
    double max_limit = 1024.0;
    // A window has as many finished requests as the limit, within these bounds.
    std::uint32_t min_samples = 20;
    std::uint32_t max_samples = 200;
    double congested_share = 0.1;   // a higher share lowers the limit
    double max_latency_ratio = 2.0; // of latency to its baseline
    double decrease = 0.9;          // factor applied when the limit is lowered
    // After this many ineffective decreases in a row the baseline is raised.
    std::uint32_t max_ineffective_steps = 3;
    // A decrease is effective if it reduces the latency to at most this share.
    double effective_ratio = 0.95;
};

// The number of requests of a pool that may be in flight, adjusted by the
// answers of its targets: raised by its square root after a window in which it
// was fully used and the targets were not overloaded, lowered by a tenth when
// targets refuse requests or slow down.
struct pool_limit {
    double limit = 0.0;
    std::uint32_t in_flight = 0;

    // The current window.
    std::uint32_t samples = 0;
    std::uint32_t congested = 0;
    std::uint32_t latency_samples = 0; // samples with a latency ratio
    double ratio_sum = 0.0;            // sum of these ratios
    std::uint32_t peak = 0;            // maximum in flight
    bool fully_used = false; // whether `in_flight` has reached the limit

    // Decreases because of latency alone.
    double previous_ratio = 0.0; // at the last decrease; 0: none
    std::uint32_t ineffective_steps = 0;
};

enum class limit_change : std::uint8_t {
    none,
    raised,
    lowered,
    // Decreasing the limit does not reduce the latency: the current latency
    // becomes the baseline.
    baseline_raised,
};

// The result of one finished request. A ratio of 0 means that there is no
// comparable latency, as for a partial answer.
struct limit_sample {
    bool congested = false;
    double latency_ratio = 0.0;
};

// The decision at the end of a window and the values that it is based on.
struct limit_decision {
    limit_change change = limit_change::none;
    double congested_share = 0.0;
    double latency_ratio = 0.0;
};

bool has_room(const pool_limit& value);

// Counts a request as in flight. There must be room.
void acquire(pool_limit& value);

// Ends a request in flight.
void release(pool_limit& value);

// Adds the result of a finished request and, at the end of a window, adjusts
// the limit.
limit_decision add_sample(pool_limit& value, const limit_options& options,
                          const limit_sample& sample);

} // namespace bulrushspring::admission

#endif
