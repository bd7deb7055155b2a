#ifndef BULRUSHSPRING_LIBRARIES_OVERLOAD_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_OVERLOAD_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::overload
{

inline constexpr event_definition arrival_rejected{
    10201, severity::warning, "arrival_rejected",
    "request service caller_waits ahead expected_ms retry_after_ms",
    "A request was rejected on arrival: `ahead` waiting requests go before it, "
    "and its turn in `expected_ms` is too late for an answer in time. "
    "`caller_waits` counts the waiting requests of the same caller."};
inline constexpr event_definition waiting_rejected{
    10202, severity::warning, "waiting_rejected",
    "request service waited_ms waiting retry_after_ms",
    "A waiting request was rejected without an attempt: the usual latency no "
    "longer fits into its time. `waiting` counts the requests that still "
    "wait."};

inline constexpr std::array all_events = {&arrival_rejected, &waiting_rejected};

} // namespace bulrushspring::overload

#endif
