#ifndef BULRUSHSPRING_LIBRARIES_BALANCING_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_BALANCING_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::balancing
{

inline constexpr event_definition leaf_slow{
    10301, severity::warning, "leaf_slow", "leaf service ratio after_ms",
    "The answers of a leaf take `ratio` times as long as is usual for their "
    "routes: it gets few requests until it is found to be faster. `after_ms` "
    "is what the last answer took. At most ten of these lines are written a "
    "second; leafs_slow_total counts all."};
inline constexpr event_definition leaf_recovered{
    10302, severity::info, "leaf_recovered", "leaf service ratio slow_ms",
    "The answers of a leaf that was slow for slow_ms take little longer than "
    "usual: it gets its share of the requests again."};

inline constexpr std::array all_events = {&leaf_slow, &leaf_recovered};

} // namespace bulrushspring::balancing

#endif
