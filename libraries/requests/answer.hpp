#ifndef BULRUSHSPRING_LIBRARIES_REQUESTS_ANSWER_HPP
#define BULRUSHSPRING_LIBRARIES_REQUESTS_ANSWER_HPP

#include "libraries/requests/requests.hpp"

#include <string_view>

// Checks and classifies the answers of leafs.
namespace bulrushspring::requests
{

// Whether the answer belongs to this attempt and does not contradict itself.
bool matches(const attempt_state& attempt, const leaf_answer& answer);

// Whether a matching answer proves that its attempt was not run.
bool proves_not_run(const leaf_answer& answer);

// Whether another leaf may accept what this one refused.
bool retryable_on_another_leaf(const leaf_answer& answer);

// The reason that callers see for an answer that is not a success.
std::string_view reason_of(leaf_status status);

// Logs an attempt that failed.
void log_failed_attempt(const pending_request& pending,
                        const attempt_state& attempt, attempt_id number,
                        std::string_view reason, std::string_view run,
                        context& at);

// Counts and logs an answer that is dropped because it does not match.
void log_mismatch(const attempt_state& attempt, attempt_id number,
                  const leaf_answer& answer, context& at);

} // namespace bulrushspring::requests

#endif
