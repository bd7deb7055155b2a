#ifndef BULRUSHSPRING_LIBRARIES_TOPOLOGY_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_TOPOLOGY_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::topology
{

inline constexpr event_definition table_accepted{
    9001, severity::info, "table_accepted",
    "version routes services revision source",
    "This daemon has switched to a newer routing table."};
inline constexpr event_definition table_refused{
    9002, severity::warning, "table_refused",
    "version in_force revision source",
    "A published routing table was ignored because its version is not higher "
    "than that of the table in use."};
inline constexpr event_definition record_unreadable{
    9003, severity::warning, "record_unreadable",
    "key revision source field expected found",
    "A published record can't be read: `field` (the whole record if empty) is "
    "missing or not what it has to be. What was last known of the key stays in "
    "use; a leaf whose record still tells that it is draining is drained. "
    "Correct or remove the record."};
inline constexpr event_definition leaf_listed{
    9004, severity::info, "leaf_listed",
    "leaf service address state revision source",
    "A leaf was published, or its published record has changed."};
inline constexpr event_definition leaf_removed{
    9005, severity::info, "leaf_removed", "leaf revision source",
    "A leaf is no longer published."};
inline constexpr event_definition store_lost{
    9006, severity::warning, "store_lost", "cause failures retry_ms",
    "A request to the store failed after earlier ones had succeeded. The "
    "records known so far stay in use, and changes are requested from peers."};
inline constexpr event_definition store_regained{
    9007, severity::info, "store_regained", "failures revision",
    "The store answers again after failed requests."};
inline constexpr event_definition history_gone{
    9008, severity::warning, "history_gone", "revision",
    "The store no longer holds the changes since this revision; all records "
    "are read again."};
inline constexpr event_definition peer_ahead{
    9009, severity::info, "peer_ahead", "peer peer_revision revision",
    "A peer has a higher revision than this daemon has received from the "
    "store; the missing changes are requested from the peer."};

inline constexpr event_definition store_restored{
    9010, severity::warning, "store_restored", "era new_era revision kept",
    "The store was restored from a backup, as its era tells. `kept` records "
    "of the earlier era stay in use until they are listed or given up; all "
    "records are read again."};
inline constexpr event_definition leaf_unconfirmed{
    9011, severity::info, "leaf_unconfirmed", "leaf era revision source",
    "The restored store lists a leaf as ready that was draining or removed "
    "before. It is not used until it writes itself again or the grace time "
    "after the restore has ended."};

inline constexpr event_definition record_too_large{
    9012, severity::warning, "record_too_large", "key bytes revision source",
    "A published record is larger than what daemons can send to each other. It "
    "is skipped: what was last known of the key stays in use."};
inline constexpr event_definition changes_too_large{
    9013, severity::warning, "changes_too_large", "revision cause",
    "The store's changes since this revision exceed the size of one answer. "
    "All records are listed again, page by page."};

inline constexpr event_definition peer_table_ahead{
    9014, severity::info, "peer_table_ahead", "peer peer_version version",
    "A peer uses a newer routing table than this daemon; it is requested from "
    "the peer, whatever the store holds."};
inline constexpr event_definition peer_asked{
    9015, severity::info, "peer_asked", "peer version revision",
    "A peer that serves callers has answered this daemon after its start. "
    "`version` is that of the routing table known since then."};
inline constexpr event_definition reads_store_itself{
    9016, severity::warning, "reads_store_itself", "revision basic_revision",
    "The peers run an older version of this program and do not deliver all "
    "kinds of records: this daemon reads the store itself for a while."};

inline constexpr event_definition peer_request_failed{
    9017, severity::info, "peer_request_failed", "peer ms cause",
    "A request for records that was sent to a peer has failed after `ms`. It "
    "is "
    "sent again after the next digest, which may come from another peer."};
inline constexpr event_definition peer_records_received{
    9018, severity::info, "peer_records_received",
    "peer records bytes ms decoding_ms",
    "A peer has sent more than 64 KiB of records. `ms` is the time from the "
    "request until they were decoded, of which decoding took `decoding_ms`."};

inline constexpr std::array all_events = {
    &table_accepted,     &table_refused,       &record_unreadable,
    &leaf_listed,        &leaf_removed,        &store_lost,
    &store_regained,     &history_gone,        &peer_ahead,
    &store_restored,     &leaf_unconfirmed,    &record_too_large,
    &changes_too_large,  &peer_table_ahead,    &peer_asked,
    &reads_store_itself, &peer_request_failed, &peer_records_received,
};

} // namespace bulrushspring::topology

#endif
