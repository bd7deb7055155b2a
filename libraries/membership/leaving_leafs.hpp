#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_LEAVING_LEAFS_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_LEAVING_LEAFS_HPP

#include "libraries/membership/state.hpp"

#include <string_view>
#include <vector>

// Gossip about leafs that are leaving. It only delivers earlier what the
// manifest, the VM list and the leafs themselves also report.
namespace bulrushspring::membership
{

// Queues an update about a leaf that is leaving. Returns false if that was
// known already.
bool add_leaving(leaving_table&, std::string_view leaf, const options&,
                 boot_time now);

// Selects the updates to send next, as many as fit into `room` bytes, and
// reduces `room` by their sizes.
std::vector<wire::leaving_leaf> take_leaving(leaving_table&, std::size_t& room,
                                             std::uint32_t max_transmissions);

} // namespace bulrushspring::membership

#endif
