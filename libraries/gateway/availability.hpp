#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_AVAILABILITY_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_AVAILABILITY_HPP

#include "libraries/gateway/exchange.hpp"

// Whether the parts of an exchange can get a leaf before it is too late.
namespace bulrushspring::gateway
{

// Whether no leaf of the part's service accepts requests before the exchange
// has to be answered. If so, notes in the exchange when one does.
bool is_unavailable(exchange_step&, exchange&, const request_part&);

// Fails the open parts of a new exchange that get no leaf before it has to be
// answered, or, where leafs have stated rates, no turn within the objective.
void fail_unavailable_parts(exchange_step&, exchange&);

// Fails the open parts of an exchange for which there is no leaf at all, such
// as those of a service that runs in an evacuated data centre only.
void fail_parts_without_leaf(exchange_step&, exchange&);

// Whether an open part may still be answered within the objective: it was sent
// to a leaf, or may reach one in that time.
bool may_be_in_time(const exchange_step&, const exchange&, const request_part&);

} // namespace bulrushspring::gateway

#endif
