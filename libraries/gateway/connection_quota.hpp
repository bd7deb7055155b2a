#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_CONNECTION_QUOTA_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_CONNECTION_QUOTA_HPP

#include "libraries/gateway/leaf_pool.hpp"

// How the daemons of a fleet divide the connections to leafs. Internal to
// leaf_pool.cpp.
namespace bulrushspring::gateway
{

// Whether the leaf may serve this daemon at all.
bool usable(const leaf_pool&, const leaf_state&, boot_time now);

// How many connections this daemon may hold to a leaf, so that the fleet
// stays within the leaf's limit without coordination. Where a leaf has fewer
// connections than there are daemons, each daemon connects to some of the
// leafs only.
std::uint32_t connection_quota(const leaf_pool&, const leaf_state&,
                               boot_time now);

} // namespace bulrushspring::gateway

#endif
