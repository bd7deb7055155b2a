#ifndef BULRUSHSPRING_LIBRARIES_LOG_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_LOG_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::log_events
{

inline constexpr event_definition lines_dropped{
    901, severity::warning, "lines_dropped", "lines",
    "So many log lines were left out before this one: more came in a second "
    "than are allowed, or the reader of the log did not keep up."};

inline constexpr std::array all_events = {&lines_dropped};

} // namespace bulrushspring::log_events

#endif
