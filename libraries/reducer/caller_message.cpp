#include "libraries/reducer/caller_message.hpp"

namespace bulrushspring
{

execution execution_if_not_sent(const caller_request& request)
{
    const bool idempotent = request.kind != manifest::service_kind::request;
    const bool first_unconfirmed = request.caller_attempt == 0 && !idempotent;
    const bool first = request.caller_attempt <= 1 && !first_unconfirmed;
    return first ? execution::not_run : execution::unknown;
}

std::string_view to_string(missing_reason reason)
{
    switch (reason) {
    case missing_reason::timed_out:
        return "timed_out";
    case missing_reason::no_replica:
        return "no_replica";
    case missing_reason::no_connection:
        return "no_connection";
    case missing_reason::shed:
        return "shed";
    case missing_reason::snapshot_gone:
        return "snapshot_gone";
    case missing_reason::failed:
        return "failed";
    }
    return "unknown";
}

std::string_view to_string(answer_status status)
{
    switch (status) {
    case answer_status::answered:
        return "answered";
    case answer_status::partial:
        return "partial";
    case answer_status::refused:
        return "refused";
    case answer_status::failed:
        return "failed";
    case answer_status::outcome_unknown:
        return "outcome_unknown";
    }
    return "unknown";
}

} // namespace bulrushspring
