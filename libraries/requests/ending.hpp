#ifndef BULRUSHSPRING_LIBRARIES_REQUESTS_ENDING_HPP
#define BULRUSHSPRING_LIBRARIES_REQUESTS_ENDING_HPP

#include "libraries/requests/requests.hpp"

#include <string_view>

// Ends requests with their final answers to callers.
namespace bulrushspring::requests
{

// The reasons that callers see, besides those of missing_reason. They are part
// of the interface that docs/CALLERS.md describes and must not change.
inline constexpr std::string_view reason_grant_missing = "grant_missing";
inline constexpr std::string_view reason_grant_expired = "grant_expired";
inline constexpr std::string_view reason_grant_foreign = "grant_foreign";
inline constexpr std::string_view reason_earlier_attempt_unknown =
    "earlier_sending_unknown";
inline constexpr std::string_view reason_id_missing = "id_missing";
inline constexpr std::string_view reason_id_reused = "id_reused";
inline constexpr std::string_view reason_id_foreign = "id_of_another_grant";
inline constexpr std::string_view reason_in_progress = "in_progress";
inline constexpr std::string_view reason_memory_full = "memory_full";
inline constexpr std::string_view reason_no_service = "no_such_service";
inline constexpr std::string_view reason_timed_out = "timed_out";
inline constexpr std::string_view reason_no_replica = "no_replica";
inline constexpr std::string_view reason_no_connection = "no_connection";
inline constexpr std::string_view reason_unreachable = "unreachable";
inline constexpr std::string_view reason_connection_lost = "connection_lost";
inline constexpr std::string_view reason_mismatched = "answer_mismatched";
inline constexpr std::string_view reason_failed = "failed";

// How long a caller has to wait before a retry: options::retry_after with
// jitter, so that callers don't retry at the same time.
duration jittered_retry_delay(state& self);

// The refusal of a request that was not begun.
struct refusal {
    std::string_view reason;
    execution run = execution::unknown;
    duration retry_after{0};
    bool fresh_grant = false; // the answer carries a new grant
};
void refuse(state& self, caller_token token, const caller_request& request,
            const refusal& details, context& at);

// Ends a request with the answer, which the repeats that joined it get too.
// Cancels the open attempts of a read.
void end_work(state& self, targets::state& leafs, caller_token token,
              caller_answer answer, context& at);

// Ends a request of which no attempt can have run.
void end_not_run(state& self, targets::state& leafs, caller_token token,
                 std::string_view reason, context& at);

// Ends a request that was sent and whose outcome is unknown.
void end_unknown(state& self, targets::state& leafs, caller_token token,
                 std::string_view reason, context& at);

// Ends a request that a leaf ran, with success or not.
void end_ran(state& self, targets::state& leafs, caller_token token,
             const attempt_state& attempt, const leaf_answer& answer,
             context& at);

// The outcome to record for an answer that says that the request ran.
outcome outcome_of(const attempt_state& attempt, const leaf_answer& answer);

// Moves the timer of a pending request, of which each has exactly one.
void set_timer(state& self, caller_token token, pending_request& pending,
               boot_time when);

} // namespace bulrushspring::requests

#endif
