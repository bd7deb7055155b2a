#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_CHOICE_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_CHOICE_HPP

#include "libraries/gateway/exchange.hpp"

// The leafs of a pool as candidates of libraries/balancing.
namespace bulrushspring::gateway
{

// The leaf that is to get an attempt for a part, of those that can take one now
// and are not excluded; null if there is none. Leafs that are avoided come
// last.
leaf_state* choose_leaf(exchange_step&, const exchange&, const request_part&,
                        std::span<const std::string> excluded);

} // namespace bulrushspring::gateway

#endif
