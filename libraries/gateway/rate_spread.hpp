#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_RATE_SPREAD_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_RATE_SPREAD_HPP

#include "libraries/gateway/leaf_pool.hpp"
#include "libraries/membership/gossip_sender.hpp"

// Tells the other daemons by gossip when a leaf begins to state a rate, states
// another one, or none any more. A daemon that holds no part of a rate sends
// the leaf so little that it would learn of the end late.
namespace bulrushspring::gateway
{

struct queued_rate {
    std::string leaf;
    std::uint32_t transmissions = 0;
};

struct rate_spread {
    membership::gossip_sender sender;
    std::vector<queued_rate> queue; // at most one for each leaf
};

// Queues the changes that the pool has noted, and sends those that are due.
// `live` are the live members, of which the first is this daemon.
void advance(rate_spread&, leaf_pool&,
             std::span<const wire::member_record> live, context&);

// Adopts the statements of a peer that are newer than those known here.
void receive(leaf_pool&, std::span<const wire::leaf_rate>, context&);

boot_time next_wakeup(const rate_spread&);

} // namespace bulrushspring::gateway

#endif
