#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_LOAD_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_LOAD_HPP

#include "base/time.hpp"

// Detects processor overload of this daemon by the lag of its timers.
namespace bulrushspring::gateway
{

struct load_options {
    // Average lag above which the daemon is overloaded: a quarter of the
    // shortest latency objective, 60 ms.
    duration overload_threshold = milliseconds{15};
    // Average lag at or below which the overload ends.
    duration recovery_threshold = milliseconds{4};
    // Half-life of a sample's weight in the average.
    duration half_life = milliseconds{700};
    // Bounds of one sample's value and of the time it stands for, so that a
    // single pause of the process, however long, does not count as overload.
    duration max_lag = milliseconds{60};
    duration max_step = milliseconds{100};
    // An overload lasts at least this long: callers return within a few seconds
    // of its end, and must not move back and forth.
    duration min_hold = seconds{8};
};

struct load_state {
    load_options settings;
    double lag = 0; // moving average, in nanoseconds
    boot_time sampled_at{};
    boot_time changed_at{};
    bool overloaded = false;
};

// Adds a sample of how late a timer fired. Returns whether `overloaded` has
// changed.
bool record_lag(load_state&, duration lag, boot_time now);

} // namespace bulrushspring::gateway

#endif
