#include "libraries/requests/reads.hpp"

#include "libraries/requests/answer.hpp"
#include "libraries/requests/dispatch.hpp"
#include "libraries/requests/ending.hpp"

#include <algorithm>

namespace bulrushspring::requests
{
namespace
{

// Removes an attempt; the read that it belongs to remains pending.
attempt_state extract_attempt(state& self, attempt_id number)
{
    auto node = self.attempts.extract(number);
    auto& open = self.pending.at(node.mapped().token).open_attempts;
    open.erase(std::find(open.begin(), open.end(), number));
    return std::move(node.mapped());
}

} // namespace

void begin_read(state& self, targets::state& leafs, caller_token token,
                const caller_request& request,
                const manifest::manifest_pointer& manifest, context& at)
{
    const auto service = manifest->services.find(request.service);
    if (service == manifest->services.end()) {
        refuse(self, token, request,
               {reason_no_service, execution_if_not_sent(request)}, at);
        return;
    }
    const duration max_deadline = service->second.deadline;
    pending_request pending;
    pending.request = request;
    pending.manifest = manifest;
    pending.begun = at.now;
    pending.deadline = at.now + (request.time_left > duration{0}
                                     ? std::min(request.time_left, max_deadline)
                                     : max_deadline);
    auto& added = self.pending.emplace(token, std::move(pending)).first->second;
    set_timer(self, token, added, added.deadline);
    dispatch(self, leafs, token, "first", at);
}

void read_answered(state& self, targets::state& leafs,
                   const leaf_answered& event, context& at)
{
    const auto attempt = extract_attempt(self, event.attempt);
    const auto token = attempt.token;
    auto& pending = self.pending.at(token);
    const auto& answer = event.answer;
    if (!matches(attempt, answer)) {
        log_mismatch(attempt, event.attempt, answer, at);
        pending.may_have_run = true;
        pending.last_reason = reason_mismatched;
        retry_or_end(self, leafs, token, at);
        return;
    }
    if (answer.status == leaf_status::answered) {
        end_ran(self, leafs, token, attempt, answer, at);
        return;
    }
    const bool ran = answer.run == execution::ran;
    const bool not_run = proves_not_run(answer);
    pending.ran = pending.ran || ran;
    pending.may_have_run = pending.may_have_run || (!ran && !not_run);
    pending.last_reason = reason_of(answer.status);
    log_failed_attempt(pending, attempt, event.attempt, pending.last_reason,
                       ran ? "ran" : (not_run ? "not_run" : "unknown"), at);
    retry_or_end(self, leafs, token, at);
}

void read_failed(state& self, targets::state& leafs, const leaf_failed& event,
                 context& at)
{
    const auto attempt = extract_attempt(self, event.attempt);
    auto& pending = self.pending.at(attempt.token);
    pending.may_have_run = pending.may_have_run || event.sent;
    pending.last_reason =
        event.sent ? reason_connection_lost : reason_unreachable;
    log_failed_attempt(pending, attempt, event.attempt, pending.last_reason,
                       event.sent ? "unknown" : "not_run", at);
    retry_or_end(self, leafs, attempt.token, at);
}

void hedge_read(state& self, targets::state& leafs, caller_token token,
                context& at)
{
    auto& pending = self.pending.at(token);
    pending.hedge_at = boot_time::max();
    set_timer(self, token, pending, pending.deadline);
    if (!pending.open_attempts.empty()) {
        send_hedge(self, leafs, token, at);
    }
}

void read_caller_left(state& self, targets::state& leafs, caller_token token,
                      context& at)
{
    const auto node = self.pending.extract(token);
    self.timers.erase({node.mapped().timer_at, token});
    for (const auto attempt : node.mapped().open_attempts) {
        targets::cancel(leafs, attempt, at);
        self.attempts.erase(attempt);
    }
}

} // namespace bulrushspring::requests
