#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_RATES_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_RATES_HPP

#include "libraries/gateway/leaf_pool.hpp"

// The rates that the leafs of a pool have stated: how they are adopted, and
// what this daemon may send under its shares of them.
namespace bulrushspring::gateway
{

// Adopts what the answer to an attempt sent at `sent_at` states about its
// leaf's rate.
void apply_rate_statement(leaf_pool&, leaf_state&, const leaf_reply&,
                          boot_time sent_at, context&);

// Adopts a rate that the leaf has stated, or that it states none any more, and
// notes a change for other daemons.
void set_rate_limit(leaf_pool&, leaf_state&, std::optional<double> limit,
                    boot_time stated_at, context&);

// The earliest time at which the rate that the leaf has stated, and the one
// that it tolerates while it is cold, allow a request of this daemon: `now` if
// there is none, boot_time::max() if no time is known.
boot_time rate_admits_at(const leaf_pool&, const leaf_state&, boot_time now);

// Whether these rates allow a request of this daemon now.
bool rate_admits(const leaf_pool&, const leaf_state&, boot_time now);

// Counts a request that is sent to a leaf against its rates.
void count_request(leaf_pool&, leaf_state&, boot_time now);

// When the rates of the service's leafs allow a request of this daemon for
// which `ahead` others wait already: `now` if one of them has none;
// boot_time::max() if no time is known.
boot_time rate_available_at(const leaf_pool&, const std::string& service,
                            std::size_t ahead, boot_time now);

// Adopts the present members, which divide the rates of leafs.
void update_rate_shares(leaf_pool&,
                        std::span<const wire::member_record> serving,
                        std::size_t fleet_size, bool known, boot_time now);

} // namespace bulrushspring::gateway

#endif
