#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::gateway
{

inline constexpr event_definition gateway_started{
    8001, severity::info, "gateway_started",
    "name data_centre incarnation callers peers",
    "The daemon has started and listens at these addresses."};
inline constexpr event_definition table_in_force{
    8002, severity::info, "table_in_force", "version leafs",
    "A routing table took effect. With the first one, the daemon begins to "
    "serve callers."};
inline constexpr event_definition stop_begun{
    8003, severity::info, "stop_begun", "in_progress until_ms",
    "A planned stop began: the daemon is no longer listed for callers and "
    "serves those that still use it for up to `until_ms`."};
inline constexpr event_definition stop_done{
    8004, severity::info, "stop_done", "waited_ms cut",
    "The planned stop is complete. `cut` counts the requests that were still "
    "in progress and got their final answer early."};
inline constexpr event_definition request_refused{
    8005, severity::warning, "request_refused", "request host reason version",
    "A request was refused before it was sent to any leaf."};
inline constexpr event_definition request_answered{
    8006, severity::info, "request_answered",
    "request route version outcome covered parts sendings hedges ms "
    "objective_ms left_ms",
    "A request got its final answer. `sendings` counts the attempts at leafs, "
    "`hedges` those of them that were started while another attempt was "
    "unanswered."};
inline constexpr event_definition second_sending{
    8007, severity::info, "second_sending",
    "request route service why leaf after_ms budget_left",
    "An extra attempt was made for a part of a request: a hedge (why=silent) "
    "or a retry (why=failed)."};
inline constexpr event_definition budget_spent{
    8008, severity::warning, "budget_spent", "request service",
    "A part of a request waits with a retry: the retry budget of the service "
    "is exhausted."};
inline constexpr event_definition leaf_refused{
    8009, severity::warning, "leaf_refused",
    "request leaf status not_run after_ms",
    "A leaf did not answer with a success. With not_run=1 it states that it "
    "did not run the request."};
inline constexpr event_definition leaf_broke_off{
    8010, severity::warning, "leaf_broke_off", "request leaf after_ms cause",
    "A connection was closed before the leaf had answered the request sent on "
    "it. The request may have run."};
inline constexpr event_definition part_missing{
    8011, severity::warning, "part_missing",
    "request service tried outstanding",
    "The final answer lacks this service's part. `tried` names the leafs "
    "tried, "
    "`outstanding` counts the attempts still unanswered."};
inline constexpr event_definition caller_gone{
    8012, severity::info, "caller_gone", "request route ms",
    "The caller closed its connection before its answer was ready."};
inline constexpr event_definition sending_given_up{
    8013, severity::warning, "sending_given_up", "leaf after_ms",
    "The connection of an abandoned attempt was closed, because its answer did "
    "not arrive in time."};
inline constexpr event_definition leaf_unreachable{
    8014, severity::warning, "leaf_unreachable", "leaf service address",
    "A connection to a leaf could not be established or was closed before its "
    "first answer. Connecting is retried with exponential backoff."};
inline constexpr event_definition input_refused{
    8015, severity::warning, "input_refused", "status peer",
    "Input from a caller was not a valid HTTP request, or exceeded a limit."};
inline constexpr event_definition load_changed{
    8016, severity::warning, "load_changed", "overloaded lag_us",
    "The daemon became overloaded, by the average lag of its timers, or "
    "recovered. While it is overloaded, callers are directed to other daemons "
    "unless most of those are overloaded too."};

inline constexpr event_definition leaf_states_leaving{
    8017, severity::info, "leaf_states_leaving", "leaf service",
    "A leaf has stated in an answer that it is leaving. It gets no further "
    "request, and its idle connections were closed."};
inline constexpr event_definition leaf_paused{
    8018, severity::info, "leaf_paused", "leaf service for_ms",
    "A leaf has refused a request and wants none for this long."};
inline constexpr event_definition part_unavailable{
    8019, severity::warning, "part_unavailable", "request service for_ms",
    "No leaf of the service accepts requests before the request must be "
    "answered, or the rates that they state allow none within the objective. "
    "`for_ms` is the time until one does, -1 if none is known."};

inline constexpr event_definition leaf_crash_checked{
    8020, severity::warning, "leaf_crash_checked",
    "leaf request crashed interrupted blamed after_ms",
    "A leaf that had ended a connection without an answer was checked. With "
    "crashed=1 its process is gone. `interrupted` counts the attempts that "
    "ended, of which `request` is the first, `blamed` the requests that may "
    "have crashed it."};
inline constexpr event_definition request_poisonous{
    8021, severity::error, "request_poisonous",
    "request host target leaf crashes",
    "A request has crashed this many leafs one after the other, `leaf` the "
    "last. It is not sent to leafs any more and is refused when it comes "
    "again."};
inline constexpr event_definition leaf_rate_stated{
    8022, severity::warning, "leaf_rate_stated",
    "leaf service per_second share readable",
    "A leaf has begun to state how many requests a second it takes from all "
    "daemons together, or states another number. per_second=-1: it states "
    "none any more. `share` is what this daemon may send it. With readable=0 "
    "its last statement was not a number, and the earlier one still holds."};
inline constexpr event_definition path_suspected{
    8023, severity::warning, "path_suspected",
    "silent_ms connects_fail failed_connects leafs",
    "None of `leafs` usable leafs has answered this daemon for silent_ms, and "
    "connections to failed_connects of them have failed since. Peers are asked "
    "whether they reach leafs. connects_fail=0: leafs accept connections."};
inline constexpr event_definition path_changed{
    8024, severity::warning, "path_changed",
    "partitioned silent_ms peer_contact_ms hold_down_ms",
    "With partitioned=1 this daemon has lost its path to the leafs, while a "
    "peer has had contact with one peer_contact_ms ago: callers are directed "
    "to other daemons. With partitioned=0 there has been contact again for "
    "hold_down_ms, and callers return."};

inline constexpr event_definition trial_decided{
    8025, severity::warning, "trial_decided",
    "request host target arbiter permitted",
    "A request that has crashed several leafs at about the same moment is to "
    "be sent to another one, which tells whether it is poison. With "
    "permitted=0 it is refused: another daemon is trying it, or `arbiter`, "
    "which decides, does not answer."};

inline constexpr event_definition readers_lost{
    8026, severity::warning, "readers_lost", "readers answer",
    "None of the `readers` daemons that read the store for this data centre "
    "works. With answer=1 some answer, but don't reach the store. This daemon "
    "reads the store itself, or leaves it to others that do."};

inline constexpr std::array all_events = {
    &gateway_started,  &table_in_force,      &stop_begun,
    &stop_done,        &request_refused,     &request_answered,
    &second_sending,   &budget_spent,        &leaf_refused,
    &leaf_broke_off,   &part_missing,        &caller_gone,
    &sending_given_up, &leaf_unreachable,    &input_refused,
    &load_changed,     &leaf_states_leaving, &leaf_paused,
    &part_unavailable, &leaf_crash_checked,  &request_poisonous,
    &leaf_rate_stated, &path_suspected,      &path_changed,
    &trial_decided,    &readers_lost,
};

} // namespace bulrushspring::gateway

#endif
