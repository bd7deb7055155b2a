#include "fakes/limits/rate_check.hpp"

#include <algorithm>
#include <chrono>

namespace bulrushspring
{
namespace
{

constexpr double max_factor = 1.5;
constexpr double max_extra_arrivals = 5;

} // namespace

void count_arrival(rate_check& self, double per_second, boot_time stated_since,
                   boot_time now)
{
    if (now - stated_since < self.grace) {
        self.arrivals.clear();
        return;
    }
    self.arrivals.push_back(now);
    while (now - self.arrivals.front() > self.window) {
        self.arrivals.pop_front();
    }
    const auto allowed = static_cast<std::size_t>(
        max_factor * per_second *
            std::chrono::duration<double>(self.window).count() +
        max_extra_arrivals);
    self.most = std::max(self.most, self.arrivals.size());
    if (self.arrivals.size() > allowed) {
        self.excess = std::max(self.excess, self.arrivals.size() - allowed);
    }
}

void forget_arrivals(rate_check& self)
{
    self.arrivals.clear();
}

} // namespace bulrushspring
