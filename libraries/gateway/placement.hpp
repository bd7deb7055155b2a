#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_PLACEMENT_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_PLACEMENT_HPP

#include "libraries/gateway/leaf_pool.hpp"

// Which daemon holds connections to which leaf: the fleet keeps to the limits
// of leafs without asking one another.
namespace bulrushspring::gateway
{

// Whether requests may be sent to the leaf.
bool usable(const leaf_pool&, const leaf_state&, boot_time now);

// How many connections this daemon may hold to a leaf, so that the fleet
// keeps to the leaf's limit without asking one another. Where there are fewer
// connections than daemons, each daemon gets some of the leafs.
std::uint32_t connection_share(const leaf_pool&, const leaf_state&,
                               boot_time now);

// Whether connections are opened ahead of requests. A daemon that serves no
// callers leaves them to those that do, where there are not enough for all.
bool opens_ahead(const leaf_pool&, const leaf_state&);

// This daemon's share of what the fleet divides, if the active ones take that
// share of it among themselves.
double share_of_fleet(const fleet_shape&, double share_of_active);

// How many daemons the leafs of the median service have connections for, if
// each is to reach enough of them. The median, since a service may have lost
// leafs. Without a table it is no limit.
std::size_t most_active(const leaf_pool&);

} // namespace bulrushspring::gateway

#endif
