#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_SHELL_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_SHELL_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::gateway_shell
{

inline constexpr event_definition settings_read{
    1101, severity::info, "settings_read", "outcome detail",
    "The settings file was reloaded. Invalid content leaves the settings "
    "unchanged; `detail` gives the reason, or the changes that take effect at "
    "the next start."};
inline constexpr event_definition input_unreadable{
    1102, severity::warning, "input_unreadable", "step peer cause",
    "Input from the network could not be decoded and was dropped. Check the "
    "peer that sent it."};

inline constexpr event_definition process_ended{
    1103, severity::info, "process_ended", "unanswered unsent",
    "The process ends. `unanswered` counts callers' requests that were read "
    "and get no answer, `unsent` answers that were not completely sent; both "
    "are 0 after a planned stop."};

inline constexpr std::array all_events = {&settings_read, &input_unreadable,
                                          &process_ended};

} // namespace bulrushspring::gateway_shell

#endif
