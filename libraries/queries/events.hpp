#ifndef BULRUSHSPRING_LIBRARIES_QUERIES_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_QUERIES_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::queries
{

inline constexpr event_definition query_routed = {
    5001, severity::info, "query_routed",
    "request service snapshot deadline_ms leafs",
    "A query was sent to the leafs listed as SHARD:LEAF. A shard with - as "
    "its leaf waits for a connection."};
inline constexpr event_definition hedge_sent = {
    5002, severity::info, "hedge_sent", "request shard leaf waited_ms tokens",
    "A shard's answer was overdue, so the request was sent to a second leaf. "
    "`tokens` is what remains of the service's retry budget."};
inline constexpr event_definition retry_sent = {
    5003, severity::info, "retry_sent", "request shard leaf reason tokens",
    "An attempt failed or was refused, so the shard was requested again."};
inline constexpr event_definition query_restarted = {
    5004, severity::info, "query_restarted", "request from to discarded",
    "The snapshot of a query is no longer available. The query was restarted "
    "on the newer one, and the results of the shards covered so far were "
    "discarded."};
inline constexpr event_definition answer_incomplete = {
    5005, severity::warning, "answer_incomplete",
    "request service status snapshot covered shards missing",
    "An answer does not cover all shards. The missing ones are listed as "
    "SHARD:REASON."};
inline constexpr event_definition answer_dropped = {
    5006, severity::warning, "answer_dropped", "request shard leaf cause",
    "A leaf's answer was for another request, snapshot or shard than the one "
    "requested. It was dropped."};
inline constexpr event_definition body_malformed = {
    5007, severity::warning, "body_malformed", "request shard leaf",
    "The body of a leaf's answer does not consist of lines SCORE<TAB>TEXT. "
    "The attempt counts as failed."};
inline constexpr event_definition query_refused = {
    5008, severity::warning, "query_refused", "request service reason",
    "A query was refused before any leaf was sent a request."};
inline constexpr event_definition query_abandoned = {
    5009, severity::info, "query_abandoned", "request outstanding",
    "The caller disconnected before the answer. The outstanding attempts were "
    "cancelled."};

inline constexpr std::array all_events = {
    &query_routed,    &hedge_sent,        &retry_sent,
    &query_restarted, &answer_incomplete, &answer_dropped,
    &body_malformed,  &query_refused,     &query_abandoned,
};

} // namespace bulrushspring::queries

#endif
