#ifndef BULRUSHSPRING_LIBRARIES_TARGETS_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_TARGETS_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::targets
{

inline constexpr event_definition pool_placed = {
    4001, severity::info, "pool_placed",
    "pool manifest leafs held connections share mode",
    "After a new manifest, this daemon chose the leafs of a pool to which it "
    "holds connections, and how many: all leafs (mode=all), or two replicas "
    "of each shard (mode=subset)."};
inline constexpr event_definition shards_without_place = {
    4002, severity::warning, "shards_without_place", "pool shards",
    "The connection limits of a pool are too low for its fleet: this daemon "
    "is connected to no replica of some shards. Raise `connections` or add "
    "replicas."};
inline constexpr event_definition connection_ready = {
    4003, severity::info, "connection_ready", "leaf connection cold",
    "A connection was opened and its first health probe was answered."};
inline constexpr event_definition connection_lost = {
    4004, severity::warning, "connection_lost", "leaf connection cause",
    "A connection ended that this daemon did not close."};
inline constexpr event_definition connection_silent = {
    4005, severity::warning, "connection_silent",
    "leaf connection phase silent_ms",
    "A connection timed out waiting for an answer. It was closed and a new "
    "one is opened; the leaf is not considered failed yet."};
inline constexpr event_definition leaf_unreachable = {
    4006, severity::warning, "leaf_unreachable", "leaf failures retry_ms cause",
    "Several connections to a leaf in a row could not be opened or broke in "
    "use. New ones are opened with backoff."};
inline constexpr event_definition leaf_now_leaving = {
    4007, severity::info, "leaf_now_leaving", "leaf source",
    "The named source reports that a leaf is leaving: it is sent no new "
    "requests."};
inline constexpr event_definition leaf_returned = {
    4008, severity::info, "leaf_returned", "leaf evidence",
    "A leaf that was leaving has returned; its load is raised gradually."};
inline constexpr event_definition answer_without_attempt = {
    4009, severity::warning, "answer_without_attempt",
    "connection attempt status",
    "A leaf's answer matched no attempt in flight on its connection: it was "
    "late, duplicated or mismatched. It was dropped."};
inline constexpr event_definition hedging_off = {
    4010, severity::warning, "hedging_off", "pool overloaded late",
    "A whole pool is overloaded or slow, so hedged requests would only add "
    "load and are suspended. The fields are shares of recent answers."};
inline constexpr event_definition hedging_on = {
    4011, severity::info, "hedging_on", "pool overloaded late",
    "The pool has recovered: hedged requests are sent again."};
inline constexpr event_definition pool_gone = {
    4012, severity::info, "pool_gone", "pool",
    "The manifest no longer contains a pool: its connections are closed."};
inline constexpr event_definition answer_unusable = {
    4013, severity::warning, "answer_unusable", "leaf connection cause",
    "A leaf sent bytes that are no answer, or more than an answer may hold; "
    "`cause` has what was expected and found. The connection was closed. "
    "Whether the leaf ran the request on it is unknown."};

inline constexpr std::array all_events = {
    &pool_placed,      &shards_without_place, &connection_ready,
    &connection_lost,  &connection_silent,    &leaf_unreachable,
    &leaf_now_leaving, &leaf_returned,        &answer_without_attempt,
    &hedging_off,      &hedging_on,           &pool_gone,
    &answer_unusable,
};

} // namespace bulrushspring::targets

#endif
