#ifndef BULRUSHSPRING_LIBRARIES_NODE_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_NODE_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::node
{

inline constexpr event_definition process_started{
    1001, severity::info, "process_started",
    "name data_centre incarnation callers peers operators",
    "The daemon listens at these addresses. The incarnation distinguishes this "
    "process from earlier ones of the same name."};
inline constexpr event_definition input_rejected{
    1002, severity::warning, "input_rejected", "step peer cause",
    "Malformed input from the network was dropped. Check the peer that sent "
    "it."};
inline constexpr event_definition shutdown_started{
    1003, severity::info, "shutdown_started", "in_flight wait_ms",
    "A graceful shutdown has begun. Other daemons stop giving callers the "
    "address of this entry, which serves until no caller can still hold it."};
inline constexpr event_definition shutdown_finished{
    1004, severity::info, "shutdown_finished", "waited_ms",
    "No request is in progress and no caller holds this entry's address any "
    "more. The process ends."};
inline constexpr event_definition request_refused{
    1005, severity::info, "request_refused",
    "request service caller reason run",
    "A caller's request was refused on arrival, before any attempt at a "
    "target. The reasons are listed in docs/CALLERS.md."};
inline constexpr event_definition addresses_answered{
    1006, severity::info, "addresses_answered", "data_centre entries",
    "A caller asked which entries to use and was given these, in this order."};
inline constexpr event_definition service_started{
    1007, severity::info, "service_started", "manifest_version",
    "The configuration has been compared with the peers' and the entry now "
    "serves callers."};

inline constexpr std::array all_events = {
    &process_started,   &input_rejected,  &shutdown_started,
    &shutdown_finished, &request_refused, &addresses_answered,
    &service_started,
};

} // namespace bulrushspring::node

#endif
