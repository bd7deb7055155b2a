#ifndef BULRUSHSPRING_LIBRARIES_ADMISSION_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_ADMISSION_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::admission
{

inline constexpr event_definition request_refused{
    7001, severity::warning, "admission_refused",
    "service caller request reason wait_ms left_ms retry_after_ms",
    "A request was refused before any attempt at a target because its "
    "deadline could not be met, a queue was full or its service is unknown. "
    "Unless the service is unknown, the answer says when to retry."};

inline constexpr event_definition request_expired{
    7002, severity::warning, "admission_gave_up",
    "service caller request waited_ms retry_after_ms",
    "A queued request was refused because it could no longer meet its "
    "deadline. No attempt was sent to a target."};

inline constexpr event_definition limit_lowered{
    7003, severity::warning, "admission_limit_lowered",
    "pool limit congested latency_ratio",
    "The pool's limit on concurrent requests was decreased because its targets "
    "refuse, time out or have become slower."};

inline constexpr event_definition limit_raised{
    7004, severity::info, "admission_limit_raised", "pool limit",
    "The pool's limit on concurrent requests was increased because it was "
    "fully used and the pool's targets answered at their baseline latency."};

inline constexpr event_definition baseline_moved{
    7005, severity::info, "admission_baseline_moved", "pool service latency_ms",
    "Decreasing the limit did not make the targets faster, so their latency is "
    "not caused by load. The current latency becomes the baseline."};

inline constexpr std::array all_events = {&request_refused, &request_expired,
                                          &limit_lowered, &limit_raised,
                                          &baseline_moved};

} // namespace bulrushspring::admission

#endif
