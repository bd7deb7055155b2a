#include "libraries/requests/answer.hpp"

#include "libraries/requests/events.hpp"

namespace bulrushspring::requests
{

bool matches(const attempt_state& attempt, const leaf_answer& answer)
{
    const bool contradiction = answer.status == leaf_status::answered &&
                               answer.run == execution::not_run;
    return answer.same_attempt && answer.request_id == attempt.request_id &&
           answer.shard == attempt.shard &&
           answer.snapshot == attempt.snapshot && !contradiction;
}

bool proves_not_run(const leaf_answer& answer)
{
    if (answer.run != execution::not_run) {
        return false;
    }
    return retryable_on_another_leaf(answer) ||
           answer.status == leaf_status::deadline_passed;
}

bool retryable_on_another_leaf(const leaf_answer& answer)
{
    switch (answer.status) {
    case leaf_status::shed:
    case leaf_status::draining:
    case leaf_status::snapshot_gone:
    case leaf_status::shard_not_held:
        return true;
    case leaf_status::answered:
    case leaf_status::cancelled:
    case leaf_status::deadline_passed:
    case leaf_status::failed:
        return false;
    }
    return false;
}

std::string_view reason_of(leaf_status status)
{
    switch (status) {
    case leaf_status::answered:
        return "answered";
    case leaf_status::shed:
        return "shed";
    case leaf_status::draining:
        return "draining";
    case leaf_status::snapshot_gone:
        return "snapshot_gone";
    case leaf_status::shard_not_held:
        return "shard_not_held";
    case leaf_status::cancelled:
        return "cancelled";
    case leaf_status::deadline_passed:
        return "timed_out";
    case leaf_status::failed:
        return "failed";
    }
    return "failed";
}

void log_failed_attempt(const pending_request& pending,
                        const attempt_state& attempt, attempt_id number,
                        std::string_view reason, std::string_view run,
                        context& at)
{
    at.emit(write_log{make_record(
        attempt_failed, field("service", pending.request.service),
        field("request", attempt.request_id), field("leaf", attempt.leaf_name),
        field("attempt", raw(number)), field("reason", reason),
        field("run", run))});
}

void log_mismatch(const attempt_state& attempt, attempt_id number,
                  const leaf_answer& answer, context& at)
{
    at.emit(add_to_counter{metrics::counter::unexpected_answers});
    at.emit(write_log{make_record(
        answer_mismatched, field("request", attempt.request_id),
        field("leaf", attempt.leaf_name), field("attempt", raw(number)),
        field("echoed_request", answer.request_id),
        field("echoed_snapshot", answer.snapshot),
        field("echoed_shard", answer.shard))});
}

} // namespace bulrushspring::requests
