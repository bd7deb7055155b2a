#include "libraries/queries/fan_out.hpp"

#include "libraries/queries/events.hpp"
#include "libraries/queries/waiting.hpp"

#include <algorithm>

namespace bulrushspring::queries
{
namespace
{

// If more than half of a query's shards are outstanding, the pool is slow
// rather than single leafs: the hedge delay is multiplied by this factor.
constexpr std::int64_t slow_pool_delay_factor = 3;
// After this number of hedge delays a hedge may go to a leaf that was already
// tried, over another connection, if no other replica is left: the fault may
// be in the first connection.
constexpr std::int64_t same_leaf_delay_factor = 4;
// How often a shard is retried after all its replicas failed it.
constexpr std::uint8_t max_backoffs_after_failure = 2;
// A restart requires that at least the query's deadline divided by this is
// left.
constexpr std::int64_t restart_deadline_divisor = 4;

enum class send_result : std::uint8_t { sent, no_replica, no_connection };

limits::retry_budget& retry_budget_of(step& step, const query& query)
{
    return targets::retry_budget_of(step.targets, *query.service);
}

duration delay_of(const step& step, const query& query)
{
    return targets::hedge_delay(step.targets, query.pool->name);
}

leaf_request make_request(const query& query, manifest::shard_id shard,
                          boot_time now)
{
    leaf_request request;
    request.request_id = query.request.id;
    request.service = query.service->name;
    request.snapshot = query.snapshot;
    request.shard = shard;
    request.body = query.request.body;
    request.time_left = query.answer_by - now;
    return request;
}

send_result send(step& step, query& query, manifest::shard_id shard,
                 std::span<const targets::leaf_index> excluded)
{
    auto& context = step.context;
    if (context.now >= query.answer_by) {
        return send_result::no_connection;
    }
    const targets::leaf_requirements requirements{
        *query.pool, query.snapshot, shard,
        true,        excluded,       query.answer_by - context.now};
    const auto assigned = targets::assign(step.targets, requirements, context);
    if (const auto* reason =
            std::get_if<targets::unavailable_reason>(&assigned)) {
        return *reason == targets::unavailable_reason::no_replica
                   ? send_result::no_replica
                   : send_result::no_connection;
    }
    const auto& sent = std::get<targets::assignment>(assigned);
    auto& state = query.shards[shard];
    state.phase = shard_phase::in_flight;
    state.last_sent_at = context.now;
    state.next_action_at = context.now + delay_of(step, query);
    state.outstanding.push(sent.attempt);
    state.tried.push(sent.leaf);
    ++query.attempts;
    step.self.attempts.emplace(
        raw(sent.attempt),
        sent_attempt{query.token, shard, sent.connection, sent.leaf, true});
    context.emit(send_to_leaf{sent.connection, sent.attempt,
                              make_request(query, shard, context.now)});
    return send_result::sent;
}

void log_extra_attempt(step& step, const event_definition& definition,
                       const query& query, manifest::shard_id shard,
                       std::string_view key, std::string value)
{
    const auto& tried = query.shards[shard].tried.view();
    step.context.emit(write_log{make_record(
        definition, field("request", query.request.id), field("shard", shard),
        field("leaf", targets::leaf_name(step.targets, tried.back())),
        field(key, std::move(value)),
        field("tokens", retry_budget_of(step, query).tokens))});
}

void give_up(query& query, manifest::shard_id shard)
{
    query.shards[shard].phase = shard_phase::missing;
    ++query.missing;
}

void start_waiting(step& step, query& query, manifest::shard_id shard)
{
    auto& state = query.shards[shard];
    state.phase = shard_phase::waiting;
    if (!wait_for_connection(step.self, query, shard)) {
        give_up(query, shard);
    }
}

bool may_recover(const step& step, const query& query, const shard_state& shard)
{
    const auto until = query.service->wait_for_coverage
                           ? query.answer_by
                           : std::min(query.early_answer_at, query.answer_by);
    if (step.context.now >= until) {
        return false;
    }
    switch (shard.reason) {
    case missing_reason::shed:
    case missing_reason::timed_out:
    case missing_reason::no_connection:
        return true;
    case missing_reason::failed:
        return shard.backoffs < max_backoffs_after_failure;
    case missing_reason::no_replica:
    case missing_reason::snapshot_gone:
        return false;
    }
    return false;
}

// Schedules a retry of the shard with backoff, or gives it up.
void back_off_or_give_up(step& step, query& query, manifest::shard_id shard)
{
    auto& state = query.shards[shard];
    if (!may_recover(step, query, state)) {
        give_up(query, shard);
        return;
    }
    constexpr std::uint8_t max_doublings = 10;
    const auto& settings = step.self.settings;
    const auto backoff =
        std::min(settings.max_retry_backoff,
                 settings.min_retry_backoff *
                     (1 << std::min(state.backoffs, max_doublings)));
    state.backoffs =
        static_cast<std::uint8_t>(std::min(state.backoffs + 1, 255));
    state.phase = shard_phase::backing_off;
    state.next_action_at = step.context.now + backoff;
    schedule_wakeup(step.self, query, state.next_action_at);
}

bool snapshot_in_manifest(const step& step, const query& query)
{
    const auto& manifest = step.self.manifest;
    if (manifest == nullptr) {
        return true;
    }
    const auto pool = manifest->pools.find(query.pool->name);
    if (pool == manifest->pools.end()) {
        return false;
    }
    const auto& snapshots = pool->second.snapshots;
    return std::any_of(
        snapshots.begin(), snapshots.end(),
        [&](const auto& known) { return known.id == query.snapshot; });
}

// Handles a shard for which no untried replica is left.
void handle_no_replica(step& step, query& query, manifest::shard_id shard)
{
    auto& state = query.shards[shard];
    if (!snapshot_in_manifest(step, query)) {
        state.reason = missing_reason::snapshot_gone;
    } else if (state.tried.empty()) {
        state.reason = missing_reason::no_replica;
    }
    state.tried.clear();
    back_off_or_give_up(step, query, shard);
}

// Sends an attempt for the shard. `charged` says whether it is charged to the
// retry budget, with one token; the first attempt never is, and earns tokens.
send_result send_attempt(step& step, query& query, manifest::shard_id shard,
                         bool charged)
{
    auto& state = query.shards[shard];
    auto& budget = retry_budget_of(step, query);
    const bool extra = state.first_attempt_sent;
    const auto result = send(step, query, shard, state.tried.view());
    if (result != send_result::sent) {
        return result;
    }
    step.context.emit(add_to_counter{metrics::counter::leaf_requests});
    schedule_wakeup(step.self, query, state.next_action_at);
    if (!extra) {
        state.first_attempt_sent = true;
        limits::earn(budget);
        return result;
    }
    if (charged) {
        limits::spend(budget);
    }
    step.context.emit(add_to_counter{metrics::counter::leaf_retries});
    log_extra_attempt(step, retry_sent, query, shard, "reason",
                      std::string(to_string(state.reason)));
    return result;
}

bool budget_allows(step& step, const query& query, const shard_state& shard,
                   bool charged)
{
    return !shard.first_attempt_sent || !charged ||
           retry_budget_of(step, query).tokens >= 1.0;
}

void send_or_wait(step& step, query& query, manifest::shard_id shard,
                  bool charged)
{
    auto& state = query.shards[shard];
    if (!budget_allows(step, query, state, charged)) {
        back_off_or_give_up(step, query, shard);
        return;
    }
    if (has_waiters(step.self, query, shard)) {
        start_waiting(step, query, shard);
        return;
    }
    const auto result = send_attempt(step, query, shard, charged);
    if (result == send_result::no_connection) {
        start_waiting(step, query, shard);
    } else if (result == send_result::no_replica) {
        handle_no_replica(step, query, shard);
    }
}

bool pool_is_slow(const query& query)
{
    const auto settled = query.covered + query.missing;
    return (query.shards.size() - settled) * 2 > query.shards.size() &&
           query.shards.size() > 1;
}

// Sends a hedge if the conditions allow it now. Sets the time of the next
// check.
void send_hedge_if_allowed(step& step, query& query, manifest::shard_id shard)
{
    auto& state = query.shards[shard];
    const auto now = step.context.now;
    const auto delay = delay_of(step, query);
    const auto waited = now - state.last_sent_at;
    state.next_action_at = now + delay;
    const bool postponed =
        pool_is_slow(query) && waited < slow_pool_delay_factor * delay;
    if (postponed || state.outstanding.full() ||
        retry_budget_of(step, query).tokens < 1.0 ||
        !targets::hedging_enabled(step.targets, query.pool->name)) {
        return;
    }
    auto result = send(step, query, shard, state.tried.view());
    if (result == send_result::no_replica &&
        waited >= same_leaf_delay_factor * delay) {
        result = send(step, query, shard, {});
    }
    if (result != send_result::sent) {
        return;
    }
    limits::spend(retry_budget_of(step, query));
    ++state.hedges;
    state.next_action_at = now + delay * (std::int64_t{1} << state.hedges);
    step.context.emit(add_to_counter{metrics::counter::leaf_requests});
    step.context.emit(add_to_counter{metrics::counter::leaf_hedges});
    log_extra_attempt(step, hedge_sent, query, shard, "waited_ms",
                      std::to_string(to_milliseconds(waited)));
}

void cancel_outstanding(step& step, shard_state& shard)
{
    for (const auto attempt : shard.outstanding.view()) {
        step.self.attempts.at(raw(attempt)).wanted = false;
        targets::cancel(step.targets, attempt, step.context);
    }
    shard.outstanding.clear();
}

void log_routing(step& step, const query& query)
{
    std::string leafs;
    leafs.reserve(query.shards.size() * 16);
    for (std::size_t shard = 0; shard < query.shards.size(); ++shard) {
        const auto& tried = query.shards[shard].tried;
        leafs += leafs.empty() ? "" : ",";
        leafs += std::to_string(shard);
        leafs += ':';
        leafs += tried.empty()
                     ? "-"
                     : targets::leaf_name(step.targets, tried.view().back());
    }
    step.context.emit(write_log{
        make_record(query_routed, field("request", query.request.id),
                    field("service", query.service->name),
                    field("snapshot", query.snapshot),
                    field("deadline_ms",
                          to_milliseconds(query.answer_by - step.context.now)),
                    field("leafs", std::move(leafs)))});
}

bool any_snapshot_gone(const query& query)
{
    return query.missing > 0 &&
           std::any_of(query.shards.begin(), query.shards.end(),
                       [](const shard_state& shard) {
                           return shard.phase == shard_phase::missing &&
                                  shard.reason == missing_reason::snapshot_gone;
                       });
}

} // namespace

void send_all_shards(step& step, query& query)
{
    for (manifest::shard_id i = 0; i < query.shards.size(); ++i) {
        send_or_wait(step, query, i, false);
    }
    log_routing(step, query);
}

bool send_waiting_shard(step& step, query& query, manifest::shard_id shard)
{
    auto& state = query.shards[shard];
    if (!budget_allows(step, query, state, true)) {
        stop_waiting(step.self, query, shard);
        back_off_or_give_up(step, query, shard);
        return true;
    }
    const auto result = send_attempt(step, query, shard, true);
    if (result == send_result::no_connection) {
        return false;
    }
    stop_waiting(step.self, query, shard);
    if (result == send_result::no_replica) {
        handle_no_replica(step, query, shard);
    }
    return true;
}

void retry_shard(step& step, query& query, manifest::shard_id shard,
                 missing_reason reason, bool caused_load)
{
    auto& state = query.shards[shard];
    state.reason = reason;
    if (state.outstanding.empty()) {
        send_or_wait(step, query, shard, caused_load);
    }
}

void send_due_attempts(step& step, query& query)
{
    for (manifest::shard_id i = 0; i < query.shards.size(); ++i) {
        const auto& shard = query.shards[i];
        if (shard.next_action_at > step.context.now) {
            continue;
        }
        if (shard.phase == shard_phase::in_flight) {
            send_hedge_if_allowed(step, query, i);
        } else if (shard.phase == shard_phase::backing_off) {
            send_or_wait(step, query, i, true);
        }
    }
}

void mark_covered(step& step, query& query, manifest::shard_id shard)
{
    auto& state = query.shards[shard];
    cancel_outstanding(step, state);
    state.phase = shard_phase::covered;
    ++query.covered;
}

void cancel_all(step& step, query& query)
{
    for (manifest::shard_id i = 0; i < query.shards.size(); ++i) {
        auto& shard = query.shards[i];
        cancel_outstanding(step, shard);
        if (shard.phase == shard_phase::waiting) {
            stop_waiting(step.self, query, i);
        }
    }
}

const manifest::snapshot* newer_snapshot(const step& step, const query& query)
{
    if (step.self.manifest == nullptr) {
        return nullptr;
    }
    const auto found = step.self.manifest->pools.find(query.pool->name);
    if (found == step.self.manifest->pools.end() ||
        found->second.served_snapshot == query.snapshot) {
        return nullptr;
    }
    for (const auto& snapshot : found->second.snapshots) {
        if (snapshot.id == found->second.served_snapshot) {
            return &snapshot;
        }
    }
    return nullptr;
}

bool restart_if_snapshot_gone(step& step, query& query)
{
    const auto* newer = newer_snapshot(step, query);
    const auto left = query.answer_by - step.context.now;
    const bool possible = newer != nullptr && any_snapshot_gone(query) &&
                          query.restarts < step.self.settings.max_restarts &&
                          left * restart_deadline_divisor >= query.deadline;
    if (!possible) {
        return false;
    }
    step.context.emit(write_log{
        make_record(query_restarted, field("request", query.request.id),
                    field("from", query.snapshot), field("to", newer->id),
                    field("discarded", query.covered))});
    cancel_all(step, query);
    ++query.restarts;
    query.pool_manifest = step.self.manifest;
    query.pool = &query.pool_manifest->pools.at(query.pool->name);
    query.snapshot = newer->id;
    query.shards.assign(newer->shards, shard_state{});
    query.covered = 0;
    query.missing = 0;
    clear(query.lines);
    query.held.set(0);
    send_all_shards(step, query);
    return true;
}

void schedule_wakeup(state& self, query& query, boot_time at)
{
    if (at < query.wakeup_at) {
        query.wakeup_at = at;
        self.timers.push({at, query.token});
    }
}

boot_time next_action_time(const query& query, boot_time now)
{
    auto next = query.answer_by;
    if (!query.service->wait_for_coverage && query.early_answer_at > now) {
        next = std::min(next, query.early_answer_at);
    }
    for (const auto& shard : query.shards) {
        if (shard.phase == shard_phase::in_flight ||
            shard.phase == shard_phase::backing_off) {
            next = std::min(next, shard.next_action_at);
        }
    }
    return next;
}

} // namespace bulrushspring::queries
