#include "libraries/gateway/caller_times.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// Long enough for some requests that spent nothing to arrive on a quiet route;
// short enough to follow callers that change their deadlines.
constexpr seconds period{30};

} // namespace

duration note_time_left(caller_times& self, duration time_left, boot_time now)
{
    if (time_left <= duration{0}) {
        return duration{0};
    }
    if (now - self.period_began_at >= period) {
        const bool next = now - self.period_began_at < 2 * period;
        self.longest_before = next ? self.longest : duration{0};
        self.longest = duration{0};
        self.period_began_at = now;
    }
    self.longest = std::max(self.longest, time_left);
    return std::max(self.longest, self.longest_before) - time_left;
}

} // namespace bulrushspring::gateway
