#ifndef BULRUSHSPRING_LIBRARIES_LIMITS_WINDOW_BUDGET_HPP
#define BULRUSHSPRING_LIBRARIES_LIMITS_WINDOW_BUDGET_HPP

#include "base/time.hpp"

#include <array>
#include <cstdint>

namespace bulrushspring::limits
{

// Counts per time slot over a sliding window. The window covers one slot
// more than its length, so that no span of that length counts more.
struct window_counter {
    static constexpr std::size_t slots = 21; // 20 in the window, and one more

    std::array<std::uint32_t, slots> counts{};
    std::int64_t newest = 0; // number of the newest slot since the clock's 0
    std::uint32_t total = 0;
};

// What is over the ends of the window is forgotten; then `amount` is added.
void add(window_counter& counter, boot_time now, duration window,
         std::uint32_t amount);

// Bounds the extra requests to one service, second sends and repeats alike.
// In any window they stay below `ratio` of the first requests counted in the
// same window plus `slack`, so that shares of one site-wide limit that add
// up to the whole keep it.
struct window_budget {
    window_counter firsts;
    window_counter extras;
};

struct window_limits {
    duration window = seconds{10};
    double ratio = 0.0;
    double slack = 0.0; // this daemon's share
};

void count_first(window_budget& budget, const window_limits& limits,
                 boot_time now);

// How many more extra requests may be sent now.
double left(window_budget& budget, const window_limits& limits, boot_time now);

// Takes one extra request; false, and nothing taken, if there is none left.
bool spend(window_budget& budget, const window_limits& limits, boot_time now);

// Gives back what was taken for an extra request that was not sent.
void refund(window_budget& budget, const window_limits& limits, boot_time now);

} // namespace bulrushspring::limits

#endif
