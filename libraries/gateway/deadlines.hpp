#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_DEADLINES_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_DEADLINES_HPP

#include "libraries/gateway/exchange.hpp"

namespace bulrushspring::gateway
{

// A route's latencies are used once it has so many samples.
inline constexpr std::uint32_t min_latency_samples = 20;

// Sets when a new exchange has to be answered and when its first attempt is
// hedged, by its caller's time, its route and the route's recent latencies.
// Internal to exchange.cpp.
void set_deadlines(exchange_step&, exchange&, route_statistics&);

} // namespace bulrushspring::gateway

#endif
