#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::gateway
{

inline constexpr event_definition gateway_started{
    8001, severity::info, "gateway_started",
    "name data_centre incarnation callers peers",
    "The daemon listens at these addresses."};
inline constexpr event_definition table_in_force{
    8002, severity::info, "table_in_force", "version leafs",
    "Requests are routed by this table from now on. With the first one, "
    "callers are served."};
inline constexpr event_definition stop_begun{
    8003, severity::info, "stop_begun", "in_progress until_ms",
    "A planned stop: the daemon is no longer named to callers and serves "
    "those that still use it until then."};
inline constexpr event_definition stop_done{
    8004, severity::info, "stop_done", "waited_ms cut",
    "The planned stop is complete; `cut` requests were still in progress."};
inline constexpr event_definition request_refused{
    8005, severity::warning, "request_refused", "request host reason version",
    "A request was refused before any leaf was asked."};
inline constexpr event_definition request_answered{
    8006, severity::info, "request_answered",
    "request route version outcome covered parts sendings hedges ms "
    "objective_ms left_ms",
    "A request got its final answer. `sendings` counts what leafs were sent "
    "for it, `hedges` those of them that overtook a silent leaf."};
inline constexpr event_definition second_sending{
    8007, severity::info, "second_sending",
    "request route service why leaf after_ms budget_left",
    "A part of a request was sent to a further leaf, because the first one "
    "was silent or failed."};
inline constexpr event_definition budget_spent{
    8008, severity::warning, "budget_spent", "request service",
    "A part was not sent again: the budget for extra requests to the service "
    "is spent."};
inline constexpr event_definition leaf_refused{
    8009, severity::warning, "leaf_refused",
    "request leaf status not_run after_ms",
    "A leaf answered without a success. With not_run=1 it has not run the "
    "request."};
inline constexpr event_definition leaf_broke_off{
    8010, severity::warning, "leaf_broke_off", "request leaf after_ms cause",
    "A connection ended before the answer to what was sent on it. The "
    "request may have run."};
inline constexpr event_definition part_missing{
    8011, severity::warning, "part_missing",
    "request service tried outstanding",
    "The final answer is without this service's part. Outstanding sendings "
    "were still waited for."};
inline constexpr event_definition caller_gone{
    8012, severity::info, "caller_gone", "request route ms",
    "The caller closed its connection before its answer was ready."};
inline constexpr event_definition sending_given_up{
    8013, severity::warning, "sending_given_up", "leaf after_ms",
    "A connection was closed because an answer that nobody waits for did not "
    "come in time."};
inline constexpr event_definition leaf_unreachable{
    8014, severity::warning, "leaf_unreachable", "leaf service address",
    "No connection to a leaf could be opened; it is tried again with growing "
    "pauses."};
inline constexpr event_definition input_refused{
    8015, severity::warning, "input_refused", "status peer",
    "Bytes from a caller were no request, or over a limit."};
inline constexpr event_definition load_changed{
    8016, severity::warning, "load_changed", "overloaded lag_us",
    "Whether timers fire so late that callers are sent to other daemons, as "
    "long as most of those keep up."};

inline constexpr std::array all_events = {
    &gateway_started,  &table_in_force,   &stop_begun,     &stop_done,
    &request_refused,  &request_answered, &second_sending, &budget_spent,
    &leaf_refused,     &leaf_broke_off,   &part_missing,   &caller_gone,
    &sending_given_up, &leaf_unreachable, &input_refused,  &load_changed,
};

} // namespace bulrushspring::gateway

#endif
