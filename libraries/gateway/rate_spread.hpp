#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_RATE_SPREAD_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_RATE_SPREAD_HPP

#include "libraries/gateway/leaf_pool.hpp"

// Tells the other daemons by gossip when a leaf begins to state a rate, states
// another one, or none any more. A daemon that holds no part of a rate sends
// the leaf so little that it would learn of the end late.
namespace bulrushspring::gateway
{

struct rate_spread_options {
    duration interval = milliseconds{200};
    std::size_t fanout = 3; // receivers of each sending
    // Sendings of a change, as a multiple of log2 of the fleet's size.
    double transmission_factor = 3.0;
    std::size_t max_queued = 256;
    double bytes_per_second = 2500;
    double bytes_burst = 10000;
};

struct queued_rate {
    std::string leaf;
    std::uint32_t transmissions = 0;
};

struct rate_spread {
    rate_spread_options settings;
    random_source random;
    std::vector<queued_rate> queue; // at most one for each leaf
    boot_time next_send{};
    membership::token_bucket bytes;
};

rate_spread make_rate_spread(const rate_spread_options&, std::uint64_t seed,
                             boot_time now);

// Queues the changes that the pool has noted, and sends those that are due.
// `live` are the live members, of which the first is this daemon.
void advance(rate_spread&, leaf_pool&,
             std::span<const wire::member_record> live, context&);

// Adopts the statements of a peer that are newer than those known here.
void receive(leaf_pool&, std::span<const wire::leaf_rate>, context&);

boot_time next_wakeup(const rate_spread&);

} // namespace bulrushspring::gateway

#endif
