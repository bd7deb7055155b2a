#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_STATISTICS_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_STATISTICS_HPP

#include "libraries/gateway/leaf_pool.hpp"

// Statistics of a leaf from its answers and refusals. They decay over time.
namespace bulrushspring::gateway
{

// The ratio of observed to expected latency; 1 is as expected.
double latency_ratio_at(const pool_options&, const leaf_state&, boot_time now);

// The share of recent requests that the leaf refused or failed, 0 to 1.
double refusal_rate_at(const pool_options&, const leaf_state&, boot_time now);

// Adds the latency of an answer. Ignored if the expected latency of the
// route is not known (0).
void update_latency_ratio(leaf_state&, duration seen, duration expected,
                          const pool_options&, boot_time now);
// Adds the outcome of a request.
void update_refusal_rate(leaf_state&, attempt_outcome, const pool_options&,
                         boot_time now);
// Raises the concurrency limit after an answer if it is nearly used up, and
// lowers it after a refusal or an answer whose latency indicates queueing.
// Below one request it is lowered by refusals only: a leaf that is slow or
// fails may have slots left.
void adapt_concurrency_limit(leaf_state&, attempt_outcome, duration seen,
                             duration expected, const pool_options&,
                             boot_time now);
// Gives the leaf low priority until the time.
void avoid(leaf_state&, boot_time until);

} // namespace bulrushspring::gateway

#endif
