#include "libraries/queries/answer.hpp"

#include "libraries/queries/events.hpp"

#include <cmath>
#include <string>
#include <utility>

namespace bulrushspring::queries
{
namespace
{

bool coverage_suffices(const query& query)
{
    const auto needed = query.service->minimum_coverage *
                        static_cast<double>(query.shards.size());
    return query.covered + 1e-9 >= needed;
}

// Whether more shards can be covered. A shard whose snapshot is gone can be if
// the service waits for coverage: a new manifest may name a newer snapshot, on
// which the query is then restarted.
bool more_coverage_possible(const step& step, const query& query)
{
    if (query.covered + query.missing < query.shards.size()) {
        return true;
    }
    const bool may_wait = query.service->wait_for_coverage &&
                          newer_snapshot(step, query) == nullptr;
    if (!may_wait) {
        return false;
    }
    for (const auto& shard : query.shards) {
        const bool gone = shard.phase == shard_phase::missing &&
                          shard.reason == missing_reason::snapshot_gone;
        if (gone) {
            return true;
        }
    }
    return false;
}

missing_reason reason_of(const shard_state& shard)
{
    return shard.phase == shard_phase::in_flight ? missing_reason::timed_out
                                                 : shard.reason;
}

void list_missing(const query& query, caller_answer& answer)
{
    for (manifest::shard_id i = 0; i < query.shards.size(); ++i) {
        const auto& shard = query.shards[i];
        if (shard.phase != shard_phase::covered) {
            answer.missing.push_back({i, reason_of(shard)});
        }
    }
}

void set_status(const step& step, const query& query, caller_answer& answer)
{
    answer.run = query.attempts > 0 ? execution::ran : execution::not_run;
    if (answer.missing.empty()) {
        answer.status = answer_status::answered;
        return;
    }
    if (query.attempts == 0) {
        answer.status = answer_status::refused;
        answer.reason = "no_leaf_available";
        answer.retry_after = step.self.settings.retry_after;
        return;
    }
    if (coverage_suffices(query)) {
        answer.status = answer_status::partial;
        return;
    }
    answer.status = answer_status::failed;
    answer.reason = "coverage_too_low";
    answer.retry_after = step.self.settings.retry_after;
}

void log_missing(step& step, const query& query, const caller_answer& answer)
{
    if (answer.missing.empty()) {
        return;
    }
    std::string missing;
    for (const auto& shard : answer.missing) {
        missing += missing.empty() ? "" : ",";
        missing += std::to_string(shard.shard);
        missing += ':';
        missing += to_string(shard.reason);
    }
    step.context.emit(write_log{make_record(
        answer_incomplete, field("request", query.request.id),
        field("service", query.service->name),
        field("status", to_string(answer.status)),
        field("snapshot", query.snapshot), field("covered", query.covered),
        field("shards", query.shards.size()),
        field("missing", std::move(missing)))});
}

} // namespace

bool should_answer(const step& step, const query& query)
{
    const auto now = step.context.now;
    if (query.covered == query.shards.size() || now >= query.answer_by) {
        return true;
    }
    if (!more_coverage_possible(step, query)) {
        return true;
    }
    return !query.service->wait_for_coverage && now >= query.early_answer_at &&
           coverage_suffices(query);
}

void answer_query(step& step, query& query)
{
    caller_answer answer;
    answer.request_id = query.request.id;
    answer.snapshot = query.snapshot;
    answer.shards = static_cast<std::uint32_t>(query.shards.size());
    list_missing(query, answer);
    set_status(step, query, answer);
    answer.body = take_text(query.lines);
    log_missing(step, query, answer);
    cancel_all(step, query);
    auto& context = step.context;
    context.emit(record_duration{metrics::histogram::query_latency,
                                 context.now - query.started_at});
    const auto token = query.token;
    step.self.queries.erase(raw(token));
    context.emit(answer_caller{token, std::move(answer)});
}

bool restart_or_answer(step& step, query& query)
{
    restart_if_snapshot_gone(step, query);
    if (!should_answer(step, query)) {
        return false;
    }
    answer_query(step, query);
    return true;
}

void refuse(context& context, caller_token token, const caller_request& request,
            std::string_view reason, duration retry_after)
{
    caller_answer answer;
    answer.status = answer_status::refused;
    answer.run = execution::not_run;
    answer.request_id = request.id;
    answer.reason = reason;
    answer.retry_after = retry_after;
    context.emit(write_log{make_record(
        query_refused, field("request", request.id),
        field("service", request.service), field("reason", reason))});
    context.emit(answer_caller{token, std::move(answer)});
}

} // namespace bulrushspring::queries
