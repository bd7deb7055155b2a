#ifndef BULRUSHSPRING_LIBRARIES_TARGETS_PLACEMENT_HPP
#define BULRUSHSPRING_LIBRARIES_TARGETS_PLACEMENT_HPP

#include "libraries/manifest/manifest.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

// Computes which leafs a daemon holds connections to, and how many. The result
// depends only on the manifest and the daemon's name, never on which daemons
// are believed alive, so that the two sides of a network partition together
// cannot exceed a leaf's connection limit.
//
// Each data centre has a number of slots: one for each VM of the fleet, and
// spare ones. Connections are assigned to slots rather than VMs, so that the
// replacement of a VM usually takes over its slot and its connections.
namespace bulrushspring::targets
{

// Maximum number of connections of one daemon. It connects to a subset of the
// leafs if there are more of them, or if their connection limit is too low for
// all daemons. All daemons must use the same value, because placement depends
// on it.
inline constexpr std::uint32_t max_connections = 1024;

// Replicas of each shard that a daemon connects to if it uses a subset.
inline constexpr std::uint32_t replicas_per_shard = 2;

// This daemon's share of the connections of a pool.
struct pool_plan {
    bool all_leafs = true;
    // Maximum number of connections that a leaf may count for this daemon, and
    // the number to keep open. The difference is a reserve for replacing
    // connections that have ended but that the leaf still counts.
    std::uint32_t share = 0;
    std::uint32_t desired_connections = 0;
    std::uint32_t slot = 0;        // this daemon's slot in its data centre
    std::uint32_t data_centre = 0; // index in the manifest's list
};

// Returns no value if the daemon may open no connections: it is not in the
// fleet, and the manifest reserves no spare connections for it or the daemons
// connect to subsets of the leafs.
std::optional<pool_plan> plan_pool(const manifest::manifest& manifest,
                                   const manifest::pool& pool,
                                   std::string_view daemon);

// The largest number of shards in any snapshot of the pool. A shard has the
// same number in each snapshot.
std::uint32_t shard_count(const manifest::pool& pool);

// The slots of the fleet in all data centres, computed once for all shards of
// a pool.
struct fleet_slots {
    struct slot {
        std::uint32_t data_centre = 0;
        std::uint64_t hash = 0;
    };
    std::vector<slot> slots;
    std::vector<std::uint32_t> region_of; // region of each data centre
    std::size_t self = 0;                 // index in `slots` of this daemon's
};

fleet_slots make_slots(const manifest::fleet& fleet, const pool_plan& plan);

// A replica of a shard, as input to placement.
struct replica {
    std::uint32_t leaf = 0; // index in the pool's list
    std::uint32_t data_centre = 0;
    std::uint64_t hash = 0;
    std::uint32_t capacity = 0; // max. daemons that connect for this shard
};

// The replicas of each shard, without those that the manifest marks as
// leaving. `share` is the number of connections of each daemon to a replica.
std::vector<std::vector<replica>>
replicas_by_shard(const manifest::fleet& fleet, const manifest::pool& pool,
                  std::uint32_t share);

// The leafs that this daemon connects to for one shard, as indices in the
// pool's list: up to `replicas_per_shard`, in different data centres if
// possible.
std::vector<std::uint32_t> place_shard(const fleet_slots& fleet,
                                       std::span<const replica> replicas);

// The result of `place_shard` for every slot of the fleet. Used by tests of
// balance and connection limits.
std::vector<std::vector<std::uint32_t>>
place_shard_for_all(const fleet_slots& fleet,
                    std::span<const replica> replicas);

} // namespace bulrushspring::targets

#endif
