#ifndef BULRUSHSPRING_LIBRARIES_TARGETS_CHOICE_HPP
#define BULRUSHSPRING_LIBRARIES_TARGETS_CHOICE_HPP

#include "libraries/targets/state.hpp"

namespace bulrushspring::targets
{

// The relative cost of sending a request to the leaf now; lower is better. It
// is the expected latency in nanoseconds, increased for requests in flight,
// recent errors and a leaf in another data centre.
double estimated_cost(const pool_state& pool, const leaf_state& leaf,
                      boot_time now);

} // namespace bulrushspring::targets

#endif
