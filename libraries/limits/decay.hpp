#ifndef BULRUSHSPRING_LIBRARIES_LIMITS_DECAY_HPP
#define BULRUSHSPRING_LIBRARIES_LIMITS_DECAY_HPP

#include "base/time.hpp"

#include <cmath>

namespace bulrushspring::limits
{

// What is left of 1 after exponential decay over a time span.
inline double decay_factor(duration span, duration half_life)
{
    return std::exp2(-static_cast<double>(span.count()) /
                     static_cast<double>(half_life.count()));
}

} // namespace bulrushspring::limits

#endif
