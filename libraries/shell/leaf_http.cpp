#include "libraries/shell/leaf_http.hpp"

namespace bulrushspring::shell
{
namespace
{

constexpr int http_ok = 200;
constexpr int http_no_content = 204;
constexpr int http_cancelled = 499;
constexpr int http_unavailable = 503;
constexpr int http_deadline_passed = 504;

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

leaf_status read_status(int code, std::string_view refusal)
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

result<std::uint64_t> read_number(evkeyvalq* headers, const char* name,
                                  std::string_view leaf)
{
    const auto value = parse_number(header(headers, name));
    if (!value) {
        return malformed(leaf, std::string(name) + ": expected a number");
    }
    return *value;
}

void add_number(evkeyvalq* headers, const char* name, std::uint64_t value)
{
    evhttp_add_header(headers, name, std::to_string(value).c_str());
}

} // namespace

void write_leaf_request(evhttp_request* request, const leaf_request& work,
                        const std::string& attempt)
{
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", "leaf");
    evhttp_add_header(headers, "Bulrushspring-Request-Id",
                      work.request_id.c_str());
    evhttp_add_header(headers, "Bulrushspring-Attempt", attempt.c_str());
    add_number(headers, "Bulrushspring-Snapshot", work.snapshot);
    add_number(headers, "Bulrushspring-Shard", work.shard);
    if (!work.key.empty()) {
        evhttp_add_header(headers, "Bulrushspring-Key", work.key.c_str());
    }
    add_number(headers, "Bulrushspring-Deadline-Ms",
               static_cast<std::uint64_t>(to_milliseconds(work.time_left)));
    evhttp_add_header(headers, "Bulrushspring-Idempotent",
                      work.idempotent ? "yes" : "no");
    if (work.body) {
        evbuffer_add(evhttp_request_get_output_buffer(request),
                     work.body->data(), work.body->size());
    }
}

result<leaf_answer> read_leaf_answer(evhttp_request* request,
                                     std::string_view attempt,
                                     std::string_view leaf)
{
    auto* headers = evhttp_request_get_input_headers(request);
    if (header(headers, "Bulrushspring-Attempt") != attempt) {
        return malformed(leaf, "Bulrushspring-Attempt: names another attempt");
    }
    leaf_answer answer;
    answer.status = read_status(evhttp_request_get_response_code(request),
                                header(headers, "Bulrushspring-Refusal"));
    answer.run = read_execution(header(headers, "Bulrushspring-Run"));
    answer.request_id = header(headers, "Bulrushspring-Request-Id");
    TRY(snapshot, read_number(headers, "Bulrushspring-Snapshot", leaf));
    answer.snapshot = snapshot;
    TRY(shard, read_number(headers, "Bulrushspring-Shard", leaf));
    if (shard > UINT32_MAX) {
        return malformed(leaf, "Bulrushspring-Shard: too large");
    }
    answer.shard = static_cast<manifest::shard_id>(shard);
    answer.current_snapshot =
        parse_number(header(headers, "Bulrushspring-Current-Snapshot"))
            .value_or(0);
    answer.draining = header(headers, "Bulrushspring-Draining") == "yes";
    answer.queued = static_cast<std::uint32_t>(
        parse_number(header(headers, "Bulrushspring-Queued")).value_or(0));
    answer.body = content_of(evhttp_request_get_input_buffer(request));
    return answer;
}

result<leaf_health> read_leaf_health(evhttp_request* request,
                                     std::string_view leaf)
{
    const int code = evhttp_request_get_response_code(request);
    if (code != http_ok && code != http_no_content) {
        return malformed(leaf, "probe: expected status 200 or 204");
    }
    auto* headers = evhttp_request_get_input_headers(request);
    leaf_health health;
    health.draining = header(headers, "Bulrushspring-Draining") == "yes";
    health.warm = header(headers, "Bulrushspring-Warm") != "no";
    health.queued = static_cast<std::uint32_t>(
        parse_number(header(headers, "Bulrushspring-Queued")).value_or(0));
    return health;
}

} // namespace bulrushspring::shell
