#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_DEADLINES_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_DEADLINES_HPP

#include "libraries/gateway/exchange.hpp"

namespace bulrushspring::gateway
{

// Sets when a new exchange has to be answered and when its first attempt is
// hedged, by its caller's time, its route and the route's recent latencies.
// Internal to exchange.cpp.
void set_deadlines(exchange_step&, exchange&, route_statistics&);

} // namespace bulrushspring::gateway

#endif
