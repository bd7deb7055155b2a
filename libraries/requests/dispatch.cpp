#include "libraries/requests/dispatch.hpp"

#include "base/hash.hpp"
#include "libraries/requests/ending.hpp"
#include "libraries/requests/events.hpp"

#include <algorithm>
#include <variant>

namespace bulrushspring::requests
{
namespace
{

const manifest::pool* pool_of(const manifest::manifest_pointer& manifest,
                              const std::string& service)
{
    if (!manifest) {
        return nullptr;
    }
    const auto service_found = manifest->services.find(service);
    if (service_found == manifest->services.end()) {
        return nullptr;
    }
    const auto pool = manifest->pools.find(service_found->second.pool);
    return pool == manifest->pools.end() ? nullptr : &pool->second;
}

// Determines the snapshot and shard of a request, by the manifest in force if
// it has the service, else by the manifest that the request was begun with.
// Returns the pool, or null if no manifest allows the service to run.
const manifest::pool* locate_shard(const state& self, pending_request& pending)
{
    const auto& service = pending.request.service;
    if (self.manifest != pending.manifest &&
        pool_of(self.manifest, service) != nullptr) {
        pending.manifest = self.manifest;
    }
    const auto* pool = pool_of(pending.manifest, service);
    if (pool == nullptr) {
        return nullptr;
    }
    const auto served =
        std::find_if(pool->snapshots.begin(), pool->snapshots.end(),
                     [&](const auto& snapshot) {
                         return snapshot.id == pool->served_snapshot;
                     });
    if (served == pool->snapshots.end() || served->shards == 0) {
        return nullptr;
    }
    if (pending.snapshot != served->id) {
        pending.tried.clear();
    }
    pending.snapshot = served->id;
    pending.shard = static_cast<manifest::shard_id>(
        stable_hash(pending.request.key) % served->shards);
    return pool;
}

targets::leaf_requirements requirements_of(const pending_request& pending,
                                           const manifest::pool& pool,
                                           boot_time now)
{
    return {pool,          pending.snapshot,
            pending.shard, pending.idempotent,
            pending.tried, pending.deadline - now};
}

leaf_request leaf_request_of(const pending_request& pending, boot_time now)
{
    leaf_request request;
    request.request_id = pending.request.id;
    request.service = pending.request.service;
    request.snapshot = pending.snapshot;
    request.shard = pending.shard;
    request.key = pending.request.key;
    request.body = pending.request.body;
    request.time_left = pending.deadline - now;
    request.idempotent = pending.idempotent;
    return request;
}

// Sends an attempt and records it, for a non-idempotent request also in the
// ledger.
void send(state& self, targets::state& leafs, caller_token token,
          pending_request& pending, const targets::assignment& to,
          std::string_view why, context& at)
{
    const auto leaf = std::string(targets::leaf_name(leafs, to.leaf));
    if (!pending.idempotent) {
        find(self.request_ledger, pending.identity)->attempt = to.attempt;
    }
    self.attempts.emplace(
        to.attempt, attempt_state{token, pending.identity, pending.idempotent,
                                  pending.request.id, to.leaf, leaf,
                                  pending.snapshot, pending.shard});
    pending.open_attempts.push_back(to.attempt);
    pending.tried.push_back(to.leaf);
    at.emit(write_log{make_record(
        pending.idempotent ? read_routed : request_routed,
        field("service", pending.request.service),
        field("request", pending.request.id), field("leaf", leaf),
        field("snapshot", pending.snapshot), field("shard", pending.shard),
        field("attempt", raw(to.attempt)), field("why", why))});
    at.emit(add_to_counter{metrics::counter::leaf_requests});
    at.emit(send_to_leaf{to.connection, to.attempt,
                         leaf_request_of(pending, at.now)});
}

void plan_hedge(state& self, targets::state& leafs, caller_token token,
                pending_request& pending, const manifest::pool& pool,
                context& at)
{
    if (!pending.idempotent) {
        return;
    }
    pending.hedge_at = at.now + targets::hedge_delay(leafs, pool.name);
    set_timer(self, token, pending,
              std::min(pending.deadline, pending.hedge_at));
}

void earn_retry_budget(targets::state& leafs, pending_request& pending)
{
    if (pending.budget_earned) {
        return;
    }
    pending.budget_earned = true;
    const auto& service =
        pending.manifest->services.at(pending.request.service);
    limits::earn(targets::retry_budget_of(leafs, service));
}

void enqueue(state& self, const shard_key& key, caller_token token,
             pending_request& pending)
{
    if (pending.waiting) {
        return;
    }
    pending.waiting = true;
    self.queues[key].push_back(token);
}

bool has_earlier_waiters(const state& self, const shard_key& key,
                         const pending_request& pending)
{
    if (pending.waiting) {
        return false;
    }
    const auto found = self.queues.find(key);
    return found != self.queues.end() && !found->second.empty();
}

} // namespace

void dispatch(state& self, targets::state& leafs, caller_token token,
              std::string_view why, context& at)
{
    auto& pending = self.pending.at(token);
    if (at.now >= pending.deadline) {
        end_without_answer(self, leafs, token, reason_timed_out, at);
        return;
    }
    // A process that was suspended may resume with requests whose grant has
    // expired.
    if (!pending.idempotent && at.now >= pending.grant_expires) {
        end_not_run(self, leafs, token, reason_grant_expired, at);
        return;
    }
    const auto* pool = locate_shard(self, pending);
    if (pool == nullptr) {
        end_without_answer(self, leafs, token, reason_no_service, at);
        return;
    }
    earn_retry_budget(leafs, pending);
    const shard_key key{pool->name, pending.shard};
    if (has_earlier_waiters(self, key, pending)) {
        enqueue(self, key, token, pending);
        return;
    }
    const auto found =
        targets::assign(leafs, requirements_of(pending, *pool, at.now), at);
    if (const auto* to = std::get_if<targets::assignment>(&found)) {
        pending.waiting = false;
        send(self, leafs, token, pending, *to, why, at);
        plan_hedge(self, leafs, token, pending, *pool, at);
        return;
    }
    if (std::get<targets::unavailable_reason>(found) ==
        targets::unavailable_reason::no_connection) {
        enqueue(self, key, token, pending);
        return;
    }
    end_without_answer(self, leafs, token, reason_no_replica, at);
}

bool send_hedge(state& self, targets::state& leafs, caller_token token,
                context& at)
{
    auto& pending = self.pending.at(token);
    const auto* pool = locate_shard(self, pending);
    if (pool == nullptr || !targets::hedging_enabled(leafs, pool->name)) {
        return false;
    }
    const auto& service =
        pending.manifest->services.at(pending.request.service);
    auto& budget = targets::retry_budget_of(leafs, service);
    if (budget.tokens < 1.0) {
        return false;
    }
    const auto found =
        targets::assign(leafs, requirements_of(pending, *pool, at.now), at);
    const auto* to = std::get_if<targets::assignment>(&found);
    if (to == nullptr) {
        return false;
    }
    limits::spend(budget);
    at.emit(add_to_counter{metrics::counter::leaf_hedges});
    send(self, leafs, token, pending, *to, "hedge", at);
    return true;
}

void retry_or_end(state& self, targets::state& leafs, caller_token token,
                  context& at)
{
    auto& pending = self.pending.at(token);
    if (!pending.open_attempts.empty()) {
        return;
    }
    const auto& service =
        pending.manifest->services.at(pending.request.service);
    if (!limits::spend(targets::retry_budget_of(leafs, service))) {
        end_without_answer(self, leafs, token, pending.last_reason, at);
        return;
    }
    at.emit(add_to_counter{metrics::counter::leaf_retries});
    dispatch(self, leafs, token, "retry", at);
}

void end_without_answer(state& self, targets::state& leafs, caller_token token,
                        std::string_view reason, context& at)
{
    const auto& pending = self.pending.at(token);
    if (pending.ran) {
        caller_answer answer;
        answer.status = answer_status::failed;
        answer.run = execution::ran;
        answer.reason = std::string(reason_failed);
        end_work(self, leafs, token, std::move(answer), at);
        return;
    }
    if (!pending.open_attempts.empty()) {
        end_unknown(self, leafs, token, reason, at);
        return;
    }
    const auto last_failure =
        pending.last_reason.empty() ? reason : pending.last_reason;
    if (pending.may_have_run) {
        end_unknown(self, leafs, token, last_failure, at);
        return;
    }
    end_not_run(self, leafs, token, last_failure, at);
}

} // namespace bulrushspring::requests
