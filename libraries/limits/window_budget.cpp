#include "libraries/limits/window_budget.hpp"

#include <algorithm>

namespace bulrushspring::limits
{
namespace
{

std::int64_t slot_index(boot_time now, duration window)
{
    constexpr std::int64_t slots_in_window = window_counter::slots - 1;
    const duration slot_length = window / slots_in_window;
    return now.time_since_epoch() / std::max(slot_length, duration{1});
}

} // namespace

void add(window_counter& counter, boot_time now, duration window,
         std::uint32_t amount)
{
    constexpr auto slots = static_cast<std::int64_t>(window_counter::slots);
    const auto slot = slot_index(now, window);
    const auto advance = std::min(slot - counter.newest_slot, slots);
    for (std::int64_t i = 1; i <= advance; ++i) {
        auto& oldest =
            counter
                .counts[static_cast<std::size_t>((slot - advance + i) % slots)];
        counter.total -= oldest;
        oldest = 0;
    }
    counter.newest_slot = std::max(slot, counter.newest_slot);
    counter.counts[static_cast<std::size_t>(counter.newest_slot % slots)] +=
        amount;
    counter.total += amount;
}

void count_first_attempt(window_budget& budget, const window_limits& limits,
                         boot_time now)
{
    add(budget.first_attempts, now, limits.window, 1);
}

double remaining(window_budget& budget, const window_limits& limits,
                 boot_time now)
{
    add(budget.first_attempts, now, limits.window, 0);
    add(budget.extra_attempts, now, limits.window, 0);
    return limits.ratio * budget.first_attempts.total + limits.slack -
           budget.extra_attempts.total;
}

bool spend(window_budget& budget, const window_limits& limits, boot_time now,
           double reserve)
{
    const double left = remaining(budget, limits, now);
    const double allowed = left + budget.extra_attempts.total;
    if (left - reserve * allowed < 1.0) {
        return false;
    }
    add(budget.extra_attempts, now, limits.window, 1);
    return true;
}

void refund(window_budget& budget, const window_limits& limits, boot_time now)
{
    auto& extra_attempts = budget.extra_attempts;
    add(extra_attempts, now, limits.window, 0);
    auto& newest_count = extra_attempts.counts[static_cast<std::size_t>(
        extra_attempts.newest_slot %
        static_cast<std::int64_t>(window_counter::slots))];
    // An attempt counted in an earlier slot stays counted until that slot
    // leaves the window.
    if (newest_count > 0) {
        --newest_count;
        --extra_attempts.total;
    }
}

} // namespace bulrushspring::limits
