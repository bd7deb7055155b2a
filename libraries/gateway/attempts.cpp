#include "libraries/gateway/attempts.hpp"

#include "libraries/gateway/answers.hpp"
#include "libraries/gateway/availability.hpp"
#include "libraries/gateway/crash_watch.hpp"
#include "libraries/gateway/events.hpp"
#include "libraries/gateway/leaf_choice.hpp"
#include "libraries/gateway/leaf_connections.hpp"
#include "libraries/gateway/leaf_evacuation.hpp"
#include "libraries/gateway/leaf_performance.hpp"
#include "libraries/gateway/leaf_rates.hpp"
#include "libraries/gateway/queued_requests.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// Attempts of a part beyond one at each leaf that the route permits.
constexpr std::uint32_t max_attempts_at_tried_leafs = 2;

std::uint32_t part_number(const exchange& exchange, const request_part& part)
{
    return static_cast<std::uint32_t>(&part - exchange.parts.data());
}

std::size_t count_tried_leafs(const request_part& part)
{
    return static_cast<std::size_t>(std::count_if(
        part.tried.begin(), part.tried.end(), [](const tried_leaf& each) {
            return each.outcome != attempt_outcome::misdirected;
        }));
}

bool leaf_limit_reached(const exchange& exchange, const request_part& part)
{
    return count_tried_leafs(part) >= std::max(exchange.route->max_leafs, 1U);
}

// Whether another attempt is permitted: the request is idempotent, or no
// earlier attempt can have run.
bool may_retry(const exchange& exchange, const request_part& part)
{
    return exchange.route->idempotent ||
           std::all_of(part.tried.begin(), part.tried.end(),
                       [](const tried_leaf& each) {
                           return each.outcome == attempt_outcome::refused ||
                                  each.outcome == attempt_outcome::misdirected;
                       });
}

std::vector<std::string> tried_leafs(const request_part& part)
{
    std::vector<std::string> names;
    for (const auto& each : part.tried) {
        names.push_back(each.leaf);
    }
    return names;
}

// Whether the request may be sent once more to a leaf that was tried: it did
// not run the request, or the request is idempotent and its connection ended
// without an answer, or its time at the leaf ran out. The route limits the
// leafs, not the attempts at one of them.
bool may_retry_at(const exchange& exchange, const request_part& part,
                  const tried_leaf& tried)
{
    return tried.outcome == attempt_outcome::refused ||
           ((tried.outcome == attempt_outcome::broke_off ||
             tried.outcome == attempt_outcome::expired) &&
            exchange.route->idempotent &&
            part.attempts <
                exchange.route->max_leafs + max_attempts_at_tried_leafs);
}

// Chooses the best leaf that is not excluded and has a connection that has not
// carried the request yet. If there is none, a connection to the best of them
// is replaced, but only after reconnect_delay, since that costs the leaf some
// of its time.
leaf_state* choose_for_repetition(exchange_step& step, const exchange& exchange,
                                  const request_part& part,
                                  std::vector<std::string> excluded)
{
    const auto now = step.context.now;
    leaf_state* best = nullptr;
    while (auto* leaf = choose_leaf(step, exchange, part, excluded)) {
        if (has_unused_connection(step.pool, *leaf, exchange.used_connections,
                                  now)) {
            return leaf;
        }
        if (best == nullptr && now >= leaf->backoff_until) {
            best = leaf;
        }
        excluded.push_back(leaf->published.id);
    }
    return now - step.state.settings.reconnect_delay < part.ended_at ? nullptr
                                                                     : best;
}

// Chooses the leaf of the next attempt: one not tried yet while the route's
// limit on leafs permits it, otherwise one that may get the request again.
leaf_state* next_leaf(exchange_step& step, exchange& exchange,
                      const request_part& part)
{
    const auto now = step.context.now;
    std::vector<std::string> excluded;
    if (is_suspect(step, exchange)) {
        excluded = leafs_with_suspects(step.pool, part.service);
    }
    if (!leaf_limit_reached(exchange, part)) {
        auto tried = tried_leafs(part);
        tried.insert(tried.end(), excluded.begin(), excluded.end());
        auto* untried = choose_leaf(step, exchange, part, tried);
        if (untried != nullptr) {
            return untried;
        }
    }
    const auto found = step.pool.by_service.find(part.service);
    if (found == step.pool.by_service.end() ||
        now - step.state.settings.retry_delay < part.ended_at) {
        return nullptr;
    }
    for (const auto& id : found->second) {
        const bool repeatable = std::any_of(
            part.tried.begin(), part.tried.end(), [&](const auto& each) {
                return each.leaf == id && may_retry_at(exchange, part, each);
            });
        if (!repeatable) {
            excluded.push_back(id);
        }
    }
    return choose_for_repetition(step, exchange, part, std::move(excluded));
}

// Charges an attempt to the budget unless it is the part's first one. `reserve`
// is the share of the budget that it leaves.
bool charge_if_extra(exchange_step& step, const request_part& part,
                     double reserve)
{
    if (!part.attempted) {
        return true;
    }
    return limits::spend(step.state.budgets[part.service],
                         step.state.settings.budget, step.context.now, reserve);
}

// Starts an attempt at the leaf. It is transmitted at once on an idle
// connection, or when a new connection is established. Returns false if no
// connection is available.
bool start_attempt(exchange_step& step, exchange& exchange, request_part& part,
                   leaf_state& leaf)
{
    const auto id = step.context.shared.new_identifier<attempt_id>();
    const auto connection = acquire(
        step.pool, leaf, id,
        {exchange.route->idempotent, exchange.used_connections}, step.context);
    if (!connection) {
        return false;
    }
    auto& made = step.state.attempts[raw(id)];
    made.exchange = exchange.token;
    made.part = part_number(exchange, part);
    made.leaf = leaf.published.id;
    made.connection = *connection;
    made.started_at = step.context.now;
    made.expected_latency = exchange.expected_latency;
    made.route = exchange.route->name;
    made.request = exchange.request;
    made.abandon_at = exchange.deadline;
    made.charged = part.attempted;
    ++leaf.in_flight;
    part.outstanding.push_back(id);
    // A leaf that was tried keeps its outcome until it is sent the request once
    // more: the attempt may be cancelled before.
    if (std::none_of(
            part.tried.begin(), part.tried.end(),
            [&](const auto& each) { return each.leaf == made.leaf; })) {
        part.tried.push_back({made.leaf, attempt_outcome::pending});
    }
    if (step.pool.connections.at(raw(*connection)).open) {
        transmit(step, exchange, part, made);
    }
    return true;
}

void log_extra_attempt(exchange_step& step, const exchange& exchange,
                       const request_part& part, const leaf_state& leaf,
                       std::string_view why)
{
    auto& budget = step.state.budgets[part.service];
    step.context.log(make_record(
        second_sending, field("request", exchange.request->id),
        field("route", exchange.route->name), field("service", part.service),
        field("why", why), field("leaf", leaf.published.id),
        field("after_ms",
              to_milliseconds(step.context.now - exchange.started_at)),
        field("budget_left",
              static_cast<std::int64_t>(limits::remaining(
                  budget, step.state.settings.budget, step.context.now)))));
}

// Whether the part has had all attempts that its route permits.
bool is_exhausted(const exchange& exchange, const request_part& part)
{
    return leaf_limit_reached(exchange, part) &&
           std::none_of(part.tried.begin(), part.tried.end(),
                        [&](const auto& each) {
                            return may_retry_at(exchange, part, each);
                        });
}

// Schedules a retry, or fails the part if no leaf can take it any more.
void retry_later_or_fail(exchange_step& step, exchange& exchange,
                         request_part& part)
{
    if (is_exhausted(exchange, part) || is_unavailable(step, exchange, part)) {
        fail_part(exchange, part);
        return;
    }
    wait_for_leaf(step, exchange, part);
}

// Keeps a part until the window allows another attempt: a failed query would be
// repeated by its caller at all shards. A request with one part that has
// not run is refused instead.
void wait_for_budget(exchange_step& step, exchange& exchange,
                     request_part& part)
{
    if (!part.awaits_budget) {
        part.awaits_budget = true;
        step.context.log(make_record(budget_spent,
                                     field("request", exchange.request->id),
                                     field("service", part.service)));
    }
    if (exchange.parts.size() == 1 && !exchange.may_have_run) {
        fail_part(exchange, part);
        return;
    }
    part.next_action_at = step.context.now + step.state.settings.retry_delay;
}

void send_part(exchange_step& step, exchange& exchange, request_part& part,
               std::string_view why)
{
    if (!may_retry(exchange, part) || is_exhausted(exchange, part)) {
        fail_part(exchange, part);
        return;
    }
    const auto held = held_until(step, exchange);
    if (held > step.context.now) {
        part.next_action_at = held;
        return;
    }
    if (waits_for_turn(step, exchange, part)) {
        return;
    }
    auto* leaf = next_leaf(step, exchange, part);
    if (leaf == nullptr) {
        retry_later_or_fail(step, exchange, part);
        return;
    }
    if (!charge_if_extra(step, part, 0.0)) {
        wait_for_budget(step, exchange, part);
        return;
    }
    const bool extra = part.attempted;
    if (!start_attempt(step, exchange, part, *leaf)) {
        retry_later_or_fail(step, exchange, part);
        return;
    }
    take_turn(step, exchange);
    part.next_action_at = step.context.now + exchange.hedge_delay;
    if (extra) {
        step.context.count(metrics::counter::leaf_retries);
        log_extra_attempt(step, exchange, part, *leaf, why);
    }
}

// Avoids the leaf that has not answered the first attempt, and sends a hedge to
// another leaf if the route permits it.
void hedge_part(exchange_step& step, exchange& exchange, request_part& part)
{
    const auto now = step.context.now;
    const auto held = held_until(step, exchange);
    if (held > now) {
        part.next_action_at = held;
        return;
    }
    const auto& first = step.state.attempts.at(raw(part.outstanding.front()));
    record_silence(step, first);
    part.next_action_at = boot_time::max();
    if (!exchange.route->idempotent || leaf_limit_reached(exchange, part)) {
        return;
    }
    const auto tried = tried_leafs(part);
    auto* leaf = others_wait(step, exchange, part)
                     ? nullptr
                     : choose_leaf(step, exchange, part, tried);
    if (leaf == nullptr ||
        !charge_if_extra(step, part, step.state.settings.retry_reserve)) {
        part.next_action_at = now + step.state.settings.retry_delay;
        return;
    }
    if (start_attempt(step, exchange, part, *leaf)) {
        ++exchange.hedges;
        step.context.count(metrics::counter::leaf_hedges);
        log_extra_attempt(step, exchange, part, *leaf, "silent");
    }
}

// Cancels attempts whose connections are not established in time, so that
// the part is sent to another leaf.
void cancel_slow_connects(exchange_step& step, request_part& part)
{
    const auto outstanding = part.outstanding;
    for (const auto id : outstanding) {
        const auto& each = step.state.attempts.at(raw(id));
        if (each.sent || step.context.now - each.started_at <
                             step.state.settings.connect_timeout) {
            continue;
        }
        if (auto* leaf = find_leaf(step.pool, each.leaf)) {
            avoid(*leaf, step.context.now + step.pool.settings.hedged_penalty);
        }
        cancel_unsent(step, part, id);
    }
}

} // namespace

boot_time attempt_deadline(const exchange& exchange, boot_time now)
{
    constexpr int min_objective_share = 4;
    // Little may be left of the objective when the request arrives.
    const duration objective =
        std::max(duration{exchange.objective_deadline - exchange.started_at},
                 exchange.route->objective / 2);
    const bool in_time =
        exchange.objective_deadline - now >= objective / min_objective_share;
    return is_query(exchange) && in_time
               ? std::min(exchange.objective_deadline, exchange.answer_by)
               : exchange.answer_by;
}

bool may_be_sent(exchange_step& step, exchange& exchange,
                 const attempt& started, const leaf_state& leaf)
{
    const auto now = step.context.now;
    return !is_evacuated(step.pool, leaf) && accepts_requests(leaf, now) &&
           rate_admits(step.pool, leaf, now) &&
           may_transmit(step, exchange, started);
}

void transmit(exchange_step& step, exchange& exchange, request_part& part,
              attempt& started)
{
    const auto now = step.context.now;
    started.sent = true;
    for (auto& each : part.tried) {
        if (each.leaf == started.leaf) {
            each.outcome = attempt_outcome::pending;
        }
    }
    exchange.used_connections.push_back(started.connection);
    started.sent_at = now;
    mark_suspect(step, exchange, started);
    started.abandon_at = exchange.deadline + step.state.settings.deadline_grace;
    part.attempted = true;
    ++part.attempts;
    ++exchange.attempts;
    step.context.count(metrics::counter::leaf_requests);
    if (auto* leaf = find_leaf(step.pool, started.leaf)) {
        count_request(step.pool, *leaf, now);
    }
    const auto until = attempt_deadline(exchange, now);
    started.deadline_shortened = until < exchange.answer_by;
    step.context.emit(send_to_leaf{started.connection, exchange.request,
                                   started.leaf, until - now,
                                   exchange.route->idempotent});
}

bool reaches_minimum_coverage(const exchange& exchange)
{
    return exchange.covered > 0 &&
           static_cast<double>(exchange.covered) + 1e-9 >=
               exchange.route->minimum_coverage *
                   static_cast<double>(exchange.parts.size());
}

void advance_part(exchange_step& step, exchange& exchange, request_part& part)
{
    cancel_slow_connects(step, part);
    if (part.outstanding.empty()) {
        if (step.context.now >= part.next_action_at) {
            send_part(step, exchange, part, "failed");
        }
    } else if (part.outstanding.size() == 1 &&
               step.context.now >= part.next_action_at) {
        if (step.state.attempts.at(raw(part.outstanding.front())).sent) {
            hedge_part(step, exchange, part);
        } else {
            part.next_action_at =
                step.context.now + step.state.settings.connect_timeout;
        }
    }
}

void fail_part(exchange& exchange, request_part& part)
{
    part.phase = part_phase::failed;
    ++exchange.failed;
}

bool awaits_answer(const exchanges_state& state, const request_part& part)
{
    return std::any_of(
        part.outstanding.begin(), part.outstanding.end(),
        [&](auto id) { return state.attempts.at(raw(id)).sent; });
}

bool is_unsent(const exchanges_state& state, const exchange& exchange)
{
    return !exchange.may_have_run && exchange.covered == 0 &&
           std::none_of(
               exchange.parts.begin(), exchange.parts.end(),
               [&](const auto& part) { return awaits_answer(state, part); });
}

void abandon_part_attempts(exchange_step& step, exchange& exchange,
                           request_part& part, bool caller_disconnected)
{
    const auto outstanding = part.outstanding;
    for (const auto id : outstanding) {
        auto& each = step.state.attempts.at(raw(id));
        if (!each.sent) {
            cancel_unsent(step, part, id);
            continue;
        }
        each.awaited = false;
        if (caller_disconnected && exchange.route->idempotent) {
            each.abandon_at =
                step.context.now + step.state.settings.caller_left_grace;
        }
    }
    part.outstanding.clear();
}

void abandon_attempts(exchange_step& step, exchange& exchange,
                      bool caller_disconnected)
{
    for (auto& part : exchange.parts) {
        abandon_part_attempts(step, exchange, part, caller_disconnected);
    }
}

void cancel_unsent(exchange_step& step, request_part& part, attempt_id id)
{
    const auto found = step.state.attempts.find(raw(id));
    const auto connection =
        step.pool.connections.find(raw(found->second.connection));
    if (connection != step.pool.connections.end()) {
        connection->second.attempt.reset();
    }
    if (auto* leaf = find_leaf(step.pool, found->second.leaf)) {
        --leaf->in_flight;
        note_free_leaf(step, leaf->published.service);
    }
    remove_unsent(step, part, id, found->second);
    step.state.attempts.erase(found);
}

void remove_unsent(exchange_step& step, request_part& part, attempt_id id,
                   const attempt& unsent)
{
    std::erase(part.outstanding, id);
    std::erase_if(part.tried, [&](const auto& each) {
        return each.leaf == unsent.leaf &&
               each.outcome == attempt_outcome::pending;
    });
    if (unsent.charged) {
        limits::refund(step.state.budgets[part.service],
                       step.state.settings.budget, step.context.now);
    }
}

void record_attempt_outcome(exchange_step& step, request_part& part,
                            attempt_id id, const attempt& ended,
                            attempt_outcome outcome)
{
    std::erase(part.outstanding, id);
    const auto now = step.context.now;
    part.next_action_at = std::min(part.next_action_at, now);
    part.ended_at = now;
    for (auto& each : part.tried) {
        if (each.leaf == ended.leaf) {
            each.outcome = outcome;
        }
    }
    auto* leaf = find_leaf(step.pool, ended.leaf);
    if (leaf == nullptr) {
        return;
    }
    if (outcome == attempt_outcome::refused) {
        avoid(*leaf, now + step.pool.settings.refusal_penalty);
        step.context.count(metrics::counter::leaf_shed);
    } else if (outcome == attempt_outcome::misdirected) {
        leaf->misdirected = true;
    } else {
        avoid(*leaf, now + step.pool.settings.failure_penalty);
        step.context.count(metrics::counter::leaf_failures);
    }
}

} // namespace bulrushspring::gateway
