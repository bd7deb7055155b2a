#include "fakes/history/history.hpp"

#include "fakes/http/server.hpp"
#include "fakes/leaf/result.hpp"
#include "libraries/client/answer.hpp"

#include <algorithm>
#include <set>
#include <sstream>
#include <unordered_map>
#include <utility>

namespace bulrushspring::fakes
{
namespace
{

using client::history_line;
using manifest::service_kind;
using manifest::shard_id;

using executions_by_id =
    std::unordered_map<std::string_view, std::vector<const execution_record*>>;

// The state of one call of check_history().
struct checker {
    const history& run;
    executions_by_id executions;
    std::vector<violation> violations;

    void report(violation_kind kind, std::string_view id, std::string detail)
    {
        violations.push_back({kind, std::string(id), std::move(detail)});
    }
};

const std::vector<const execution_record*>& executions_of(const checker& state,
                                                          std::string_view id)
{
    static const std::vector<const execution_record*> none;
    const auto found = state.executions.find(id);
    return found == state.executions.end() ? none : found->second;
}

std::string list_leafs(const std::vector<const execution_record*>& executions)
{
    std::string text = "executed by";
    for (const auto* it : executions) {
        text += " " + it->leaf + " (" + it->attempt + ")";
    }
    return text;
}

void check_executions(checker& state)
{
    for (const auto& [id, executions] : state.executions) {
        const auto& first = *executions.front();
        if (!first.idempotent && executions.size() > 1) {
            state.report(violation_kind::run_twice, id, list_leafs(executions));
        }
    }
}

void check_callers(checker& state)
{
    std::set<std::string_view> ids;
    for (const auto& line : state.run.calls) {
        if (!ids.insert(line.what.id).second) {
            state.report(violation_kind::id_used_twice, line.what.id,
                         line.what.caller);
        }
    }
    for (const auto& [id, executions] : state.executions) {
        if (state.run.callers_complete && ids.count(id) == 0) {
            state.report(violation_kind::unknown_execution, id,
                         list_leafs(executions));
        }
    }
}

// Compares the execution status reported to a caller with the leafs' records.
void check_execution_status(checker& state, const history_line& line)
{
    const auto& answer = line.outcome.answer;
    const auto& executions = executions_of(state, line.what.id);
    if (answer.run == execution::not_run && !executions.empty()) {
        state.report(violation_kind::refused_but_run, line.what.id,
                     list_leafs(executions));
    }
    // A query can fail for low coverage without any execution.
    const bool failed_query = line.what.kind == service_kind::query &&
                              answer.status == answer_status::failed;
    if (answer.run == execution::ran && executions.empty() && !failed_query &&
        state.run.executions_complete) {
        state.report(violation_kind::answered_unrun, line.what.id,
                     "no leaf executed it");
    }
    for (const auto* it : executions) {
        if (it->started < line.invoked) {
            state.report(violation_kind::run_before_asked, line.what.id,
                         it->leaf);
        }
    }
}

std::vector<shard_id> covered_shards(const caller_answer& answer)
{
    std::vector<bool> missing(answer.shards);
    for (const auto& it : answer.missing) {
        missing.at(it.shard) = true;
    }
    std::vector<shard_id> covered;
    for (shard_id shard = 0; shard < answer.shards; ++shard) {
        if (!missing[shard]) {
            covered.push_back(shard);
        }
    }
    return covered;
}

void check_coverage(checker& state, const history_line& line)
{
    const auto& answer = line.outcome.answer;
    std::set<shard_id> executed;
    for (const auto* it : executions_of(state, line.what.id)) {
        if (it->snapshot == answer.snapshot) {
            executed.insert(it->shard);
        }
    }
    for (const auto shard : covered_shards(answer)) {
        if (executed.count(shard) == 0) {
            state.report(violation_kind::false_coverage, line.what.id,
                         "shard " + std::to_string(shard));
        }
    }
}

std::string expected_query(const checker& state, const history_line& line)
{
    const auto& answer = line.outcome.answer;
    const auto& limits = state.run.result_limits;
    const auto limit = limits.find(line.what.service);
    const auto lines = static_cast<std::uint32_t>(
        std::count(answer.body.begin(), answer.body.end(), '\n'));
    return merged_result({line.what.service, line.what.body, answer.snapshot},
                         covered_shards(answer),
                         limit == limits.end() ? lines : limit->second);
}

// Returns whether the answer to a read or request is the result of one of its
// executions at the leaf that the answer names.
bool matches_an_execution(const checker& state, const history_line& line)
{
    const auto& executions = executions_of(state, line.what.id);
    return std::any_of(
        executions.begin(), executions.end(), [&](const auto* it) {
            const result_source source{line.what.service, line.what.key,
                                       it->snapshot, it->shard};
            return it->leaf == line.outcome.answer.leaf &&
                   single_result(source) == line.outcome.answer.body;
        });
}

void check_query(checker& state, const history_line& line)
{
    const auto& answer = line.outcome.answer;
    if (answer.body != expected_query(state, line)) {
        state.report(violation_kind::wrong_answer, line.what.id,
                     "body is not the merged lines of the covered shards");
    }
    if (state.run.executions_complete) {
        check_coverage(state, line);
    }
}

void check_content(checker& state, const history_line& line)
{
    const auto& answer = line.outcome.answer;
    const bool has_content = answer.status == answer_status::answered ||
                             answer.status == answer_status::partial;
    if (!has_content) {
        return;
    }
    if (line.what.kind == service_kind::query) {
        check_query(state, line);
        return;
    }
    if (state.run.executions_complete && !matches_an_execution(state, line)) {
        state.report(violation_kind::wrong_answer, line.what.id,
                     "no execution at leaf " + answer.leaf +
                         " produces this body");
    }
}

void check_consistency(checker& state, const history_line& line)
{
    const auto& answer = line.outcome.answer;
    if (answer.request_id != line.what.id) {
        state.report(violation_kind::wrong_answer, line.what.id,
                     "answer names request " + answer.request_id);
    }
    const bool complete = answer.status == answer_status::answered;
    const bool query = line.what.kind == service_kind::query;
    std::set<shard_id> missing;
    for (const auto& it : answer.missing) {
        missing.insert(it.shard);
    }
    if ((complete && !missing.empty()) ||
        (complete && query && answer.shards == 0) ||
        missing.size() != answer.missing.size()) {
        state.report(violation_kind::inconsistent, line.what.id,
                     "shards " + std::to_string(answer.shards) + ", missing " +
                         std::to_string(answer.missing.size()));
    }
}

result<void>
for_each_line(const std::string& path,
              const std::function<result<void>(std::string_view)>& parse)
{
    TRY(content, read_file(path));
    std::istringstream stream(content);
    std::size_t number = 0;
    for (std::string line; std::getline(stream, line);) {
        ++number;
        if (line.empty()) {
            continue;
        }
        auto parsed = parse(line);
        if (parsed.has_error()) {
            auto failure = parsed.error();
            failure.peer = path + ":" + std::to_string(number);
            return failure;
        }
    }
    return success();
}

} // namespace

std::string_view to_string(violation_kind kind)
{
    switch (kind) {
    case violation_kind::run_twice:
        return "run_twice";
    case violation_kind::refused_but_run:
        return "refused_but_run";
    case violation_kind::answered_unrun:
        return "answered_unrun";
    case violation_kind::run_before_asked:
        return "run_before_asked";
    case violation_kind::wrong_answer:
        return "wrong_answer";
    case violation_kind::false_coverage:
        return "false_coverage";
    case violation_kind::inconsistent:
        return "inconsistent";
    case violation_kind::id_used_twice:
        return "id_used_twice";
    case violation_kind::unknown_execution:
        return "unknown_execution";
    }
    return "unknown";
}

std::vector<violation> check_history(const history& run)
{
    checker state{run, {}, {}};
    for (const auto& it : run.executions) {
        state.executions[it.request_id].push_back(&it);
    }
    check_executions(state);
    check_callers(state);
    for (const auto& line : run.calls) {
        check_execution_status(state, line);
        check_consistency(state, line);
        check_content(state, line);
    }
    return std::move(state.violations);
}

result<void> add_calls(history& run, const std::string& path)
{
    return for_each_line(path, [&](std::string_view text) -> result<void> {
        TRY(line, client::parse_history_line(text));
        run.calls.push_back(std::move(line));
        return success();
    });
}

result<void> add_executions(history& run, const std::string& path)
{
    return for_each_line(path, [&](std::string_view text) -> result<void> {
        TRY(record, parse_execution(text));
        run.executions.push_back(std::move(record));
        return success();
    });
}

} // namespace bulrushspring::fakes
