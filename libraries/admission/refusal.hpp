#ifndef BULRUSHSPRING_LIBRARIES_ADMISSION_REFUSAL_HPP
#define BULRUSHSPRING_LIBRARIES_ADMISSION_REFUSAL_HPP

#include "libraries/admission/admission.hpp"

#include <string_view>

namespace bulrushspring::admission
{

// Reasons for refusals, as documented in docs/CALLERS.md.
inline constexpr std::string_view reason_overloaded = "overloaded";
inline constexpr std::string_view reason_queue_full = "queue_full";
inline constexpr std::string_view reason_deadline = "deadline_too_short";
inline constexpr std::string_view reason_no_service = "no_such_service";

// The expected time in the queue for a request of this caller, estimated from
// the requests ahead of it, the service's share of the pool and the measured
// times.
duration expected_wait(const state& self, const service_state& service,
                       std::string_view caller);

// The expected execution time of a request of this service once admitted, at
// most half of the service's deadline. Without this bound, an index with a lost
// shard, whose queries may take the full deadline each time, would have all its
// requests refused.
duration needed_time(const service_state& service);

// How long a refused caller should wait before it retries: the time in which
// the service's queue drains, plus a random delay of up to the same time so
// that refused callers do not retry together.
duration retry_after(state& self, const service_state& service);

// The final answer to a request of which no attempt was made here. If the
// caller has repeated a non-idempotent request, it may have been executed by an
// earlier attempt.
caller_answer make_refusal(const caller_request& request,
                           std::string_view reason, duration retry_after);

} // namespace bulrushspring::admission

#endif
