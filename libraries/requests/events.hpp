#ifndef BULRUSHSPRING_LIBRARIES_REQUESTS_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_REQUESTS_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::requests
{

inline constexpr event_definition read_routed{
    6001, severity::info, "read_routed",
    "service request leaf snapshot shard attempt why",
    "A single read was sent to a leaf; why is first, hedge or retry."};

inline constexpr event_definition request_routed{
    6002, severity::info, "request_routed",
    "service request leaf snapshot shard attempt why",
    "A non-idempotent request was sent to a leaf; why is first, or retry "
    "after another leaf provably did not run it."};

inline constexpr event_definition attempt_failed{
    6003, severity::warning, "attempt_failed",
    "service request leaf attempt reason run",
    "A leaf refused the attempt, failed, or its connection was lost; run "
    "says whether the attempt was run."};

inline constexpr event_definition request_refused{
    6004, severity::warning, "request_refused",
    "service request caller sending reason run retry_after_ms",
    "A read or non-idempotent request got a final refusal. run=unknown means "
    "that an earlier attempt of the caller with the same id may have run."};

inline constexpr event_definition request_outcome_unknown{
    6005, severity::warning, "request_outcome_unknown",
    "service request tried reason",
    "A request was sent to a leaf and its outcome is unknown. The caller was "
    "told so at once; a non-idempotent request is not sent again."};

inline constexpr event_definition request_joined{
    6006, severity::info, "request_joined", "service request caller sending",
    "A repeat of a non-idempotent request waits for the answer of the one in "
    "progress."};

inline constexpr event_definition request_recalled{
    6007, severity::info, "request_recalled",
    "service request caller sending status",
    "A repeat of a non-idempotent request was answered from its record."};

inline constexpr event_definition request_outcome_learned{
    6008, severity::info, "request_outcome_learned",
    "request leaf attempt status",
    "A leaf's answer arrived after the caller was told that the outcome is "
    "unknown. A repeat of the request gets it."};

inline constexpr event_definition answer_mismatched{
    6009, severity::error, "answer_mismatched",
    "request leaf attempt echoed_request echoed_snapshot echoed_shard",
    "A leaf's answer on an attempt was for another request, snapshot or "
    "shard, or contradicts itself. It was dropped and none of its content "
    "used."};

inline constexpr std::array all_events = {
    &read_routed,      &request_routed,          &attempt_failed,
    &request_refused,  &request_outcome_unknown, &request_joined,
    &request_recalled, &request_outcome_learned, &answer_mismatched};

} // namespace bulrushspring::requests

#endif
