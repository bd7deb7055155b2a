#ifndef BULRUSHSPRING_FAKES_LIMITS_RATE_CHECK_HPP
#define BULRUSHSPRING_FAKES_LIMITS_RATE_CHECK_HPP

#include "base/time.hpp"

#include <deque>

// Checks the arrivals at a leaf that states a rate against the users' rule:
// after a grace time, a leaf may get in each window half as much again as it
// has stated, and five requests more.
namespace bulrushspring
{

struct rate_check {
    duration grace = seconds{4};
    duration window = seconds{4};
    std::deque<boot_time> arrivals = {}; // in the current window
    // The most arrivals of a window beyond what the rule allows.
    std::size_t excess = 0;
    // The most arrivals of a window.
    std::size_t most = 0;
};

// Counts a request that arrives now. The leaf has stated `per_second` since the
// given time.
void count_arrival(rate_check&, double per_second, boot_time stated_since,
                   boot_time now);

// Called for a request that arrives while the leaf states no rate.
void forget_arrivals(rate_check&);

} // namespace bulrushspring

#endif
