#ifndef BULRUSHSPRING_LIBRARIES_CONFIGURATION_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_CONFIGURATION_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::configuration
{

inline constexpr event_definition manifest_accepted{
    3001, severity::info, "manifest_accepted",
    "version hash source sections changed bytes",
    "A manifest passed all checks and is in force on this daemon. The source "
    "is the platform or the daemon that it was fetched from; changed is the "
    "number of sections that were fetched, and bytes the fetched size."};
inline constexpr event_definition manifest_refused{
    3002, severity::error, "manifest_refused",
    "version hash source lasting reason",
    "A manifest was refused; the last accepted one stays in force. If lasting "
    "is yes, the same content is never fetched again: publish a corrected "
    "manifest with a higher version. Otherwise it is fetched again later."};
inline constexpr event_definition manifest_race{
    3003, severity::warning, "manifest_race", "version winner loser",
    "Two different manifests were published with the same version. All "
    "daemons use the one with the lower hash. Publish the intended one with a "
    "higher version."};
inline constexpr event_definition manifest_backwards{
    3004, severity::warning, "manifest_backwards", "version in_force",
    "The platform returned an older version than the one in force: it is "
    "stale, or an older manifest was published again. The older version is "
    "ignored."};
inline constexpr event_definition readers_changed{
    3005, severity::info, "readers_changed", "reading readers",
    "The daemons of this data centre that read the platform, according to "
    "this daemon's view of the fleet, have changed. Reading is yes if this "
    "daemon is one of them."};
inline constexpr event_definition platform_failed{
    3006, severity::warning, "platform_failed", "key failures retry_ms cause",
    "A call to the platform failed. It is repeated after retry_ms, an "
    "exponential backoff with an upper limit."};
inline constexpr event_definition platform_returned{
    3007, severity::info, "platform_returned", "key failures",
    "The platform answered again after the given number of failures."};
inline constexpr event_definition fetch_started{
    3008, severity::info, "fetch_started", "version hash source",
    "A newer manifest was announced and is being fetched."};
inline constexpr event_definition fetch_failed{
    3009, severity::warning, "fetch_failed", "version peer left cause",
    "A newer manifest could not be fetched from a daemon that announced it. "
    "The next of the remaining daemons is asked; left is their number. If "
    "there is none, the fetch starts again when a daemon announces it."};
inline constexpr event_definition check_started{
    3010, severity::info, "check_started", "cause asleep_ms",
    "This daemon refuses callers while it asks other daemons for their "
    "configuration, because it was suspended for asleep_ms."};
inline constexpr event_definition check_finished{
    3011, severity::info, "check_finished", "version relied_on answers",
    "The configuration in force was checked, and callers are served. "
    "Relied_on names who confirmed it: platform, peers, both, or nobody if "
    "there was no answer in time and the previous configuration stays."};
inline constexpr event_definition vms_accepted{
    3012, severity::info, "vms_accepted",
    "revision hash source live leaving bytes",
    "A list of VMs is in force on this daemon; bytes is the fetched size."};
inline constexpr event_definition vms_refused{
    3013, severity::error, "vms_refused", "source reason",
    "A list of VMs was refused; the last accepted one stays in force."};
inline constexpr event_definition vms_restarted{
    3014, severity::warning, "vms_restarted", "platform_revision revision",
    "The revisions of the platform's list of VMs have restarted from a lower "
    "number, so the platform was rebuilt. Its list is accepted with a revision "
    "above the one in force."};
inline constexpr event_definition serving_limited{
    3015, severity::warning, "serving_limited", "to",
    "A daemon requested more documents than the rate limit of this one "
    "permits. It will ask another daemon."};

inline constexpr std::array all_events = {
    &manifest_accepted,  &manifest_refused, &manifest_race,
    &manifest_backwards, &readers_changed,  &platform_failed,
    &platform_returned,  &fetch_started,    &fetch_failed,
    &check_started,      &check_finished,   &vms_accepted,
    &vms_refused,        &vms_restarted,    &serving_limited,
};

} // namespace bulrushspring::configuration

#endif
