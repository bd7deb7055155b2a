#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_EVACUATION_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_EVACUATION_HPP

#include "libraries/gateway/leaf_pool.hpp"

// Evacuations of data centres, applied to the leafs of a pool.
namespace bulrushspring::gateway
{

// Closes or opens the leafs of a data centre. Idle connections to closed leafs
// end with the next maintenance, which becomes due at once.
void apply(leaf_pool&, const topology::evacuation_changed&, context&);

// Whether the leaf's data centre is evacuated.
bool is_evacuated(const leaf_pool&, const leaf_state&);

// Reports the progress of evacuations.
void review_evacuations(leaf_pool&, context&);

} // namespace bulrushspring::gateway

#endif
