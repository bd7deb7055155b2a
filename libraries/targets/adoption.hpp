#ifndef BULRUSHSPRING_LIBRARIES_TARGETS_ADOPTION_HPP
#define BULRUSHSPRING_LIBRARIES_TARGETS_ADOPTION_HPP

#include "libraries/reducer/effect.hpp"
#include "libraries/targets/state.hpp"

// Applies a new manifest: the set of known leafs, the connections this daemon
// may open to each of them, and the replicas of each shard.
namespace bulrushspring::targets
{

// Replaces the manifest in force. Pools of which this daemon connects to all
// leafs are placed at once; the others are queued in `state::placement_jobs`.
void adopt_manifest(state& self, const manifest::manifest_pointer& manifest,
                    context& context);

// Computes the placement of the next shards in `state::placement_jobs`, up to a
// fixed amount of work: about one shard at the fleet size expected in two
// years. The work is spread over several calls so as not to delay requests in
// progress.
void continue_placement(state& self, context& context);

} // namespace bulrushspring::targets

#endif
