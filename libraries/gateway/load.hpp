#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_LOAD_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_LOAD_HPP

#include "base/time.hpp"

// Whether this daemon's processor keeps up, told by how late its timers fire.
namespace bulrushspring::gateway
{

struct load_options {
    // Timers that fire so late on average take a quarter of the shortest
    // objectives, 60 ms.
    duration overloaded_lag = milliseconds{15};
    // It keeps up again at this average.
    duration calm_lag = milliseconds{4};
    // Half of what was seen is forgotten after this time.
    duration half_life = milliseconds{700};
    // One pause of the process, however long, is no overload by itself.
    duration most_lag = milliseconds{60};
    duration most_step = milliseconds{100};
    // Callers come back within a few seconds: the state is kept longer.
    duration least_hold = seconds{8};
};

struct load_state {
    load_options settings;
    double lag = 0; // average, in nanoseconds
    boot_time noted_at{};
    boot_time changed_at{};
    bool overloaded = false;
};

// Takes in how late a timer fired. True if `overloaded` changed by it.
bool note_lag(load_state&, duration lag, boot_time now);

} // namespace bulrushspring::gateway

#endif
