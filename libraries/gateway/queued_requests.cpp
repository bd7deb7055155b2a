#include "libraries/gateway/queued_requests.hpp"

#include "base/endpoint.hpp"
#include "libraries/gateway/answers.hpp"
#include "libraries/gateway/attempts.hpp"
#include "libraries/gateway/availability.hpp"
#include "libraries/gateway/deadlines.hpp"
#include "libraries/overload/events.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// Requests that are passed over because they may not take the free leaf: it has
// refused them, or they may crash it.
constexpr std::size_t max_passed_over = 8;

// Requests that wait already stay in their queue when the setting is removed.
bool uses_queue(const exchange_step& step, const exchange& exchange)
{
    return exchange.queued ||
           (step.state.settings.queue_admission && exchange.parts.size() == 1);
}

overload::queue* find_queue(const exchange_step& step,
                            const std::string& service)
{
    const auto found = step.state.queues.find(service);
    return found == step.state.queues.end() ? nullptr : &found->second;
}

// The quantile after which a hedge would be sent, so that most requests that
// begin at the last moment are answered in time.
duration usual_latency(const exchange_step& step, const exchange& exchange)
{
    const auto found = step.state.routes.find(exchange.route->name);
    if (found == step.state.routes.end() ||
        found->second.latencies.total < min_latency_samples) {
        return duration{0};
    }
    return limits::quantile(found->second.latencies,
                            step.state.settings.hedge_quantile);
}

// Identifies the caller among those that compete for leafs.
std::string caller_of(const forward_request& request)
{
    return request.credentials.empty() && request.caller_address != 0
               ? address_text({request.caller_address, 0})
               : request.credentials;
}

overload::arrival arrival_of(const exchange_step& step,
                             const exchange& exchange)
{
    overload::arrival made;
    made.token = exchange.token;
    made.priority = exchange.route->priority;
    made.caller = caller_of(*exchange.request);
    made.objective = exchange.route->objective;
    // A request that waits once more, because its connection or its leaf
    // failed, has spent the time here.
    made.spent = exchange.spent + (step.context.now - exchange.started_at);
    made.usual_latency = usual_latency(step, exchange);
    made.answer_by = exchange.answer_by;
    made.deadline = exchange.deadline;
    made.may_have_run = exchange.may_have_run;
    return made;
}

// Fails the part and returns the Retry-After of the rejection.
duration reject(exchange_step& step, exchange& exchange, request_part& part)
{
    const auto now = step.context.now;
    exchange.return_at = overload::return_place(
        step.state.queues[part.service], step.state.settings.overload,
        arrival_of(step, exchange), objective_retry_after(step, exchange), now);
    fail_part(exchange, part);
    step.context.count(metrics::counter::requests_queue_rejected);
    return exchange.return_at - now;
}

// Adds the request to its queue, or rejects it.
void join(exchange_step& step, exchange& exchange, request_part& part)
{
    const auto now = step.context.now;
    auto& queue = step.state.queues[part.service];
    const auto made = overload::arrive(queue, step.state.settings.overload,
                                       arrival_of(step, exchange), now);
    if (made.what == overload::verdict::wait) {
        exchange.queued = true;
        part.next_action_at = made.latest_turn;
        step.context.count(metrics::counter::requests_queued);
        return;
    }
    const auto retry_after = reject(step, exchange, part);
    step.context.log(make_record(
        overload::arrival_rejected, field("request", exchange.request->id),
        field("service", part.service),
        field("caller_waits",
              overload::size_of(queue, caller_of(*exchange.request))),
        field("ahead", made.ahead),
        field("expected_ms", to_milliseconds(made.expected)),
        field("retry_after_ms", to_milliseconds(retry_after))));
}

void reject_waiting(exchange_step& step, exchange& exchange, request_part& part)
{
    const auto now = step.context.now;
    const auto& queue = step.state.queues[part.service];
    leave_queue(step, exchange);
    const auto retry_after = reject(step, exchange, part);
    step.context.log(make_record(
        overload::waiting_rejected, field("request", exchange.request->id),
        field("service", part.service),
        field("waited_ms", to_milliseconds(now - exchange.started_at)),
        field("waiting", overload::size(queue)),
        field("retry_after_ms", to_milliseconds(retry_after))));
}

// Rejects a waiting request that can no longer be answered in time. Returns
// false if it still can.
bool reject_if_late(exchange_step& step, exchange& exchange, request_part& part)
{
    if (step.context.now <
        overload::latest_turn(step.state.queues[part.service],
                              exchange.token)) {
        return false;
    }
    reject_waiting(step, exchange, part);
    return true;
}

// Lets the first requests of the queue take leafs.
void send_first(exchange_step& step, const std::string& service,
                void (*advance)(exchange_step&, exchange&))
{
    auto& queue = step.state.queues[service];
    const auto now = step.context.now;
    std::size_t passed_over = 0;
    while (passed_over <= max_passed_over) {
        const auto next =
            overload::at(queue, step.state.settings.overload, passed_over, now);
        if (!next) {
            return;
        }
        auto& waiting = step.state.exchanges.at(raw(*next));
        waiting.parts.front().next_action_at = now;
        step.state.turn = next;
        advance(step, waiting);
        step.state.turn.reset();
        if (!overload::contains(queue, *next)) {
            continue;
        }
        if (!admits_requests(step.pool, service, now)) {
            return;
        }
        ++passed_over;
    }
}

// Rejects the requests of the queue that others have displaced.
void reject_displaced(exchange_step& step, const std::string& service,
                      void (*advance)(exchange_step&, exchange&))
{
    const auto& settings = step.state.settings.overload;
    auto& queue = step.state.queues[service];
    for (const auto token :
         overload::displaced(queue, settings, step.context.now)) {
        auto& waiting = step.state.exchanges.at(raw(token));
        reject_waiting(step, waiting, waiting.parts.front());
        advance(step, waiting); // finishes it
    }
}

} // namespace

bool waits_for_turn(exchange_step& step, exchange& exchange, request_part& part)
{
    if (!uses_queue(step, exchange) || step.state.turn == exchange.token) {
        return false;
    }
    if (exchange.queued) {
        if (is_unavailable(step, exchange, part)) {
            fail_part(exchange, part);
        } else if (!reject_if_late(step, exchange, part)) {
            part.next_action_at = overload::latest_turn(
                step.state.queues[part.service], exchange.token);
            note_free_leaf(step, part.service);
        }
        return true;
    }
    const auto* queue = find_queue(step, part.service);
    if (queue == nullptr || overload::size(*queue) == 0) {
        return false;
    }
    join(step, exchange, part);
    note_free_leaf(step, part.service);
    return true;
}

void wait_for_leaf(exchange_step& step, exchange& exchange, request_part& part)
{
    const auto poll_at = step.context.now + step.state.settings.retry_delay;
    if (!uses_queue(step, exchange)) {
        part.next_action_at = poll_at;
        return;
    }
    if (!exchange.queued) {
        join(step, exchange, part);
    } else if (!reject_if_late(step, exchange, part)) {
        part.next_action_at = overload::latest_turn(
            step.state.queues[part.service], exchange.token);
    }
    // A leaf may also become able to take a request as time passes.
    part.next_action_at = std::min(part.next_action_at, poll_at);
}

bool others_wait(const exchange_step& step, const exchange& exchange,
                 const request_part& part)
{
    const auto* queue = find_queue(step, part.service);
    return exchange.parts.size() == 1 && queue != nullptr &&
           overload::size(*queue) > 0;
}

void take_turn(exchange_step& step, exchange& exchange)
{
    if (!exchange.queued) {
        return;
    }
    exchange.queued = false;
    overload::take(step.state.queues[exchange.parts.front().service],
                   step.state.settings.overload, exchange.token,
                   step.context.now);
}

void leave_queue(exchange_step& step, exchange& exchange)
{
    if (!exchange.queued) {
        return;
    }
    exchange.queued = false;
    const auto& service = exchange.parts.front().service;
    overload::leave(step.state.queues[service], step.state.settings.overload,
                    exchange.token, step.context.now);
    if (step.state.turn != exchange.token) {
        note_free_leaf(step, service); // the next one may be the first now
    }
}

void note_free_leaf(exchange_step& step, const std::string& service)
{
    const auto* queue = find_queue(step, service);
    if (queue != nullptr && overload::size(*queue) > 0) {
        step.state.queues_to_advance.insert(service);
    }
}

void count_end(exchange_step& step, const exchange& exchange,
               const leaf_reply& reply)
{
    auto* queue = find_queue(step, exchange.parts.front().service);
    if (queue != nullptr && exchange.parts.size() == 1 && has_run(reply)) {
        overload::count_end(*queue, step.state.settings.overload,
                            step.context.now);
    }
}

void advance_queues(exchange_step& step,
                    void (*advance)(exchange_step&, exchange&))
{
    auto& services = step.state.queues_to_advance;
    while (!services.empty()) {
        const auto service = services.extract(services.begin()).value();
        send_first(step, service, advance);
        reject_displaced(step, service, advance);
    }
}

} // namespace bulrushspring::gateway
