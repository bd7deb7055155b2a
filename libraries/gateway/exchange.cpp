#include "libraries/gateway/exchange.hpp"

#include "libraries/gateway/answer_log.hpp"
#include "libraries/gateway/answers.hpp"
#include "libraries/gateway/attempts.hpp"
#include "libraries/gateway/availability.hpp"
#include "libraries/gateway/cold_leafs.hpp"
#include "libraries/gateway/crash_trials.hpp"
#include "libraries/gateway/crash_watch.hpp"
#include "libraries/gateway/deadlines.hpp"
#include "libraries/gateway/events.hpp"
#include "libraries/gateway/leaf_connections.hpp"
#include "libraries/gateway/leaf_performance.hpp"
#include "libraries/gateway/query_admission.hpp"
#include "libraries/gateway/queued_requests.hpp"
#include "libraries/reducer/unusable_answer.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// How often abandoned attempts are checked for being overdue.
constexpr milliseconds sweep_interval{100};

void finish(exchange_step& step, exchange& exchange, forward_answer answer)
{
    if (exchange.covered < exchange.parts.size()) {
        log_missing_parts(step, exchange);
    }
    log_answer(step, exchange, answer.kind);
    step.context.count(counter_for(exchange, answer.kind));
    step.context.shared.emit(record_duration{
        is_query(exchange) ? metrics::histogram::query_latency
                           : metrics::histogram::request_latency,
        step.context.now - exchange.started_at});
    leave_queue(step, exchange);
    return_permission(step, exchange);
    abandon_attempts(step, exchange, false);
    const auto token = exchange.token;
    const bool repeatable =
        exchange.route->idempotent || answer.kind == answer_kind::not_run;
    step.context.emit(answer_request{token, std::move(answer), repeatable});
    step.state.exchanges.erase(raw(token));
}

// Whether so many shards have failed that the minimum coverage can no longer
// be reached.
bool coverage_out_of_reach(const exchange& exchange)
{
    const auto reachable =
        static_cast<double>(exchange.parts.size() - exchange.failed) + 1e-9;
    return exchange.failed > 0 &&
           reachable < exchange.route->minimum_coverage *
                           static_cast<double>(exchange.parts.size());
}

void schedule_timer(exchange_step& step, exchange& exchange)
{
    const auto now = step.context.now;
    boot_time next = exchange.answer_by;
    if (now < exchange.objective_deadline) {
        next = std::min(next, exchange.objective_deadline);
    }
    for (const auto& part : exchange.parts) {
        if (part.phase == part_phase::open) {
            next = std::min(next, part.next_action_at);
        }
    }
    next = std::max(next, now + milliseconds{1});
    if (exchange.timer <= now || next < exchange.timer) {
        exchange.timer = next;
        step.state.timers.push({next, exchange.token});
    }
}

// Whether the exchange has to wait for one of its open parts. Shards that are
// known not to answer within the objective only delay the others' answer.
bool awaits_part(const exchange_step& step, const exchange& exchange)
{
    return std::any_of(exchange.parts.begin(), exchange.parts.end(),
                       [&](const request_part& part) {
                           return part.phase == part_phase::open &&
                                  may_be_in_time(step, exchange, part);
                       });
}

// Finishes the exchange if its answer is decided. It is erased then.
void finish_if_decided(exchange_step& step, exchange& exchange)
{
    const auto now = step.context.now;
    const bool all_covered = exchange.covered == exchange.parts.size();
    const bool none_open =
        exchange.covered + exchange.failed == exchange.parts.size();
    const bool due =
        now >= exchange.objective_deadline || now >= exchange.answer_by;
    if (all_covered || (reaches_minimum_coverage(exchange) &&
                        (none_open || due || !awaits_part(step, exchange)))) {
        finish(step, exchange, covered_answer(exchange));
    } else if (none_open || coverage_out_of_reach(exchange) ||
               now >= exchange.answer_by) {
        finish(step, exchange, empty_answer(step, exchange));
    }
}

bool in_progress(const exchange_step& step, caller_token token)
{
    return step.state.exchanges.count(raw(token)) > 0;
}

// Performs the actions that are due for the parts of an exchange. It may be
// finished and erased by this.
void advance(exchange_step& step, exchange& exchange)
{
    const auto token = exchange.token;
    if (is_poison(step, exchange)) {
        finish(step, exchange, poison_answer(step, exchange));
        return;
    }
    if (exchange.trial == trial_phase::refused) {
        finish(step, exchange, refused_trial_answer(step, exchange));
        return;
    }
    if (step.context.now < exchange.answer_by && admit(step, exchange)) {
        for (auto& part : exchange.parts) {
            if (part.phase == part_phase::open) {
                advance_part(step, exchange, part);
            }
        }
    }
    finish_if_decided(step, exchange);
    if (in_progress(step, token)) {
        schedule_timer(step, exchange);
    }
}

// Advances the exchanges that waited for a verdict on a leaf or for an answer
// to a suspect.
void resume_held(exchange_step& step)
{
    while (!step.state.to_resume.empty()) {
        const auto token = step.state.to_resume.back();
        step.state.to_resume.pop_back();
        const auto found = step.state.exchanges.find(raw(token));
        if (found == step.state.exchanges.end()) {
            continue;
        }
        auto& exchange = found->second;
        exchange.held_until = boot_time::min();
        for (auto& part : exchange.parts) {
            if (part.phase == part_phase::open && part.outstanding.empty()) {
                part.next_action_at = step.context.now;
            }
        }
        advance(step, exchange);
    }
}

// Advances the exchanges that waited for something that has come about in this
// step.
void resume(exchange_step& step)
{
    while (!step.state.to_resume.empty() ||
           !step.state.queues_to_advance.empty()) {
        resume_held(step);
        advance_queues(step, advance);
    }
}

void add_part(exchange_step& step, exchange& exchange,
              const std::string& service)
{
    request_part part;
    part.service = service;
    part.next_action_at = step.context.now;
    exchange.parts.push_back(std::move(part));
    limits::count_first_attempt(step.state.budgets[service],
                                step.state.settings.budget, step.context.now);
}

void complete_part(exchange_step& step, exchange& exchange, request_part& part,
                   const leaf_reply& reply)
{
    part.phase = part_phase::covered;
    part.reply = reply;
    ++exchange.covered;
    abandon_part_attempts(step, exchange, part, false);
}

// Handles the answer to an attempt that its exchange still awaits.
void handle_reply(exchange_step& step, attempt_id id, const attempt& ended,
                  const leaf_reply& reply)
{
    auto& exchange = step.state.exchanges.at(raw(ended.exchange));
    auto& part = exchange.parts[ended.part];
    std::erase(part.outstanding, id);
    count_end(step, exchange, reply);
    const auto outcome = outcome_of(ended, reply);
    if (outcome == attempt_outcome::succeeded) {
        exchange.may_have_run = true;
        complete_part(step, exchange, part, reply);
        finish_if_decided(step, exchange); // the other parts are unaffected
        return;
    }
    if (ended.trial && (outcome == attempt_outcome::refused ||
                        outcome == attempt_outcome::misdirected)) {
        exchange.trial = trial_phase::permitted; // it was not run
    }
    log_unsuccessful_reply(step, exchange, ended, reply);
    record_attempt_outcome(step, part, id, ended, outcome);
    if (outcome == attempt_outcome::expired) {
        exchange.may_have_run = true;
    } else if (outcome == attempt_outcome::failed) {
        exchange.may_have_run = true;
        constexpr unsigned server_error = 500;
        const bool forwardable =
            !is_query(exchange) && is_forwardable_failure(reply);
        if (forwardable &&
            (reply.status < server_error || !exchange.route->idempotent)) {
            complete_part(step, exchange, part, reply);
        } else if (forwardable) {
            part.reply = reply; // forwarded if no other leaf succeeds
        }
    }
    advance(step, exchange);
}

// Removes an attempt from the state and from the leaf's requests in flight.
// Its connection is left as it is.
attempt remove_attempt(exchange_step& step, attempt_id id)
{
    const auto found = step.state.attempts.find(raw(id));
    attempt ended = std::move(found->second);
    step.state.attempts.erase(found);
    if (auto* leaf = find_leaf(step.pool, ended.leaf)) {
        --leaf->in_flight;
        leaf->suspects -= ended.suspect ? 1 : 0;
        note_free_leaf(step, leaf->published.service);
    }
    return ended;
}

// Handles the end of an attempt that its exchange still awaits.
void handle_end(exchange_step& step, attempt_id id, const attempt& ended,
                const error& cause)
{
    auto& exchange = step.state.exchanges.at(raw(ended.exchange));
    auto& part = exchange.parts[ended.part];
    if (ended.sent) {
        exchange.may_have_run = true;
        log_broken_off(step, exchange, ended, cause);
        record_attempt_outcome(step, part, id, ended,
                               attempt_outcome::broke_off);
    } else {
        remove_unsent(step, part, id, ended);
        part.next_action_at = step.context.now;
    }
    advance(step, exchange);
}

// Keeps an answered connection, unless it can't be used again.
void end_request(exchange_step& step, const leaf_replied& event)
{
    if (event.reusable) {
        release(step.pool, event.connection, event.reply, step.context);
    } else {
        remove_connection(step.pool, event.connection, false, step.context);
    }
}

// Closes the connections of abandoned attempts that are overdue.
void close_overdue_attempts(exchange_step& step)
{
    const auto now = step.context.now;
    if (now < step.state.sweep_at) {
        return;
    }
    step.state.sweep_at = now + sweep_interval;
    std::vector<attempt_id> overdue;
    for (const auto& [id, each] : step.state.attempts) {
        if (each.sent && !each.awaited && now >= each.abandon_at) {
            overdue.push_back(attempt_id{id});
        }
    }
    for (const auto id : overdue) {
        const auto ended = remove_attempt(step, id);
        record_given_up(step, ended);
        step.context.count(metrics::counter::connections_silent);
        step.context.log(make_record(
            sending_given_up, field("leaf", ended.leaf),
            field("after_ms", to_milliseconds(now - ended.sent_at))));
        close_connection(step.pool, ended.connection, step.context);
    }
}

template <typename Predicate>
void finish_if(exchange_step& step, const Predicate& ends)
{
    std::vector<std::uint64_t> tokens;
    for (const auto& [token, exchange] : step.state.exchanges) {
        if (ends(exchange)) {
            tokens.push_back(token);
        }
    }
    for (const auto token : tokens) {
        finish_now(step, step.state.exchanges.at(token));
    }
}

} // namespace

void finish_now(exchange_step& step, exchange& exchange)
{
    finish(step, exchange,
           reaches_minimum_coverage(exchange) ? covered_answer(exchange)
                                              : empty_answer(step, exchange));
}

void begin(exchange_step& step, caller_token token,
           const request_pointer& request, const routing::table_pointer& table,
           const routing::route& route)
{
    auto& exchange = step.state.exchanges[raw(token)];
    exchange.token = token;
    exchange.request = request;
    exchange.table = table;
    exchange.route = &route;
    if (refuse_poison(step, exchange)) {
        step.state.exchanges.erase(raw(token));
        return;
    }
    auto& record = step.state.routes[route.name];
    set_deadlines(step, exchange, record);
    const auto parts = std::max<std::size_t>(route.shards.size(), 1);
    exchange.parts.reserve(parts);
    exchange.used_connections.reserve(parts);
    if (route.shards.empty()) {
        add_part(step, exchange,
                 routing::choose_service(route, ++record.requests));
    }
    for (const auto& service : route.shards) {
        add_part(step, exchange, service);
    }
    // Decided before anything is sent, so that the refusal can say so.
    fail_unavailable_parts(step, exchange);
    finish_if_decided(step, exchange);
    if (in_progress(step, token)) {
        advance(step, exchange);
    }
    resume(step);
}

void reduce(exchange_step& step, const caller_disconnected& event)
{
    const auto found = step.state.exchanges.find(raw(event.token));
    if (found == step.state.exchanges.end()) {
        return;
    }
    auto& exchange = found->second;
    step.context.log(make_record(
        caller_gone, field("request", exchange.request->id),
        field("route", exchange.route->name),
        field("ms", to_milliseconds(step.context.now - exchange.started_at))));
    leave_queue(step, exchange);
    return_permission(step, exchange);
    abandon_attempts(step, exchange, true);
    step.state.exchanges.erase(found);
    resume(step);
}

void reduce(exchange_step& step, const leaf_connected& event)
{
    const auto found = step.pool.connections.find(raw(event.connection));
    if (found == step.pool.connections.end()) {
        return;
    }
    auto& connection = found->second;
    apply_connect_result(step, connection, true);
    connection.open = true;
    connection.since = step.context.now;
    --step.pool.opening;
    auto& leaf = step.pool.leafs.at(connection.leaf);
    ++leaf.established;
    leaf.failed_opens = 0;
    if (!connection.attempt) {
        leaf.idle.push_back(event.connection);
        note_free_leaf(step, leaf.published.service);
        resume(step);
        return;
    }
    auto& attempt = step.state.attempts.at(raw(*connection.attempt));
    auto& exchange = step.state.exchanges.at(raw(attempt.exchange));
    auto& part = exchange.parts[attempt.part];
    if (!may_be_sent(step, exchange, attempt, leaf)) {
        cancel_unsent(step, part, *connection.attempt);
        part.next_action_at = step.context.now;
        leaf.idle.push_back(event.connection);
        advance(step, exchange);
    } else {
        transmit(step, exchange, part, attempt);
        schedule_timer(step, exchange);
    }
    resume(step);
}

void reduce(exchange_step& step, const leaf_replied& event)
{
    const auto found = step.pool.connections.find(raw(event.connection));
    if (found == step.pool.connections.end()) {
        return;
    }
    record_load(step, found->second, event.reply);
    if (found->second.health_check) {
        apply_cold_statement(step.pool, event.connection, event.reply,
                             found->second.since, step.context.now);
        end_request(step, event);
        return;
    }
    if (!found->second.attempt) {
        return;
    }
    const attempt_id id = *found->second.attempt;
    const attempt ended = remove_attempt(step, id);
    record_performance(step, ended, event.reply);
    apply_answer(step, ended, event.reply);
    apply_leaf_state(step.pool, event.connection, event.reply, ended.sent_at,
                     step.context);
    end_request(step, event);
    if (ended.awaited) {
        handle_reply(step, id, ended, event.reply);
    }
    resume(step);
}

void reduce(exchange_step& step, const leaf_disconnected& event)
{
    const auto found = step.pool.connections.find(raw(event.connection));
    if (found == step.pool.connections.end()) {
        return;
    }
    const auto connection = found->second;
    if (is_unusable_answer(event.cause)) {
        step.context.count(metrics::counter::leaf_answers_unusable);
    }
    remove_connection(step.pool, event.connection, !connection.answered,
                      step.context);
    if (!connection.open) {
        apply_connect_result(step, connection, false);
    }
    if (connection.attempt) {
        const auto ended = remove_attempt(step, *connection.attempt);
        watch_leaf(step, connection, ended);
        if (ended.awaited) {
            handle_end(step, *connection.attempt, ended, event.cause);
        }
    }
    resume(step);
}

void run_due_timers(exchange_step& step)
{
    auto& timers = step.state.timers;
    while (!timers.empty() && timers.top().at <= step.context.now) {
        const auto due = timers.top();
        timers.pop();
        const auto found = step.state.exchanges.find(raw(due.token));
        if (found != step.state.exchanges.end() &&
            found->second.timer == due.at) {
            advance(step, found->second);
        }
    }
    close_overdue_attempts(step);
    review_crashes(step);
    resume(step);
}

void finish_poison(exchange_step& step)
{
    resume_poison(step.state);
    resume(step);
}

void resume_waiting(exchange_step& step)
{
    resume(step);
}

boot_time next_wakeup(const exchanges_state& self)
{
    const boot_time sweep_at =
        self.attempts.empty() ? boot_time::max() : self.sweep_at;
    const boot_time next = std::min(sweep_at, next_crash_review(self));
    return self.timers.empty() ? next : std::min(next, self.timers.top().at);
}

void finish_repeatable(exchange_step& step)
{
    finish_if(step, [&](const exchange& each) {
        return each.route->idempotent || is_unsent(step.state, each);
    });
}

void finish_all(exchange_step& step)
{
    finish_if(step, [](const exchange&) { return true; });
}

} // namespace bulrushspring::gateway
