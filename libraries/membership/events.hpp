#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::membership
{

inline constexpr event_definition member_joined{
    2001, severity::info, "member_joined",
    "member data_centre peer incarnation source",
    "A daemon became known for the first time, or returned after it was "
    "declared dead."};
inline constexpr event_definition member_suspected{
    2002, severity::warning, "member_suspected",
    "member incarnation refutation source",
    "A daemon did not answer a probe, neither directly nor through helpers. "
    "Callers are not given its address. It is declared dead if it does not "
    "refute the suspicion within some seconds."};
inline constexpr event_definition member_refuted{
    2003, severity::info, "member_refuted",
    "member incarnation refutation source",
    "A suspected daemon refuted the suspicion."};
inline constexpr event_definition member_dead{
    2004, severity::warning, "member_dead",
    "member incarnation refutation source",
    "A daemon did not refute a suspicion in time, or another daemon reported "
    "it dead. It is still probed from time to time."};
inline constexpr event_definition member_leaving{
    2005, severity::info, "member_leaving", "member incarnation source",
    "A daemon is shutting down gracefully. Callers are not given its address."};
inline constexpr event_definition member_restarted{
    2006, severity::info, "member_restarted",
    "member incarnation earlier_incarnation peer source",
    "A new process is running under the name of a known daemon."};
inline constexpr event_definition self_refuted{
    2007, severity::warning, "self_refuted",
    "claimed refutation claimed_status",
    "A claim by another daemon overrode this daemon's own record, for example "
    "that it is suspect or dead. It refutes the claim."};
inline constexpr event_definition superseded{
    2008, severity::error, "superseded",
    "incarnation newer_incarnation newer_peer",
    "A newer process at another address is running under this daemon's name. "
    "This one shuts down gracefully."};
inline constexpr event_definition process_paused{
    2009, severity::warning, "process_paused", "late_ms",
    "This process was paused. It declares no member suspect or dead until it "
    "has had time to probe again."};
inline constexpr event_definition isolated{
    2010, severity::warning, "isolated", "silent_ms",
    "No datagram has arrived from any daemon for silent_ms. This daemon is "
    "cut off and declares no member dead."};
inline constexpr event_definition reconnected{
    2011, severity::info, "reconnected", "member",
    "A datagram arrived from a daemon, so this one is no longer isolated."};
inline constexpr event_definition members_synced{
    2012, severity::info, "members_synced", "records added changed",
    "A sync with another daemon added or changed members."};
inline constexpr event_definition sync_failed{
    2013, severity::warning, "sync_failed", "reason retry_ms",
    "A full view of the members could not be fetched. Another daemon is asked "
    "after retry_ms."};
inline constexpr event_definition member_removed{
    2014, severity::info, "member_removed", "member",
    "A dead daemon that neither the manifest nor the VM list names was removed "
    "from the table of members."};
inline constexpr event_definition member_refused{
    2015, severity::warning, "member_refused", "member reason",
    "A record of a daemon was refused: the table of members is full, or the "
    "record is damaged."};
inline constexpr event_definition leaf_leaving_heard{
    2016, severity::info, "leaf_leaving_heard", "leaf source",
    "Another daemon reported that a leaf is shutting down."};
inline constexpr event_definition incarnation_raised{
    2017, severity::warning, "incarnation_raised",
    "earlier_incarnation incarnation",
    "An earlier process at this daemon's own address had a higher incarnation "
    "number, so this one raised its own number above it."};
inline constexpr event_definition leaving_announced{
    2018, severity::info, "leaving_announced", "incarnation",
    "This daemon announces to the others that it is shutting down."};
inline constexpr event_definition entry_listed_leaving{
    2019, severity::info, "entry_listed_leaving", "member",
    "The platform's VM list shows an entry as leaving. Callers are not given "
    "its address."};

inline constexpr std::array all_events = {
    &member_joined,        &member_suspected,
    &member_refuted,       &member_dead,
    &member_leaving,       &member_restarted,
    &self_refuted,         &superseded,
    &process_paused,       &isolated,
    &reconnected,          &members_synced,
    &sync_failed,          &member_removed,
    &member_refused,       &leaf_leaving_heard,
    &incarnation_raised,   &leaving_announced,
    &entry_listed_leaving,
};

} // namespace bulrushspring::membership

#endif
