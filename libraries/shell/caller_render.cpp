#include "libraries/shell/caller_render.hpp"

#include <nlohmann/json.hpp>

namespace bulrushspring::shell
{
namespace
{

using json = nlohmann::json;

int refusal_status(const caller_answer& answer)
{
    const std::string_view reason = answer.reason;
    if (reason.starts_with("grant_") || reason == "id_of_another_grant" ||
        reason == "earlier_sending_unknown") {
        return 409;
    }
    if (reason == "unknown_service" || reason == "no_such_service" ||
        reason == "wrong_kind") {
        return 404;
    }
    if (reason == "malformed" || reason == "id_reused" ||
        reason == "id_missing") {
        return 400;
    }
    return 503;
}

// Replaces invalid UTF-8, since bodies come from targets and may hold any
// bytes.
std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

int http_status(const caller_answer& answer)
{
    switch (answer.status) {
    case answer_status::answered:
        return 200;
    case answer_status::partial:
        return 206;
    case answer_status::refused:
        return refusal_status(answer);
    case answer_status::failed:
        return 502;
    case answer_status::outcome_unknown:
        return 504;
    }
    return 500;
}

std::string to_json(const address_answer& answer)
{
    json entries = json::array();
    for (const auto& entry : answer.entries) {
        entries.push_back(
            {{"name", entry.name},
             {"data_centre", entry.data_centre},
             {"address", bulrushspring::to_string(entry.caller)}});
    }
    const json value = {
        {"entries", std::move(entries)},
        {"hold_ms", to_milliseconds(answer.validity)},
        {"grant", answer.grant},
        {"grant_hold_ms", to_milliseconds(answer.grant_validity)},
    };
    return dump(value);
}

} // namespace bulrushspring::shell
