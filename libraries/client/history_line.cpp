#include "libraries/client/history_line.hpp"

#include "libraries/client/answer.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace bulrushspring::client
{
namespace
{

using manifest::service_kind;
using nlohmann::json;

constexpr std::array<std::string_view, 3> kind_names = {"query", "read",
                                                        "request"};

std::int64_t microseconds_of(boot_time time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               time.time_since_epoch())
        .count();
}

boot_time time_of(std::int64_t microseconds)
{
    return boot_time{std::chrono::microseconds{microseconds}};
}

service_kind kind_of(const std::string& text)
{
    const auto found = std::find(kind_names.begin(), kind_names.end(), text);
    return static_cast<service_kind>(found - kind_names.begin());
}

// An HTTP status under which an entry may send the answer.
int http_status_of(const caller_answer& answer)
{
    switch (answer.status) {
    case answer_status::answered:
        return 200;
    case answer_status::partial:
        return 206;
    case answer_status::refused:
        return answer.run == execution::not_run ? 503 : 409;
    case answer_status::failed:
        return 502;
    case answer_status::outcome_unknown:
        return 504;
    }
    return 502;
}

history_line read_fields(const json& object)
{
    history_line line;
    line.what.id = object.at("id").get<std::string>();
    line.what.caller = object.at("caller").get<std::string>();
    line.what.kind = kind_of(object.at("kind").get<std::string>());
    line.what.service = object.at("service").get<std::string>();
    line.what.key = object.at("key").get<std::string>();
    line.what.body = object.at("text").get<std::string>();
    line.invoked = time_of(object.at("invoked_us").get<std::int64_t>());
    line.ended = time_of(object.at("ended_us").get<std::int64_t>());
    line.outcome.reached = object.at("reached").get<bool>();
    line.outcome.caller_attempts = object.at("sendings").get<std::uint32_t>();
    return line;
}

} // namespace

std::string to_json(const history_line& line)
{
    const auto& what = line.what;
    const auto& outcome = line.outcome;
    const auto kind = kind_names.at(static_cast<std::size_t>(what.kind));
    const json object = {{"id", what.id},
                         {"caller", what.caller},
                         {"kind", std::string(kind)},
                         {"service", what.service},
                         {"key", what.key},
                         {"text", what.body},
                         {"invoked_us", microseconds_of(line.invoked)},
                         {"ended_us", microseconds_of(line.ended)},
                         {"reached", outcome.reached},
                         {"sendings", outcome.caller_attempts},
                         {"entry", to_string(outcome.entry)},
                         {"http", http_status_of(outcome.answer)},
                         {"answer", json::parse(answer_json(outcome.answer))}};
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<history_line> parse_history_line(std::string_view text)
{
    const auto object = json::parse(text, nullptr, false);
    const auto failure = [](std::string detail) {
        return error{errc::malformed, "parse history", "", std::move(detail)};
    };
    try {
        auto line = read_fields(object);
        TRY(entry, parse_endpoint(object.at("entry").get<std::string>()));
        TRY(answer, parse_answer({object.at("http").get<int>(),
                                  {},
                                  object.at("answer").dump()}));
        line.outcome.entry = entry;
        line.outcome.answer = std::move(answer);
        return line;
    } catch (const json::exception& problem) {
        return failure(problem.what());
    }
}

} // namespace bulrushspring::client
