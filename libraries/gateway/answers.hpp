#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_ANSWERS_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_ANSWERS_HPP

#include "libraries/gateway/exchange.hpp"

// The final answers of exchanges. Not for use outside the exchanges.
namespace bulrushspring::gateway
{

// Whether the request goes to shards, not to one service.
bool is_query(const exchange&);

// The answer from the parts that are in.
forward_answer covered_answer(exchange&);

// The answer where there is nothing to pass on. That it has not run is said
// only where no sending can have.
forward_answer empty_answer(const exchange_step&, exchange&);

} // namespace bulrushspring::gateway

#endif
