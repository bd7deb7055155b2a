#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_PERFORMANCE_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_PERFORMANCE_HPP

#include "libraries/gateway/exchange.hpp"

// What the answers to attempts tell of the performance of their leafs.
namespace bulrushspring::gateway
{

// Adds the answer to an attempt that has been removed from the state, awaited
// or not, to what is known of its leaf and of its route's latencies.
void record_performance(exchange_step&, const attempt& ended,
                        const leaf_reply&);

// Adds that the attempt has been unanswered until its hedge was due.
void record_silence(exchange_step&, const attempt&);

// Adds that the attempt was given up without an answer.
void record_given_up(exchange_step&, const attempt&);

// Adopts the load that a leaf states in an answer, also to a health check.
void record_load(exchange_step&, const leaf_connection&, const leaf_reply&);

} // namespace bulrushspring::gateway

#endif
