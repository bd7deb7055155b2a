#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_COLD_LEAFS_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_COLD_LEAFS_HPP

#include "libraries/gateway/leaf_pool.hpp"

// Leafs of a pool that are cold, or whose load rises after an evacuation or a
// cold time. What a cold leaf tolerates is divided between the daemons like a
// rate that it states.
namespace bulrushspring::gateway
{

// Adopts what the leaf's entry states.
void apply_cold_entry(leaf_pool&, leaf_state&, const topology::leaf_changed&,
                      boot_time now);

// Adopts what an answer on the connection states.
void apply_cold_statement(leaf_pool&, connection_id, const leaf_reply&,
                          boot_time sent_at, boot_time now);

bool is_cold(const leaf_pool&, const leaf_state&, boot_time now);

// This daemon's part of what the leaf tolerates, if it is cold and its service
// states that; else null.
const rate_gate* cold_gate(const leaf_pool&, const leaf_state&, boot_time now);

// The earliest time at which the leaf, as far as it is cold, may be sent a
// request of this daemon.
boot_time cold_admits_at(const leaf_pool&, const leaf_state&, boot_time now);

// Computes this daemon's share of what the leaf tolerates, if that may have
// changed. Until it is computed for the first time, a cold leaf gets nothing.
// Returns whether it was computed.
bool update_cold_share(leaf_pool&, leaf_state&, boot_time now);

// The same for all leafs. Of a large fleet some are left to the next calls.
void update_cold_shares(leaf_pool&, boot_time now);

// Whether the leaf has as many requests of this daemon as its present step of
// the rising load allows.
bool step_is_full(const leaf_pool&, const leaf_state&, boot_time now);

// Decides by chance whether a request should go to another leaf, if one can
// take it, because the leaf's load rises in steps.
bool skips_in_slow_start(leaf_pool&, const leaf_state&, boot_time now);

} // namespace bulrushspring::gateway

#endif
