#include "libraries/queries/queries.hpp"

#include "libraries/queries/answer.hpp"
#include "libraries/queries/events.hpp"
#include "libraries/queries/fan_out.hpp"
#include "libraries/queries/waiting.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace bulrushspring::queries
{
namespace
{

// A service that answers early does so only after this number of hedge delays,
// and after the deadline divided by the second constant, so that each shard has
// had enough time to answer.
constexpr std::int64_t early_answer_hedge_delays = 4;
constexpr std::int64_t early_answer_deadline_divisor = 4;

constexpr boot_time never = boot_time::max();

const manifest::service* find_service(const manifest::manifest& manifest,
                                      std::string_view name)
{
    const auto found = manifest.services.find(std::string(name));
    const bool usable = found != manifest.services.end() &&
                        found->second.kind == manifest::service_kind::query &&
                        manifest.pools.contains(found->second.pool);
    return usable ? &found->second : nullptr;
}

std::uint32_t served_shards(const manifest::pool& pool)
{
    for (const auto& snapshot : pool.snapshots) {
        if (snapshot.id == pool.served_snapshot) {
            return snapshot.shards;
        }
    }
    return 0;
}

duration reserve_of(const options& settings, duration deadline)
{
    constexpr int reserve_divisor = 10;
    return std::min(settings.answer_reserve, deadline / reserve_divisor);
}

query make_query(const state& self, const targets::state& targets,
                 caller_token token, const caller_request& request,
                 const manifest::manifest_pointer& manifest,
                 const manifest::service& service, boot_time now)
{
    query made;
    made.token = token;
    made.request = request;
    made.service_manifest = manifest;
    made.pool_manifest = manifest;
    made.service = &service;
    made.pool = &manifest->pools.at(service.pool);
    made.snapshot = made.pool->served_snapshot;
    made.shards.resize(served_shards(*made.pool));
    made.started_at = now;
    made.deadline = service.deadline;
    if (request.time_left != duration{0}) {
        made.deadline = std::min(made.deadline, request.time_left);
    }
    made.answer_by =
        now + made.deadline - reserve_of(self.settings, made.deadline);
    const auto delay = targets::hedge_delay(targets, made.pool->name);
    made.early_answer_at =
        now + std::max(early_answer_hedge_delays * delay,
                       made.deadline / early_answer_deadline_divisor);
    made.wakeup_at = never;
    made.lines.max_lines = service.result_limit;
    return made;
}

missing_reason reason_of(leaf_status status)
{
    switch (status) {
    case leaf_status::shed:
        return missing_reason::shed;
    case leaf_status::snapshot_gone:
        return missing_reason::snapshot_gone;
    case leaf_status::draining:
    case leaf_status::shard_not_held:
        return missing_reason::no_replica;
    case leaf_status::cancelled:
    case leaf_status::deadline_passed:
        return missing_reason::timed_out;
    case leaf_status::answered:
    case leaf_status::failed:
        break;
    }
    return missing_reason::failed;
}

std::string_view mismatch(const query& query, manifest::shard_id shard,
                          const leaf_answer& answer)
{
    if (answer.request_id != query.request.id) {
        return "other request";
    }
    if (answer.snapshot != query.snapshot) {
        return "other snapshot";
    }
    return answer.shard != shard ? "other shard" : "";
}

void log_attempt(step& step, const event_definition& definition,
                 const query& query, const sent_attempt& attempt,
                 std::string_view cause)
{
    auto record = make_record(
        definition, field("request", query.request.id),
        field("shard", attempt.shard),
        field("leaf", targets::leaf_name(step.targets, attempt.leaf)));
    if (!cause.empty()) {
        record.fields.push_back(field("cause", cause));
    }
    step.context.emit(write_log{std::move(record)});
}

// Merges the answer into the query's results if it belongs to this attempt and
// is well-formed. Returns whether it was merged.
bool merge_answer(step& step, query& query, const sent_attempt& attempt,
                  const leaf_answer& answer)
{
    const auto cause = mismatch(query, attempt.shard, answer);
    if (!cause.empty()) {
        step.context.emit(add_to_counter{metrics::counter::unexpected_answers});
        log_attempt(step, answer_dropped, query, attempt, cause);
        return false;
    }
    if (!merge(query.lines, answer.body)) {
        log_attempt(step, body_malformed, query, attempt, {});
        return false;
    }
    if (query.held.bytes() == 0) {
        query.held = answer.held; // names the account
    }
    query.held.set(size_in_memory(query.lines));
    mark_covered(step, query, attempt.shard);
    return true;
}

// Removes and returns an attempt that has ended. No value if it is unknown
// here, or ended on another connection than it was sent on.
std::optional<sent_attempt> end_attempt(state& self, attempt_id id,
                                        connection_id connection)
{
    const auto found = self.attempts.find(raw(id));
    const bool known =
        found != self.attempts.end() && found->second.connection == connection;
    if (!known) {
        return std::nullopt;
    }
    const auto attempt = found->second;
    self.attempts.erase(found);
    return attempt;
}

void process_due_timers(step& step)
{
    auto& self = step.self;
    while (!self.timers.empty() && self.timers.top().at <= step.context.now) {
        const auto due = self.timers.top();
        self.timers.pop();
        const auto found = self.queries.find(raw(due.query));
        if (found == self.queries.end() || found->second.wakeup_at != due.at) {
            continue;
        }
        auto& query = found->second;
        query.wakeup_at = never;
        if (step.context.now < query.answer_by) {
            send_due_attempts(step, query);
        }
        if (!restart_or_answer(step, query)) {
            schedule_wakeup(self, query,
                            next_action_time(query, step.context.now));
        }
    }
}

} // namespace

state make_state(options settings)
{
    state made;
    made.settings = settings;
    return made;
}

void begin(state& self, targets::state& targets, caller_token token,
           const caller_request& request,
           const manifest::manifest_pointer& manifest, context& context)
{
    const auto* service = manifest == nullptr
                              ? nullptr
                              : find_service(*manifest, request.service);
    if (service == nullptr) {
        refuse(context, token, request, "unknown_service", duration{0});
        return;
    }
    if (served_shards(manifest->pools.at(service->pool)) == 0) {
        refuse(context, token, request, "no_snapshot",
               self.settings.retry_after);
        return;
    }
    if (self.queries.size() >= self.settings.max_queries) {
        refuse(context, token, request, "overloaded",
               self.settings.retry_after);
        return;
    }
    if (request.time_left < duration{0}) {
        refuse(context, token, request, "deadline_passed", duration{0});
        return;
    }
    step step{self, targets, context};
    auto& query =
        self.queries
            .emplace(raw(token), make_query(self, targets, token, request,
                                            manifest, *service, context.now))
            .first->second;
    send_all_shards(step, query);
    if (!restart_or_answer(step, query)) {
        schedule_wakeup(self, query, next_action_time(query, context.now));
    }
}

void reduce(state& self, targets::state& targets, const tick&, context& context)
{
    step step{self, targets, context};
    process_due_timers(step);
}

void reduce(state& self, targets::state& targets, const leaf_answered& event,
            context& context)
{
    const auto attempt = end_attempt(self, event.attempt, event.connection);
    if (!attempt) {
        return;
    }
    const bool answered = event.answer.status == leaf_status::answered;
    if (!attempt->wanted) {
        if (answered) {
            context.emit(add_to_counter{metrics::counter::unexpected_answers});
        }
        return;
    }
    step step{self, targets, context};
    auto& query = self.queries.at(raw(attempt->query));
    query.shards[attempt->shard].outstanding.remove(event.attempt);
    note_freed_connection(self, query, attempt->shard);
    if (!answered || !merge_answer(step, query, *attempt, event.answer)) {
        retry_shard(step, query, attempt->shard, reason_of(event.answer.status),
                    true);
    }
    restart_or_answer(step, query);
}

void reduce(state& self, targets::state& targets, const leaf_failed& event,
            context& context)
{
    const auto attempt = end_attempt(self, event.attempt, event.connection);
    if (!attempt || !attempt->wanted) {
        return;
    }
    step step{self, targets, context};
    auto& query = self.queries.at(raw(attempt->query));
    query.shards[attempt->shard].outstanding.remove(event.attempt);
    const auto reason = event.cause.code == errc::timed_out
                            ? missing_reason::timed_out
                            : missing_reason::failed;
    retry_shard(step, query, attempt->shard, reason, event.sent);
    restart_or_answer(step, query);
}

void reduce(state& self, targets::state& targets,
            const caller_disconnected& event, context& context)
{
    const auto found = self.queries.find(raw(event.token));
    if (found == self.queries.end()) {
        return;
    }
    step step{self, targets, context};
    auto& query = found->second;
    std::size_t outstanding = 0;
    for (const auto& shard : query.shards) {
        outstanding += shard.outstanding.view().size();
    }
    context.emit(write_log{make_record(query_abandoned,
                                       field("request", query.request.id),
                                       field("outstanding", outstanding))});
    cancel_all(step, query);
    self.queries.erase(found);
}

void reduce(state& self, targets::state& targets, const manifest_changed& event,
            context& context)
{
    self.manifest = event.manifest;
    std::vector<caller_token> incomplete;
    for (const auto& [token, query] : self.queries) {
        if (query.missing > 0) {
            incomplete.push_back(query.token);
        }
    }
    step step{self, targets, context};
    for (const auto token : incomplete) {
        restart_or_answer(step, self.queries.at(raw(token)));
    }
}

void reduce(state& self, targets::state& targets, const queries_dropped& event,
            context& context)
{
    step step{self, targets, context};
    for (const auto token : event.tokens) {
        const auto found = self.queries.find(raw(token));
        if (found != self.queries.end()) {
            answer_query(step, found->second);
        }
    }
}

void list_candidates(const state& self, std::vector<memory::candidate>& all,
                     std::uint32_t holder)
{
    for (const auto& [token, query] : self.queries) {
        if (query.held.bytes() == 0) {
            continue;
        }
        memory::candidate found;
        found.kind = memory::drop_kind::response;
        found.bytes = query.held.bytes();
        found.holder = holder;
        found.id = token;
        all.push_back(found);
    }
}

void assign_connections(state& self, targets::state& targets, context& context)
{
    if (self.waiters == 0) {
        self.freed_queues.clear();
        return;
    }
    step step{self, targets, context};
    serve_waiting(step);
}

std::size_t in_flight(const state& self)
{
    return self.queries.size();
}

boot_time next_wakeup(const state& self)
{
    const auto timer = self.timers.empty() ? never : self.timers.top().at;
    return self.waiters > 0 ? std::min(timer, self.next_serve_at) : timer;
}

} // namespace bulrushspring::queries
