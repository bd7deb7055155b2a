#ifndef BULRUSHSPRING_LIBRARIES_LIMITS_WINDOW_BUDGET_HPP
#define BULRUSHSPRING_LIBRARIES_LIMITS_WINDOW_BUDGET_HPP

#include "base/time.hpp"

#include <array>
#include <cstdint>

namespace bulrushspring::limits
{

// Counts events per time slot over a sliding window. One slot more than the
// window's length is kept, so that no span of that length holds more events
// than are counted.
struct window_counter {
    static constexpr std::size_t slots = 21; // 20 cover the window, plus one

    std::array<std::uint32_t, slots> counts{};
    // Index of the newest slot, counted from the clock's epoch.
    std::int64_t newest_slot = 0;
    std::uint32_t total = 0;
};

// Drops the counts that have left the window, then adds `amount` to the
// newest slot.
void add(window_counter& counter, boot_time now, duration window,
         std::uint32_t amount);

// Limits the extra attempts, that is hedges and retries, of requests to one
// service. In any window there are at most `ratio` times as many as first
// attempts counted in the same window, plus `slack`. If the daemons' shares add
// up to the site-wide limit, all daemons together keep within that limit.
struct window_budget {
    window_counter first_attempts;
    window_counter extra_attempts;
};

struct window_limits {
    duration window = seconds{10};
    double ratio = 0.0;
    double slack = 0.0; // extra attempts per window; this daemon's share
};

// Counts a first attempt.
void count_first_attempt(window_budget& budget, const window_limits& limits,
                         boot_time now);

// The number of extra attempts that may be sent now.
double remaining(window_budget& budget, const window_limits& limits,
                 boot_time now);

// Counts an extra attempt. Returns false and counts nothing if less than one is
// left beyond `reserve`, a share from 0 to 1 of what the window allows.
bool spend(window_budget& budget, const window_limits& limits, boot_time now,
           double reserve = 0.0);

// Reverses `spend` for an extra attempt that was not sent.
void refund(window_budget& budget, const window_limits& limits, boot_time now);

} // namespace bulrushspring::limits

#endif
