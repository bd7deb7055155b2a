#include "libraries/gateway/exchange.hpp"

#include "libraries/gateway/answers.hpp"
#include "libraries/gateway/events.hpp"
#include "libraries/gateway/leaf_evidence.hpp"
#include "libraries/gateway/sendings.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// Sendings that nobody waits for are looked at this often.
constexpr milliseconds sweep_interval{100};
// Until a route's latencies are known, a second leaf is asked after this
// share of its objective.
constexpr double first_hedge_share = 0.25;
constexpr std::uint32_t enough_latencies = 20;

std::string_view to_string(verdict what)
{
    switch (what) {
    case verdict::relayed:
        return "relayed";
    case verdict::merged:
        return "merged";
    case verdict::no_route:
        return "no_route";
    case verdict::not_run:
        return "not_run";
    case verdict::failed:
        return "failed";
    case verdict::timed_out:
        return "timed_out";
    }
    return "failed";
}

metrics::counter counter_for(const exchange& of, verdict what)
{
    switch (what) {
    case verdict::relayed:
        return metrics::counter::answers_whole;
    case verdict::merged:
        return of.covered == of.parts.size()
                   ? metrics::counter::answers_whole
                   : metrics::counter::answers_partial;
    case verdict::no_route:
    case verdict::not_run:
        return metrics::counter::answers_refused;
    case verdict::failed:
    case verdict::timed_out:
        return metrics::counter::answers_failed;
    }
    return metrics::counter::answers_failed;
}

void log_answer(exchange_step& step, const exchange& of, verdict what)
{
    step.context.log(make_record(
        request_answered, field("request", of.request->id),
        field("route", of.route->name), field("version", of.table->version),
        field("outcome", to_string(what)), field("covered", of.covered),
        field("parts", of.parts.size()), field("sendings", of.sendings),
        field("hedges", of.hedges),
        field("ms", whole_milliseconds(step.context.now - of.began)),
        field("objective_ms", whole_milliseconds(of.route->objective)),
        field("left_ms", whole_milliseconds(of.deadline - step.context.now))));
}

void log_missing(exchange_step& step, const exchange& of)
{
    for (const auto& part : of.parts) {
        if (part.phase == part_phase::covered) {
            continue;
        }
        std::string leafs;
        for (const auto& each : part.tried) {
            leafs += (leafs.empty() ? "" : ",") + each.leaf;
        }
        step.context.log(
            make_record(part_missing, field("request", of.request->id),
                        field("service", part.service), field("tried", leafs),
                        field("outstanding", part.outstanding.size())));
    }
}

void finish(exchange_step& step, exchange& of, forward_answer answer)
{
    if (of.covered < of.parts.size()) {
        log_missing(step, of);
    }
    log_answer(step, of, answer.what);
    step.context.count(counter_for(of, answer.what));
    step.context.shared.emit(
        record_duration{is_query(of) ? metrics::histogram::query_latency
                                     : metrics::histogram::request_latency,
                        step.context.now - of.began});
    withdraw(step, of, false);
    const auto token = of.token;
    step.context.emit(answer_forward{token, std::move(answer)});
    step.self.exchanges.erase(raw(token));
}

// Enough shards have failed that the minimum coverage is out of reach.
bool hopeless(const exchange& of)
{
    const auto reachable =
        static_cast<double>(of.parts.size() - of.failed) + 1e-9;
    return of.failed > 0 &&
           reachable < of.route->minimum_coverage *
                           static_cast<double>(of.parts.size());
}

void arm(exchange_step& step, exchange& of)
{
    const auto now = step.context.now;
    boot_time next = of.answer_by;
    if (now < of.objective_at) {
        next = std::min(next, of.objective_at);
    }
    for (const auto& part : of.parts) {
        if (part.phase == part_phase::open) {
            next = std::min(next, part.act_at);
        }
    }
    next = std::max(next, now + milliseconds{1});
    if (of.timer <= now || next < of.timer) {
        of.timer = next;
        step.self.timers.push({next, of.token});
    }
}

// Answers the exchange if it is decided, and is then gone; else waits on.
void conclude(exchange_step& step, exchange& of)
{
    const auto now = step.context.now;
    const bool all_in = of.covered == of.parts.size();
    const bool none_open = of.covered + of.failed == of.parts.size();
    const bool due = now >= of.objective_at || now >= of.answer_by;
    if (all_in || (covers_enough(of) && (none_open || due))) {
        finish(step, of, covered_answer(of));
    } else if (none_open || hopeless(of) || now >= of.answer_by) {
        finish(step, of, empty_answer(step, of));
    }
}

bool in_progress(const exchange_step& step, caller_token token)
{
    return step.self.exchanges.count(raw(token)) > 0;
}

// Does what is due for all parts of an exchange; it may be gone afterwards.
void act(exchange_step& step, exchange& of)
{
    const auto token = of.token;
    if (step.context.now < of.answer_by) {
        for (auto& part : of.parts) {
            if (part.phase == part_phase::open) {
                act_on_part(step, of, part);
            }
        }
    }
    conclude(step, of);
    if (in_progress(step, token)) {
        arm(step, of);
    }
}

void set_times(exchange_step& step, exchange& of, route_record& record)
{
    const auto& settings = step.self.settings;
    const auto& route = *of.route;
    const duration asked = of.request->time_left;
    const duration limit =
        asked > duration{0} ? asked : std::max(route.timeout, duration{0});
    of.began = step.context.now;
    of.deadline = of.began + limit;
    const duration reserve = std::min(settings.answer_reserve, limit / 4);
    of.answer_by =
        of.began + std::min(limit - reserve, route.timeout > duration{0}
                                                 ? route.timeout
                                                 : limit);
    const duration objective =
        route.objective > duration{0} ? route.objective : limit;
    of.objective_at =
        of.began +
        std::max(objective - settings.objective_reserve, objective / 2);
    const auto share = [&](double of_objective) {
        return std::chrono::duration_cast<duration>(objective * of_objective);
    };
    if (record.latencies.total < enough_latencies) {
        of.hedge_delay = share(first_hedge_share);
        return;
    }
    of.expected = limits::quantile(record.latencies, 0.5);
    of.hedge_delay = std::clamp(
        limits::quantile(record.latencies, settings.hedge_quantile),
        std::min(settings.least_hedge_delay, share(settings.latest_hedge)),
        share(settings.latest_hedge));
}

void add_part(exchange_step& step, exchange& of, const std::string& service)
{
    request_part part;
    part.service = service;
    part.act_at = step.context.now;
    of.parts.push_back(std::move(part));
    limits::count_first(step.self.budgets[service], step.self.settings.budget,
                        step.context.now);
}

// A success that the leaf signed is what is wanted of it. For a single
// request its failures are passed on too, if nothing better can be had.
bool is_success(const leaf_reply& reply)
{
    return reply.status >= 200 && reply.status < 300 && !reply.seal.empty();
}

constexpr unsigned misdirected_status = 421;

sending_fate fate_of(const leaf_reply& reply)
{
    if (reply.status == misdirected_status) {
        return sending_fate::misdirected;
    }
    return reply.not_run ? sending_fate::refused : sending_fate::failed;
}

void cover(exchange_step& step, exchange& of, request_part& part,
           const leaf_reply& reply)
{
    part.phase = part_phase::covered;
    part.reply = reply;
    ++of.covered;
    withdraw_part(step, of, part, false);
}

void log_bad_reply(exchange_step& step, const exchange& of,
                   const sending& ended, const leaf_reply& reply)
{
    step.context.log(make_record(
        leaf_refused, field("request", of.request->id),
        field("leaf", ended.leaf), field("status", reply.status),
        field("not_run", reply.not_run ? 1 : 0),
        field("after_ms",
              whole_milliseconds(step.context.now - ended.sent_at))));
}

// Takes an answer to a sending whose exchange still waits.
void take_reply(exchange_step& step, sending_id id, const sending& ended,
                const leaf_reply& reply)
{
    auto& of = step.self.exchanges.at(raw(ended.exchange));
    auto& part = of.parts[ended.part];
    std::erase(part.outstanding, id);
    if (is_success(reply)) {
        of.may_have_run = true;
        cover(step, of, part, reply);
        conclude(step, of); // no other part is due by this
        return;
    }
    const auto fate = fate_of(reply);
    log_bad_reply(step, of, ended, reply);
    note_fate(step, part, id, ended, fate);
    if (fate == sending_fate::failed) {
        of.may_have_run = true;
        constexpr unsigned server_error = 500;
        const bool own_words = !reply.seal.empty();
        if (!is_query(of) && own_words &&
            (reply.status < server_error || !of.route->idempotent)) {
            cover(step, of, part, reply);
        } else if (!is_query(of) && own_words) {
            part.reply = reply; // passed on if no other leaf does better
        }
    }
    act(step, of);
}

// Ends a sending for the state and the leaf; the connection is not touched.
sending take_sending(exchange_step& step, sending_id id)
{
    const auto found = step.self.sendings.find(raw(id));
    sending ended = std::move(found->second);
    step.self.sendings.erase(found);
    if (auto* leaf = find_leaf(step.pool, ended.leaf)) {
        --leaf->in_flight;
    }
    return ended;
}

void record_latency(exchange_step& step, const sending& ended)
{
    const duration seen = step.context.now - ended.sent_at;
    limits::add(step.self.routes[ended.route].latencies, seen);
    step.context.shared.emit(
        record_duration{metrics::histogram::leaf_latency, seen});
    if (auto* leaf = find_leaf(step.pool, ended.leaf)) {
        note_latency(*leaf, seen, ended.expected, step.pool.settings,
                     step.context.now);
    }
}

void note_reply(exchange_step& step, const sending& ended,
                const leaf_reply& reply)
{
    const bool success = is_success(reply);
    if (success) {
        record_latency(step, ended);
    }
    if (auto* leaf = find_leaf(step.pool, ended.leaf)) {
        const auto now = step.context.now;
        note_outcome(*leaf, success, step.pool.settings, now);
        adapt_limit(*leaf, success, now - ended.sent_at, ended.expected,
                    step.pool.settings, now);
    }
}

// Closes the connections of answers that nobody waits for any more.
void sweep(exchange_step& step)
{
    const auto now = step.context.now;
    if (now < step.self.sweep_at) {
        return;
    }
    step.self.sweep_at = now + sweep_interval;
    std::vector<sending_id> overdue;
    for (const auto& [id, each] : step.self.sendings) {
        if (each.sent && !each.wanted && now >= each.give_up_at) {
            overdue.push_back(sending_id{id});
        }
    }
    for (const auto id : overdue) {
        const auto ended = take_sending(step, id);
        if (auto* leaf = find_leaf(step.pool, ended.leaf)) {
            avoid(*leaf, now + step.pool.settings.failure_penalty);
        }
        step.context.count(metrics::counter::connections_silent);
        step.context.log(make_record(
            sending_given_up, field("leaf", ended.leaf),
            field("after_ms", whole_milliseconds(now - ended.sent_at))));
        drop(step.pool, ended.connection, step.context);
    }
}

} // namespace

void begin(exchange_step& step, caller_token token,
           const request_pointer& request, const routing::table_pointer& table,
           const routing::route& route)
{
    auto& of = step.self.exchanges[raw(token)];
    of.token = token;
    of.request = request;
    of.table = table;
    of.route = &route;
    auto& record = step.self.routes[route.name];
    set_times(step, of, record);
    of.parts.reserve(std::max<std::size_t>(route.shards.size(), 1));
    if (route.shards.empty()) {
        add_part(step, of, routing::choose_service(route, ++record.requests));
    }
    for (const auto& service : route.shards) {
        add_part(step, of, service);
    }
    act(step, of);
}

void reduce(exchange_step& step, const caller_left& event)
{
    const auto found = step.self.exchanges.find(raw(event.token));
    if (found == step.self.exchanges.end()) {
        return;
    }
    auto& of = found->second;
    step.context.log(make_record(
        caller_gone, field("request", of.request->id),
        field("route", of.route->name),
        field("ms", whole_milliseconds(step.context.now - of.began))));
    withdraw(step, of, true);
    step.self.exchanges.erase(found);
}

void reduce(exchange_step& step, const leaf_connected& event)
{
    const auto found = step.pool.connections.find(raw(event.connection));
    if (found == step.pool.connections.end()) {
        return;
    }
    auto& connection = found->second;
    connection.open = true;
    connection.since = step.context.now;
    --step.pool.opening;
    auto& leaf = step.pool.leafs.at(connection.leaf);
    leaf.unreachable = 0;
    if (!connection.sending) {
        leaf.idle.push_back(event.connection);
        return;
    }
    auto& waiting = step.self.sendings.at(raw(*connection.sending));
    auto& of = step.self.exchanges.at(raw(waiting.exchange));
    transmit(step, of, of.parts[waiting.part], waiting);
    arm(step, of);
}

void reduce(exchange_step& step, const leaf_replied& event)
{
    const auto found = step.pool.connections.find(raw(event.connection));
    if (found == step.pool.connections.end() || !found->second.sending) {
        return;
    }
    const sending_id id = *found->second.sending;
    const sending ended = take_sending(step, id);
    note_reply(step, ended, event.reply);
    if (event.reusable) {
        release(step.pool, event.connection, event.reply, step.context);
    } else {
        forget(step.pool, event.connection, false, step.context);
    }
    if (ended.wanted) {
        take_reply(step, id, ended, event.reply);
    }
}

void reduce(exchange_step& step, const leaf_disconnected& event)
{
    const auto found = step.pool.connections.find(raw(event.connection));
    if (found == step.pool.connections.end()) {
        return;
    }
    const auto connection = found->second;
    forget(step.pool, event.connection, !connection.answered, step.context);
    if (!connection.sending) {
        return;
    }
    const sending_id id = *connection.sending;
    const sending ended = take_sending(step, id);
    if (!ended.wanted) {
        return;
    }
    auto& of = step.self.exchanges.at(raw(ended.exchange));
    auto& part = of.parts[ended.part];
    if (ended.sent) {
        of.may_have_run = true;
        step.context.log(make_record(
            leaf_broke_off, field("request", of.request->id),
            field("leaf", ended.leaf),
            field("after_ms",
                  whole_milliseconds(step.context.now - ended.sent_at)),
            field("cause", to_string(event.cause))));
        note_fate(step, part, id, ended, sending_fate::failed);
    } else {
        forget_unsent(step, part, id, ended);
        part.act_at = step.context.now;
    }
    act(step, of);
}

void act_on_timers(exchange_step& step)
{
    auto& timers = step.self.timers;
    while (!timers.empty() && timers.top().at <= step.context.now) {
        const auto due = timers.top();
        timers.pop();
        const auto found = step.self.exchanges.find(raw(due.token));
        if (found != step.self.exchanges.end() &&
            found->second.timer == due.at) {
            act(step, found->second);
        }
    }
    sweep(step);
}

boot_time next_wakeup(const exchanges_state& self)
{
    const boot_time sweep_at =
        self.sendings.empty() ? boot_time::max() : self.sweep_at;
    return self.timers.empty() ? sweep_at
                               : std::min(sweep_at, self.timers.top().at);
}

void answer_all(exchange_step& step)
{
    std::vector<std::uint64_t> tokens;
    for (const auto& [token, of] : step.self.exchanges) {
        tokens.push_back(token);
    }
    for (const auto token : tokens) {
        auto& of = step.self.exchanges.at(token);
        finish(step, of,
               covers_enough(of) ? covered_answer(of) : empty_answer(step, of));
    }
}

} // namespace bulrushspring::gateway
