#include "libraries/limits/window_budget.hpp"

#include <algorithm>

namespace bulrushspring::limits
{
namespace
{

std::int64_t slot_of(boot_time now, duration window)
{
    constexpr std::int64_t slots_in_window = window_counter::slots - 1;
    const duration length = window / slots_in_window;
    return now.time_since_epoch() / std::max(length, duration{1});
}

} // namespace

void add(window_counter& counter, boot_time now, duration window,
         std::uint32_t amount)
{
    constexpr auto slots = static_cast<std::int64_t>(window_counter::slots);
    const auto slot = slot_of(now, window);
    const auto steps = std::min(slot - counter.newest, slots);
    for (std::int64_t i = 1; i <= steps; ++i) {
        auto& oldest =
            counter
                .counts[static_cast<std::size_t>((slot - steps + i) % slots)];
        counter.total -= oldest;
        oldest = 0;
    }
    counter.newest = std::max(slot, counter.newest);
    counter.counts[static_cast<std::size_t>(counter.newest % slots)] += amount;
    counter.total += amount;
}

void count_first(window_budget& budget, const window_limits& limits,
                 boot_time now)
{
    add(budget.firsts, now, limits.window, 1);
}

double left(window_budget& budget, const window_limits& limits, boot_time now)
{
    add(budget.firsts, now, limits.window, 0);
    add(budget.extras, now, limits.window, 0);
    return limits.ratio * budget.firsts.total + limits.slack -
           budget.extras.total;
}

bool spend(window_budget& budget, const window_limits& limits, boot_time now)
{
    if (left(budget, limits, now) < 1.0) {
        return false;
    }
    add(budget.extras, now, limits.window, 1);
    return true;
}

void refund(window_budget& budget, const window_limits& limits, boot_time now)
{
    auto& extras = budget.extras;
    add(extras, now, limits.window, 0);
    auto& newest = extras.counts[static_cast<std::size_t>(
        extras.newest % static_cast<std::int64_t>(window_counter::slots))];
    // Taken in an earlier slot: it stays counted until that one is over.
    if (newest > 0) {
        --newest;
        --extras.total;
    }
}

} // namespace bulrushspring::limits
