#include "libraries/requests/ending.hpp"

#include "libraries/requests/events.hpp"

namespace bulrushspring::requests
{
namespace
{

std::string_view run_text(execution run)
{
    switch (run) {
    case execution::ran:
        return "ran";
    case execution::not_run:
        return "not_run";
    case execution::unknown:
        return "unknown";
    }
    return "unknown";
}

// Records the outcome of a non-idempotent request in the ledger.
void record_final_outcome(state& self, const pending_request& pending,
                          outcome known_outcome)
{
    if (pending.idempotent) {
        return;
    }
    auto* record = find(self.request_ledger, pending.identity);
    if (record != nullptr) {
        record_outcome(self.request_ledger, *record, std::move(known_outcome));
    }
}

void record_latency(const pending_request& pending, context& at)
{
    const auto which = pending.idempotent ? metrics::histogram::read_latency
                                          : metrics::histogram::request_latency;
    at.emit(record_duration{which, at.now - pending.begun});
}

void log_refusal(const caller_request& request, const caller_answer& answer,
                 context& at)
{
    at.emit(write_log{make_record(
        request_refused, field("service", request.service),
        field("request", request.id), field("caller", request.caller),
        field("sending", request.caller_attempt),
        field("reason", answer.reason), field("run", run_text(answer.run)),
        field("retry_after_ms", to_milliseconds(answer.retry_after)))});
}

} // namespace

duration jittered_retry_delay(state& self)
{
    const auto base = self.settings.retry_after;
    const auto spread = random_fraction(self.random);
    return base + std::chrono::duration_cast<duration>(base * spread);
}

void refuse(state& self, caller_token token, const caller_request& request,
            const refusal& details, context& at)
{
    caller_answer answer;
    answer.status = answer_status::refused;
    answer.run = details.run;
    answer.request_id = request.id;
    answer.reason = std::string(details.reason);
    answer.retry_after = details.retry_after;
    if (details.fresh_grant) {
        answer.grant = issue_grant(self, at.now);
    }
    log_refusal(request, answer, at);
    at.emit(answer_caller{token, std::move(answer)});
}

void end_work(state& self, targets::state& leafs, caller_token token,
              caller_answer answer, context& at)
{
    auto node = self.pending.extract(token);
    const auto& pending = node.mapped();
    self.timers.erase({pending.timer_at, token});
    answer.request_id = pending.request.id;
    record_latency(pending, at);
    if (pending.idempotent) {
        for (const auto attempt : pending.open_attempts) {
            targets::cancel(leafs, attempt, at);
            self.attempts.erase(attempt);
        }
    }
    for (const auto repeat : pending.joined) {
        self.joined.erase(repeat);
        at.emit(answer_caller{repeat, answer});
    }
    at.emit(answer_caller{token, std::move(answer)});
}

void end_not_run(state& self, targets::state& leafs, caller_token token,
                 std::string_view reason, context& at)
{
    const auto& pending = self.pending.at(token);
    caller_answer answer;
    answer.status = answer_status::refused;
    // A non-idempotent request is begun only if no earlier attempt of its
    // caller can have run.
    answer.run = pending.idempotent ? execution_if_not_sent(pending.request)
                                    : execution::not_run;
    answer.reason = std::string(reason);
    answer.retry_after = jittered_retry_delay(self);
    if (reason == reason_grant_expired) {
        answer.grant = issue_grant(self, at.now);
    }
    log_refusal(pending.request, answer, at);
    record_final_outcome(
        self, pending,
        {answer_status::refused, execution::not_run, reason, 0, {}, {}});
    end_work(self, leafs, token, std::move(answer), at);
}

void end_unknown(state& self, targets::state& leafs, caller_token token,
                 std::string_view reason, context& at)
{
    const auto& pending = self.pending.at(token);
    caller_answer answer;
    answer.status = answer_status::outcome_unknown;
    answer.run = execution::unknown;
    answer.reason = std::string(reason);
    answer.retry_after = jittered_retry_delay(self);
    at.emit(write_log{make_record(
        request_outcome_unknown, field("service", pending.request.service),
        field("request", pending.request.id),
        field("tried", pending.tried.size()), field("reason", reason))});
    record_final_outcome(self, pending,
                         {answer_status::outcome_unknown,
                          execution::unknown,
                          reason,
                          0,
                          {},
                          {}});
    end_work(self, leafs, token, std::move(answer), at);
}

outcome outcome_of(const attempt_state& attempt, const leaf_answer& answer)
{
    outcome known_outcome;
    const bool succeeded = answer.status == leaf_status::answered;
    known_outcome.status =
        succeeded ? answer_status::answered : answer_status::failed;
    known_outcome.run = execution::ran;
    known_outcome.reason = succeeded ? std::string_view{} : reason_failed;
    known_outcome.snapshot = attempt.snapshot;
    known_outcome.leaf = attempt.leaf_name;
    known_outcome.body = std::make_shared<const std::string>(answer.body);
    return known_outcome;
}

void end_ran(state& self, targets::state& leafs, caller_token token,
             const attempt_state& attempt, const leaf_answer& answer,
             context& at)
{
    auto known_outcome = outcome_of(attempt, answer);
    caller_answer reply;
    reply.status = known_outcome.status;
    reply.run = known_outcome.run;
    reply.reason = std::string(known_outcome.reason);
    reply.snapshot = known_outcome.snapshot;
    reply.leaf = known_outcome.leaf;
    reply.body = answer.body;
    record_final_outcome(self, self.pending.at(token),
                         std::move(known_outcome));
    end_work(self, leafs, token, std::move(reply), at);
}

void set_timer(state& self, caller_token token, pending_request& pending,
               boot_time when)
{
    self.timers.erase({pending.timer_at, token});
    pending.timer_at = when;
    self.timers.emplace(when, token);
}

} // namespace bulrushspring::requests
