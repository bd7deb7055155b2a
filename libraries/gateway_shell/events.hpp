#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_SHELL_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_SHELL_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::gateway_shell
{

inline constexpr event_definition settings_read{
    1101, severity::info, "settings_read", "outcome detail",
    "The settings file was read again. What can't be used leaves the settings "
    "as they were; `detail` says why, or what waits for the next start."};
inline constexpr event_definition input_unreadable{
    1102, severity::warning, "input_unreadable", "step peer cause",
    "Something that came in over a network could not be read and was "
    "dropped. Look at the peer it came from."};

inline constexpr std::array all_events = {&settings_read, &input_unreadable};

} // namespace bulrushspring::gateway_shell

#endif
