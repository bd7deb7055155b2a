#ifndef BULRUSHSPRING_LIBRARIES_EVACUATION_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_EVACUATION_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::evacuation
{

inline constexpr event_definition evacuation_begun{
    10101, severity::warning, "evacuation_begun",
    "data_centre leafs connections running revision",
    "The operator evacuates a data centre: no further request is sent to its "
    "leafs. `running` counts the requests of this daemon there that have not "
    "ended, which are left to end."};
inline constexpr event_definition evacuation_drained{
    10102, severity::info, "evacuation_drained", "data_centre after_ms",
    "The last request of this daemon to a leaf of an evacuated data centre has "
    "ended, and no connection to one is open."};
inline constexpr event_definition evacuation_revoked{
    10103, severity::warning, "evacuation_revoked",
    "data_centre after_ms leafs running revision",
    "The evacuation of a data centre has ended: its leafs are used again, with "
    "a load that rises in steps. `running` counts the requests there that had "
    "not ended meanwhile."};

inline constexpr std::array all_events = {
    &evacuation_begun, &evacuation_drained, &evacuation_revoked};

} // namespace bulrushspring::evacuation

#endif
