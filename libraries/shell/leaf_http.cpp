#include "libraries/shell/leaf_http.hpp"

#include "libraries/shell/http.hpp"

namespace bulrushspring::shell
{
namespace
{

constexpr unsigned http_ok = 200;
constexpr unsigned http_no_content = 204;
constexpr unsigned http_cancelled = 499;
constexpr unsigned http_unavailable = 503;
constexpr unsigned http_deadline_passed = 504;

error malformed(std::string_view leaf, std::string detail)
{
    return error{errc::malformed, "read leaf's answer", std::string(leaf),
                 std::move(detail)};
}

leaf_status read_refusal(std::string_view refusal)
{
    if (refusal == "shed") {
        return leaf_status::shed;
    }
    if (refusal == "draining") {
        return leaf_status::draining;
    }
    if (refusal == "snapshot_gone") {
        return leaf_status::snapshot_gone;
    }
    if (refusal == "shard_not_held") {
        return leaf_status::shard_not_held;
    }
    return leaf_status::failed;
}

leaf_status read_status(unsigned code, std::string_view refusal)
{
    switch (code) {
    case http_ok:
        return leaf_status::answered;
    case http_cancelled:
        return leaf_status::cancelled;
    case http_unavailable:
        return read_refusal(refusal);
    case http_deadline_passed:
        return leaf_status::deadline_passed;
    default:
        return leaf_status::failed;
    }
}

execution read_execution(std::string_view text)
{
    if (text == "ran") {
        return execution::ran;
    }
    return text == "not_run" ? execution::not_run : execution::unknown;
}

result<std::uint64_t> read_number(const http::response& answer,
                                  const char* name, std::string_view leaf)
{
    const auto value = parse_number(http::header_value(answer.headers, name));
    if (!value) {
        return malformed(leaf, std::string(name) + ": expected a number");
    }
    return *value;
}

// The number of requests queued at the leaf; 0 if it isn't stated.
std::uint32_t read_queued(const http::response& answer)
{
    return static_cast<std::uint32_t>(
        parse_number(http::header_value(answer.headers, "Bulrushspring-Queued"))
            .value_or(0));
}

bool states_draining(const http::response& answer)
{
    return http::header_value(answer.headers, "Bulrushspring-Draining") ==
           "yes";
}

http::request make_request(const char* method, std::string target)
{
    http::request message;
    message.method = method;
    message.target = std::move(target);
    message.headers = {{"Host", "leaf"}};
    return message;
}

} // namespace

http::request make_work_request(const leaf_request& work,
                                const std::string& attempt)
{
    auto message = make_request("POST", "/v1/work/" + work.service);
    const auto add = [&](const char* name, std::string value) {
        message.headers.push_back({name, std::move(value)});
    };
    add("Bulrushspring-Request-Id", work.request_id);
    add(attempt_header, attempt);
    add("Bulrushspring-Snapshot", std::to_string(work.snapshot));
    add("Bulrushspring-Shard", std::to_string(work.shard));
    if (!work.key.empty()) {
        add("Bulrushspring-Key", work.key);
    }
    add("Bulrushspring-Deadline-Ms",
        std::to_string(to_milliseconds(work.time_left)));
    add("Bulrushspring-Idempotent", work.idempotent ? "yes" : "no");
    if (work.body) {
        message.body = *work.body;
    }
    return message;
}

http::request make_probe_request()
{
    return make_request("GET", "/v1/probe");
}

http::request make_cancel_request(const std::string& attempt)
{
    return make_request("DELETE", "/v1/work/" + attempt);
}

result<leaf_answer> read_leaf_answer(http::response answer,
                                     std::string_view attempt,
                                     std::string_view leaf)
{
    const auto value = [&](const char* name) {
        return http::header_value(answer.headers, name);
    };
    if (value(attempt_header) != attempt) {
        return malformed(leaf, "Bulrushspring-Attempt: names another attempt");
    }
    leaf_answer read;
    read.status = read_status(answer.status, value("Bulrushspring-Refusal"));
    read.run = read_execution(value("Bulrushspring-Run"));
    read.request_id = value("Bulrushspring-Request-Id");
    TRY(snapshot, read_number(answer, "Bulrushspring-Snapshot", leaf));
    read.snapshot = snapshot;
    TRY(shard, read_number(answer, "Bulrushspring-Shard", leaf));
    if (shard > UINT32_MAX) {
        return malformed(leaf, "Bulrushspring-Shard: too large");
    }
    read.shard = static_cast<manifest::shard_id>(shard);
    read.current_snapshot =
        parse_number(value("Bulrushspring-Current-Snapshot")).value_or(0);
    read.draining = states_draining(answer);
    read.queued = read_queued(answer);
    read.body = std::move(answer.body);
    return read;
}

result<leaf_health> read_leaf_health(const http::response& answer,
                                     std::string_view leaf)
{
    if (answer.status != http_ok && answer.status != http_no_content) {
        return malformed(leaf, "probe: expected status 200 or 204, found " +
                                   std::to_string(answer.status));
    }
    leaf_health health;
    health.draining = states_draining(answer);
    health.warm =
        http::header_value(answer.headers, "Bulrushspring-Warm") != "no";
    health.queued = read_queued(answer);
    return health;
}

} // namespace bulrushspring::shell
