#ifndef BULRUSHSPRING_LIBRARIES_LOG_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_LOG_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::log_events
{

inline constexpr event_definition lines_dropped{
    901, severity::warning, "lines_dropped", "lines",
    "The given number of log lines before this one was dropped: the limit of "
    "lines per second was exceeded, or the reader of the log was too slow."};

inline constexpr std::array all_events = {&lines_dropped};

} // namespace bulrushspring::log_events

#endif
