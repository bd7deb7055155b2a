#include "libraries/client/answer.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace bulrushspring::client
{
namespace
{

using nlohmann::json;

constexpr std::array all_statuses = {
    answer_status::answered, answer_status::partial, answer_status::refused,
    answer_status::failed, answer_status::outcome_unknown};
constexpr std::array all_runs = {execution::ran, execution::not_run,
                                 execution::unknown};
constexpr std::array all_reasons = {
    missing_reason::timed_out,     missing_reason::no_replica,
    missing_reason::no_connection, missing_reason::shed,
    missing_reason::snapshot_gone, missing_reason::failed};

// Limit on hold and retry times in an answer: one day.
constexpr std::int64_t max_milliseconds = 86'400'000;

error answer_error(errc code, std::string detail)
{
    return {code, "parse answer", "", std::move(detail)};
}

result<json> parse_object(std::string_view text)
{
    if (text.size() > max_answer_bytes) {
        return answer_error(errc::too_large, "body");
    }
    auto value = json::parse(text, nullptr, false);
    if (!value.is_object()) {
        return answer_error(errc::malformed, "expected a JSON object");
    }
    return value;
}

result<std::string> text_of(const json& object, const char* key)
{
    const auto found = object.find(key);
    if (found == object.end()) {
        return std::string{};
    }
    if (!found->is_string()) {
        return answer_error(errc::malformed,
                            std::string(key) + ": expected a string");
    }
    return found->get<std::string>();
}

result<std::uint64_t> number_of(const json& object, const char* key,
                                std::uint64_t max)
{
    const auto found = object.find(key);
    if (found == object.end()) {
        return std::uint64_t{0};
    }
    if (!found->is_number_unsigned()) {
        return answer_error(errc::malformed,
                            std::string(key) + ": expected a whole number");
    }
    const auto value = found->get<std::uint64_t>();
    if (value > max) {
        return answer_error(errc::out_of_range, key);
    }
    return value;
}

result<duration> duration_of(const json& object, const char* key)
{
    TRY(value, number_of(object, key, max_milliseconds));
    return duration{milliseconds{value}};
}

// Parses an enumerator from its name.
template <typename Value, std::size_t Size>
result<Value> parse_name(const json& object, const char* key,
                         const std::array<Value, Size>& all)
{
    TRY(text, text_of(object, key));
    const auto found = std::find_if(all.begin(), all.end(), [&](Value value) {
        return to_string(value) == text;
    });
    if (found == all.end()) {
        return answer_error(errc::malformed,
                            std::string(key) + ": unknown value");
    }
    return *found;
}

result<std::vector<missing_shard>> parse_missing(const json& object)
{
    std::vector<missing_shard> missing;
    const auto found = object.find("missing");
    if (found == object.end()) {
        return missing;
    }
    if (!found->is_array() || found->size() > max_shards) {
        return answer_error(errc::malformed, "missing: expected an array");
    }
    for (const auto& item : *found) {
        if (!item.is_object()) {
            return answer_error(errc::malformed, "missing: expected objects");
        }
        TRY(shard, number_of(item, "shard", max_shards));
        TRY(reason, parse_name(item, "reason", all_reasons));
        missing.push_back({static_cast<manifest::shard_id>(shard), reason});
    }
    return missing;
}

// Whether docs/CALLERS.md allows the answer's `status` and `run` under the HTTP
// status.
bool consistent(int http_status, const caller_answer& answer)
{
    const auto says = [&](answer_status status, execution run) {
        return answer.status == status && answer.run == run;
    };
    switch (http_status) {
    case 200:
        return says(answer_status::answered, execution::ran) &&
               answer.missing.empty();
    case 206:
        return says(answer_status::partial, execution::ran) &&
               !answer.missing.empty();
    case 400:
    case 404:
    case 409:
    case 503:
        return answer.status == answer_status::refused &&
               answer.run != execution::ran;
    case 502:
        return says(answer_status::failed, execution::ran);
    case 504:
        return says(answer_status::outcome_unknown, execution::unknown);
    default:
        return false;
    }
}

bool covered_matches_missing(const caller_answer& answer,
                             std::string_view covered)
{
    return covered == covered_text(answer);
}

result<void> check(const http_response& response, const caller_answer& answer,
                   std::string_view covered)
{
    if (!consistent(response.status, answer)) {
        return answer_error(errc::malformed,
                            "status and run contradict HTTP status " +
                                std::to_string(response.status));
    }
    const auto unknown_shard = std::any_of(
        answer.missing.begin(), answer.missing.end(),
        [&](const missing_shard& it) { return it.shard >= answer.shards; });
    const bool has_body = answer.run == execution::ran;
    if (unknown_shard ||
        (has_body && !covered_matches_missing(answer, covered))) {
        return answer_error(errc::malformed,
                            "covered and missing shards are inconsistent");
    }
    return success();
}

result<entry_address> parse_entry(const json& item)
{
    if (!item.is_object()) {
        return answer_error(errc::malformed, "entries: expected objects");
    }
    TRY(name, text_of(item, "name"));
    TRY(data_centre, text_of(item, "data_centre"));
    TRY(text, text_of(item, "address"));
    TRY(address, parse_endpoint(text));
    return entry_address{std::move(name), std::move(data_centre), address};
}

result<void> parse_outcome(const json& object, caller_answer& answer)
{
    TRY(status, parse_name(object, "status", all_statuses));
    TRY(run, parse_name(object, "run", all_runs));
    TRY(reason, text_of(object, "reason"));
    TRY(retry_after, duration_of(object, "retry_after_ms"));
    answer.status = status;
    answer.run = run;
    answer.reason = std::move(reason);
    answer.retry_after = retry_after;
    return success();
}

result<void> parse_coverage(const json& object, caller_answer& answer)
{
    TRY(snapshot, number_of(object, "snapshot", UINT64_MAX));
    TRY(shards, number_of(object, "shards", max_shards));
    TRY(missing, parse_missing(object));
    answer.snapshot = snapshot;
    answer.shards = static_cast<std::uint32_t>(shards);
    answer.missing = std::move(missing);
    return success();
}

result<void> parse_content(const json& object, caller_answer& answer)
{
    TRY(request_id, text_of(object, "request_id"));
    TRY(leaf, text_of(object, "leaf"));
    TRY(body, text_of(object, "body"));
    TRY(grant, text_of(object, "grant"));
    answer.request_id = std::move(request_id);
    answer.leaf = std::move(leaf);
    answer.body = std::move(body);
    answer.grant = std::move(grant);
    return success();
}

void append_range(std::string& text, std::uint32_t first, std::uint32_t end)
{
    if (first == end) {
        return;
    }
    text += text.empty() ? "" : ",";
    text += std::to_string(first);
    if (end - first > 1) {
        text += "-" + std::to_string(end - 1);
    }
}

} // namespace

result<caller_answer> parse_answer(const http_response& response)
{
    TRY(object, parse_object(response.body));
    caller_answer answer;
    TRY(parse_outcome(object, answer));
    TRY(parse_coverage(object, answer));
    TRY(parse_content(object, answer));
    TRY(covered, text_of(object, "covered"));
    TRY(check(response, answer, covered));
    return answer;
}

result<address_answer> parse_addresses(const http_response& response)
{
    if (response.status != 200) {
        return answer_error(errc::malformed,
                            "addresses: HTTP status " +
                                std::to_string(response.status));
    }
    TRY(object, parse_object(response.body));
    address_answer answer;
    const auto entries = object.find("entries");
    if (entries == object.end() || !entries->is_array() ||
        entries->size() > max_entries) {
        return answer_error(errc::malformed, "entries: expected an array");
    }
    for (const auto& item : *entries) {
        TRY(entry, parse_entry(item));
        answer.entries.push_back(std::move(entry));
    }
    TRY(hold, duration_of(object, "hold_ms"));
    TRY(grant, text_of(object, "grant"));
    TRY(grant_validity, duration_of(object, "grant_hold_ms"));
    answer.validity = hold;
    answer.grant = std::move(grant);
    answer.grant_validity = grant_validity;
    return answer;
}

std::string_view to_string(execution run)
{
    switch (run) {
    case execution::ran:
        return "ran";
    case execution::not_run:
        return "not_run";
    case execution::unknown:
        return "unknown";
    }
    return "unknown";
}

double coverage_of(const caller_answer& answer)
{
    if (answer.shards == 0) {
        return 1.0;
    }
    return 1.0 - static_cast<double>(answer.missing.size()) / answer.shards;
}

std::string covered_text(const caller_answer& answer)
{
    std::vector<std::uint32_t> missing;
    for (const auto& it : answer.missing) {
        missing.push_back(it.shard);
    }
    std::sort(missing.begin(), missing.end());
    missing.push_back(answer.shards);
    std::string text;
    std::uint32_t first = 0;
    for (const auto shard : missing) {
        append_range(text, first, std::max(first, shard));
        first = shard + 1;
    }
    return text;
}

std::string answer_json(const caller_answer& answer)
{
    json missing = json::array();
    for (const auto& it : answer.missing) {
        missing.push_back({{"shard", it.shard},
                           {"reason", std::string(to_string(it.reason))}});
    }
    const json object = {
        {"request_id", answer.request_id},
        {"status", std::string(to_string(answer.status))},
        {"run", std::string(to_string(answer.run))},
        {"reason", answer.reason},
        {"snapshot", answer.snapshot},
        {"shards", answer.shards},
        {"covered", covered_text(answer)},
        {"missing", std::move(missing)},
        {"leaf", answer.leaf},
        {"body", answer.body},
        {"retry_after_ms", to_milliseconds(answer.retry_after)},
        {"grant", answer.grant}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace bulrushspring::client
