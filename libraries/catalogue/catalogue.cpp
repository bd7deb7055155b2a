#include "libraries/catalogue/catalogue.hpp"

#include "libraries/admission/events.hpp"
#include "libraries/configuration/events.hpp"
#include "libraries/gateway/events.hpp"
#include "libraries/gateway_shell/events.hpp"
#include "libraries/log/events.hpp"
#include "libraries/membership/events.hpp"
#include "libraries/node/events.hpp"
#include "libraries/queries/events.hpp"
#include "libraries/requests/events.hpp"
#include "libraries/targets/events.hpp"
#include "libraries/topology/events.hpp"

#include <algorithm>

namespace bulrushspring::catalogue
{
namespace
{

template <typename Events>
void append(std::vector<const event_definition*>& to, const Events& events)
{
    to.insert(to.end(), events.begin(), events.end());
}

std::string_view level_text(severity level)
{
    switch (level) {
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "info";
}

} // namespace

std::vector<const event_definition*> all_events()
{
    std::vector<const event_definition*> all;
    append(all, log_events::all_events);
    append(all, node::all_events);
    append(all, gateway_shell::all_events);
    append(all, membership::all_events);
    append(all, configuration::all_events);
    append(all, targets::all_events);
    append(all, queries::all_events);
    append(all, requests::all_events);
    append(all, admission::all_events);
    append(all, gateway::all_events);
    append(all, topology::all_events);
    std::sort(all.begin(), all.end(), [](const auto* left, const auto* right) {
        return left->number < right->number;
    });
    return all;
}

std::string to_markdown()
{
    std::string page =
        "# Events\n\n"
        "Each decision is a log line `E<number> <name> key=value ...`. This\n"
        "page is written by `bulrushspring-events`; a test compares them.\n\n"
        "| number | name | level | fields | meaning |\n"
        "|---|---|---|---|---|\n";
    for (const auto* event : all_events()) {
        page += "| E" + std::to_string(event->number) + " | " +
                std::string(event->name) + " | " +
                std::string(level_text(event->level)) + " | " +
                std::string(event->fields) + " | " +
                std::string(event->meaning) + " |\n";
    }
    return page;
}

} // namespace bulrushspring::catalogue
