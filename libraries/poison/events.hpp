#ifndef BULRUSHSPRING_LIBRARIES_POISON_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_POISON_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::poison
{

inline constexpr event_definition crashes_learned{
    9101, severity::info, "crashes_learned", "source reports changed poison",
    "Reports of other daemons changed what is known of requests that crash "
    "leafs. `poison` counts the requests among them that must not be sent to a "
    "leaf again."};

inline constexpr std::array all_events = {&crashes_learned};

} // namespace bulrushspring::poison

#endif
