#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_QUEUED_REQUESTS_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_QUEUED_REQUESTS_HPP

#include "libraries/gateway/exchange.hpp"

// Requests with one part that wait for a leaf in the queue of their service
// (libraries/overload), if exchange_options::queue_admission is set. Internal
// to exchange.cpp and attempts.cpp.
namespace bulrushspring::gateway
{

// Whether the request may not take a leaf now because others go first. It is
// added to their queue, or rejected if it can't be answered in time then.
bool waits_for_turn(exchange_step&, exchange&, request_part&);

// Schedules the next selection for a request that found no leaf: in the queue,
// to which it is added, or after retry_delay. It is rejected if it can't be
// answered in time.
void wait_for_leaf(exchange_step&, exchange&, request_part&);

// Whether requests wait for a leaf of the service, before which an attempt
// beyond the first of a request with one part has to stand back.
bool others_wait(const exchange_step&, const exchange&, const request_part&);

// Removes a request that has taken a leaf from its queue.
void take_turn(exchange_step&, exchange&);

// Removes a request that ends without a leaf from its queue.
void leave_queue(exchange_step&, exchange&);

// Advances the queue of a service by the end of the step: one of its leafs may
// be able to take a request.
void note_free_leaf(exchange_step&, const std::string& service);

// Counts a request that has run to its end.
void count_end(exchange_step&, const exchange&, const leaf_reply&);

// Lets the first requests of the queues noted take leafs, in their order, by
// calls of `advance`, which may finish and erase the exchange.
void advance_queues(exchange_step&, void (*advance)(exchange_step&, exchange&));

} // namespace bulrushspring::gateway

#endif
