#ifndef BULRUSHSPRING_LIBRARIES_TOPOLOGY_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_TOPOLOGY_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::topology
{

inline constexpr event_definition table_accepted{
    9001, severity::info, "table_accepted",
    "version routes services revision source",
    "A newer routing table is in force here from now on."};
inline constexpr event_definition table_refused{
    9002, severity::warning, "table_refused",
    "version in_force revision source",
    "A routing table under a version that is not above the one in force was "
    "not taken."};
inline constexpr event_definition record_unreadable{
    9003, severity::warning, "record_unreadable", "key revision source reason",
    "A published record can't be read. What it named before stays in force if "
    "it is a routing table; a leaf is no longer used."};
inline constexpr event_definition leaf_listed{
    9004, severity::info, "leaf_listed",
    "leaf service address state revision source",
    "A leaf was published, or what is published of it has changed."};
inline constexpr event_definition leaf_removed{
    9005, severity::info, "leaf_removed", "leaf revision source",
    "A leaf is no longer published."};
inline constexpr event_definition store_lost{
    9006, severity::warning, "store_lost", "cause failures retry_ms",
    "A call to the store failed after earlier ones had succeeded. What is "
    "known stays in force; peers are asked for changes."};
inline constexpr event_definition store_regained{
    9007, severity::info, "store_regained", "failures revision",
    "The store answers again."};
inline constexpr event_definition history_gone{
    9008, severity::warning, "history_gone", "revision",
    "The store has dropped the changes since this revision; all records are "
    "read anew."};
inline constexpr event_definition peer_ahead{
    9009, severity::info, "peer_ahead", "peer peer_revision revision",
    "A peer knows changes that have not come from the store; they are fetched "
    "from the peer."};

inline constexpr std::array all_events = {
    &table_accepted, &table_refused, &record_unreadable,
    &leaf_listed,    &leaf_removed,  &store_lost,
    &store_regained, &history_gone,  &peer_ahead,
};

} // namespace bulrushspring::topology

#endif
