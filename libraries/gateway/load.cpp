#include "libraries/gateway/load.hpp"

#include <algorithm>
#include <cmath>

namespace bulrushspring::gateway
{

bool note_lag(load_state& load, duration lag, boot_time now)
{
    const auto& settings = load.settings;
    const auto step = std::min(now - load.noted_at, settings.most_step);
    load.noted_at = now;
    const double kept =
        std::exp2(-static_cast<double>(step.count()) /
                  static_cast<double>(settings.half_life.count()));
    const auto seen =
        static_cast<double>(std::min(lag, settings.most_lag).count());
    load.lag = kept * load.lag + (1.0 - kept) * seen;
    const auto bound =
        load.overloaded ? settings.calm_lag : settings.overloaded_lag;
    const bool over = load.lag > static_cast<double>(bound.count());
    if (over == load.overloaded ||
        (load.overloaded && now - load.changed_at < settings.least_hold)) {
        return false;
    }
    load.overloaded = over;
    load.changed_at = now;
    return true;
}

} // namespace bulrushspring::gateway
