#ifndef BULRUSHSPRING_LIBRARIES_TARGETS_LEAVING_HPP
#define BULRUSHSPRING_LIBRARIES_TARGETS_LEAVING_HPP

#include "libraries/reducer/effect.hpp"
#include "libraries/targets/state.hpp"

// Tracks which leafs are leaving. Four sources report it, each with a delay of
// its own; a leaf gets no new requests while any of them says so.
namespace bulrushspring::targets
{

// `vms` is the platform's list of VMs, `leaf` the draining flag in the leaf's
// own answers, `peer` another daemon's report of that flag.
enum class leaving_source : std::uint8_t { manifest, vms, leaf, peer };

// Records that the source reports the leaf as leaving: from now on it gets no
// new requests. A report by the leaf itself is also raised as a leaf_leaving
// event, which informs the peers.
void mark_leaving(state& self, leaf_index leaf, leaving_source source,
                  context& context);

// Records that the source no longer reports the leaf as leaving. If that source
// is the manifest, the reports of the leaf and the peers are cleared as well.
void clear_leaving(state& self, leaf_index leaf, leaving_source source,
                   context& context);

// Applies the health that a leaf reported in a probe's answer. A leaf that
// reports on a newly opened connection that it is not draining is considered
// returned, but only `options::return_delay` after the last report of leaving,
// and only if neither the manifest nor the list of VMs reports it as leaving.
void update_health(state& self, leaf_index leaf, const leaf_health& health,
                   bool newly_opened, context& context);

} // namespace bulrushspring::targets

#endif
