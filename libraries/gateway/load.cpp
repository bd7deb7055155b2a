#include "libraries/gateway/load.hpp"

#include "libraries/limits/decay.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{

bool record_lag(load_state& load, duration lag, boot_time now)
{
    const auto& settings = load.settings;
    const auto step = std::min(now - load.sampled_at, settings.max_step);
    load.sampled_at = now;
    const double kept = limits::decay_factor(step, settings.half_life);
    const auto sample =
        static_cast<double>(std::min(lag, settings.max_lag).count());
    load.lag = kept * load.lag + (1.0 - kept) * sample;
    const auto threshold = load.overloaded ? settings.recovery_threshold
                                           : settings.overload_threshold;
    const bool over = load.lag > static_cast<double>(threshold.count());
    if (over == load.overloaded ||
        (load.overloaded && now - load.changed_at < settings.min_hold)) {
        return false;
    }
    load.overloaded = over;
    load.changed_at = now;
    return true;
}

} // namespace bulrushspring::gateway
