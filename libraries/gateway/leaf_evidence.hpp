#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_EVIDENCE_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_EVIDENCE_HPP

#include "libraries/gateway/leaf_pool.hpp"

// What is believed of a leaf, from its answers and refusals. Evidence fades.
namespace bulrushspring::gateway
{

// Its latency over the expected one; 1 is as expected.
double slowness_at(const pool_options&, const leaf_state&, boot_time now);

// The share of recent requests that it refused or failed, 0 to 1.
double refusals_at(const pool_options&, const leaf_state&, boot_time now);

// The latency of an answer, beside what was expected of any leaf.
void note_latency(leaf_state&, duration seen, duration expected,
                  const pool_options&, boot_time now);
// Whether the leaf ran a request, for its share of refusals.
void note_outcome(leaf_state&, bool ran, const pool_options&, boot_time now);
// Adapts the limit on requests in flight to an answer, to one that came late
// or to a refusal.
void adapt_limit(leaf_state&, bool ran, duration seen, duration expected,
                 const pool_options&, boot_time now);
void avoid(leaf_state&, boot_time until);

} // namespace bulrushspring::gateway

#endif
