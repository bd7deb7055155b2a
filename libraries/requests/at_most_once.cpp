#include "libraries/requests/at_most_once.hpp"

#include "libraries/requests/answer.hpp"
#include "libraries/requests/dispatch.hpp"
#include "libraries/requests/ending.hpp"
#include "libraries/requests/events.hpp"

#include <algorithm>

namespace bulrushspring::requests
{
namespace
{

std::string_view reason_of(grant_check check)
{
    switch (check) {
    case grant_check::valid:
        return "";
    case grant_check::missing:
        return reason_grant_missing;
    case grant_check::expired:
        return reason_grant_expired;
    case grant_check::foreign:
        return reason_grant_foreign;
    }
    return reason_grant_foreign;
}

// Whether a request without a record may have run. If its id is bound to a
// grant that is still valid, every attempt that may have run would have a
// record in this incarnation.
execution run_without_record(const caller_request& request,
                             const grant_check_result& checked)
{
    const bool bound =
        checked.check == grant_check::valid &&
        binding_of(request.id, request.grant) == id_binding::bound;
    return bound ? execution::not_run : execution_if_not_sent(request);
}

void join_request_in_progress(state& self, caller_token token,
                              const caller_request& request,
                              const ledger_record& record, context& at)
{
    auto& pending = self.pending.at(record.token);
    if (pending.joined.size() >= self.settings.max_joined) {
        refuse(self, token, request,
               {reason_in_progress, execution::unknown,
                jittered_retry_delay(self)},
               at);
        return;
    }
    pending.joined.push_back(token);
    self.joined.emplace(token, record.token);
    at.emit(write_log{make_record(
        request_joined, field("service", request.service),
        field("request", request.id), field("caller", request.caller),
        field("sending", request.caller_attempt))});
}

void answer_from_memory(state& self, caller_token token,
                        const caller_request& request,
                        const outcome& known_outcome, context& at)
{
    caller_answer answer;
    answer.status = known_outcome.status;
    answer.run = known_outcome.run;
    answer.request_id = request.id;
    answer.reason = std::string(known_outcome.reason);
    answer.snapshot = known_outcome.snapshot;
    answer.leaf = known_outcome.leaf;
    answer.body = known_outcome.body ? *known_outcome.body : std::string{};
    if (known_outcome.run != execution::ran) {
        answer.retry_after = jittered_retry_delay(self);
    }
    at.emit(write_log{make_record(
        request_recalled, field("service", request.service),
        field("request", request.id), field("caller", request.caller),
        field("sending", request.caller_attempt),
        field("status", to_string(known_outcome.status)))});
    at.emit(answer_caller{token, std::move(answer)});
}

// Whether the request starts over in spite of its record: the caller was told
// that it was not run, and has reset its attempt number to 1.
bool starts_over(const ledger_record& record, const caller_request& request)
{
    return record.ended && record.known_outcome.run == execution::not_run &&
           request.caller_attempt == 1;
}

void answer_from_record(state& self, caller_token token,
                        const caller_request& request,
                        const ledger_record& record, context& at)
{
    // The request on record may have run, so the answer to a request of this
    // id can't be "not run".
    if (record.content != content_of(request)) {
        refuse(self, token, request, {reason_id_reused, execution::unknown},
               at);
        return;
    }
    if (!record.ended) {
        join_request_in_progress(self, token, request, record, at);
        return;
    }
    answer_from_memory(self, token, request, record.known_outcome, at);
}

// Refuses a request that this incarnation may not dispatch. Returns whether it
// did.
bool refuse_if_not_allowed(state& self, caller_token token,
                           const caller_request& request, context& at)
{
    const auto checked = check_grant(self.issuer, request.grant, at.now);
    const auto run = run_without_record(request, checked);
    if (request.id.empty()) {
        refuse(self, token, request, {reason_id_missing, run}, at);
        return true;
    }
    if (checked.check != grant_check::valid) {
        refuse(self, token, request,
               {reason_of(checked.check), run, duration{0}, true}, at);
        return true;
    }
    if (binding_of(request.id, request.grant) == id_binding::foreign) {
        refuse(self, token, request,
               {reason_id_foreign, run, duration{0}, true}, at);
        return true;
    }
    if (full(self.request_ledger)) {
        const auto wait = next_expiry(self.request_ledger) - at.now;
        refuse(self, token, request,
               {reason_memory_full, run,
                std::max<duration>(wait, duration{0}) +
                    jittered_retry_delay(self)},
               at);
        return true;
    }
    return false;
}

// Adds the request and its record, which repeats find until it expires.
void accept_request(state& self, caller_token token,
                    const caller_request& request,
                    const manifest::manifest_pointer& manifest,
                    const manifest::service& service, context& at)
{
    const duration max_deadline = service.deadline;
    const auto time_left = request.time_left > duration{0}
                               ? std::min(request.time_left, max_deadline)
                               : max_deadline;
    pending_request pending;
    pending.request = request;
    pending.idempotent = false;
    pending.manifest = manifest;
    pending.begun = at.now;
    pending.deadline = at.now + time_left;
    pending.identity = identity_of(request);
    pending.grant_expires =
        check_grant(self.issuer, request.grant, at.now).expires;
    ledger_record record;
    record.content = content_of(request);
    record.expires_at = pending.grant_expires +
                        std::max(self.settings.max_deadline, max_deadline);
    record.token = token;
    add(self.request_ledger, pending.identity, record);
    auto& added = self.pending.emplace(token, std::move(pending)).first->second;
    set_timer(self, token, added, added.deadline);
}

void record_late_answer(state& self, const attempt_state& attempt,
                        attempt_id number, const leaf_answer& answer,
                        ledger_record& record, context& at)
{
    outcome known_outcome;
    if (answer.run == execution::ran) {
        known_outcome = outcome_of(attempt, answer);
    } else if (proves_not_run(answer)) {
        known_outcome = {answer_status::refused,
                         execution::not_run,
                         requests::reason_of(answer.status),
                         0,
                         {},
                         {}};
    } else {
        return;
    }
    at.emit(write_log{make_record(
        request_outcome_learned, field("request", attempt.request_id),
        field("leaf", attempt.leaf_name), field("attempt", raw(number)),
        field("status", to_string(known_outcome.status)))});
    record_outcome(self.request_ledger, record, std::move(known_outcome));
}

void handle_answer(state& self, targets::state& leafs,
                   const attempt_state& attempt, attempt_id number,
                   const leaf_answer& answer, caller_token token, context& at)
{
    auto& pending = self.pending.at(token);
    pending.open_attempts.clear();
    if (answer.run == execution::ran) {
        end_ran(self, leafs, token, attempt, answer, at);
        return;
    }
    const auto reason = requests::reason_of(answer.status);
    if (!proves_not_run(answer)) {
        log_failed_attempt(pending, attempt, number, reason, "unknown", at);
        end_unknown(self, leafs, token, reason, at);
        return;
    }
    log_failed_attempt(pending, attempt, number, reason, "not_run", at);
    pending.last_reason = reason;
    if (!retryable_on_another_leaf(answer)) {
        end_not_run(self, leafs, token, reason, at);
        return;
    }
    retry_or_end(self, leafs, token, at);
}

} // namespace

bool answer_without_admission(state& self, caller_token token,
                              const caller_request& request, context& at)
{
    if (request.kind != manifest::service_kind::request) {
        return false;
    }
    const auto* record = find(self.request_ledger, identity_of(request));
    if (record != nullptr && !starts_over(*record, request)) {
        answer_from_record(self, token, request, *record, at);
        return true;
    }
    return refuse_if_not_allowed(self, token, request, at);
}

void begin_request(state& self, targets::state& leafs, caller_token token,
                   const caller_request& request,
                   const manifest::manifest_pointer& manifest, context& at)
{
    // The request may have waited for admission for long: meanwhile its grant
    // may have expired, or a repeat may have been begun.
    if (answer_without_admission(self, token, request, at)) {
        return;
    }
    const bool bound =
        binding_of(request.id, request.grant) == id_binding::bound;
    if (request.caller_attempt != 1 && !bound) {
        refuse(self, token, request,
               {reason_earlier_attempt_unknown, execution::unknown, duration{0},
                true},
               at);
        return;
    }
    const auto service = manifest->services.find(request.service);
    if (service == manifest->services.end()) {
        refuse(self, token, request, {reason_no_service, execution::not_run},
               at);
        return;
    }
    accept_request(self, token, request, manifest, service->second, at);
    dispatch(self, leafs, token, "first", at);
}

void request_answered(state& self, targets::state& leafs,
                      const leaf_answered& event, context& at)
{
    const auto found = self.attempts.find(event.attempt);
    const auto token = found->second.token;
    const auto running = self.pending.find(token);
    if (!matches(found->second, event.answer)) {
        log_mismatch(found->second, event.attempt, event.answer, at);
        if (running != self.pending.end()) {
            end_unknown(self, leafs, token, reason_mismatched, at);
        }
        return;
    }
    const auto attempt = std::move(found->second);
    self.attempts.erase(found);
    if (running != self.pending.end()) {
        handle_answer(self, leafs, attempt, event.attempt, event.answer, token,
                      at);
        return;
    }
    auto* record = find(self.request_ledger, attempt.identity);
    if (record != nullptr && record->attempt == event.attempt) {
        record_late_answer(self, attempt, event.attempt, event.answer, *record,
                           at);
    }
}

void request_failed(state& self, targets::state& leafs,
                    const leaf_failed& event, context& at)
{
    const auto found = self.attempts.find(event.attempt);
    const auto attempt = std::move(found->second);
    self.attempts.erase(found);
    const auto running = self.pending.find(attempt.token);
    if (running == self.pending.end()) {
        return;
    }
    auto& pending = running->second;
    pending.open_attempts.clear();
    const auto token = attempt.token;
    if (event.sent) {
        log_failed_attempt(pending, attempt, event.attempt,
                           reason_connection_lost, "unknown", at);
        end_unknown(self, leafs, token, reason_connection_lost, at);
        return;
    }
    log_failed_attempt(pending, attempt, event.attempt, reason_unreachable,
                       "not_run", at);
    pending.last_reason = reason_unreachable;
    retry_or_end(self, leafs, token, at);
}

void request_caller_left(state& self, caller_token token, context& at)
{
    const auto found = self.joined.find(token);
    if (found == self.joined.end()) {
        return;
    }
    auto& joined = self.pending.at(found->second).joined;
    joined.erase(std::find(joined.begin(), joined.end(), token));
    self.joined.erase(found);
    // No caller receives this answer; it releases the repeat's admission slot.
    caller_answer answer;
    answer.status = answer_status::outcome_unknown;
    at.emit(answer_caller{token, std::move(answer)});
}

} // namespace bulrushspring::requests
