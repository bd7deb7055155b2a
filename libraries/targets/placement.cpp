#include "libraries/targets/placement.hpp"

#include "base/hash.hpp"
#include "libraries/targets/matching.hpp"

#include <algorithm>
#include <map>
#include <string>

namespace bulrushspring::targets
{
namespace
{

// Percentage by which a replica may exceed an even share of the daemons, so
// that most daemons get the replica that they prefer.
constexpr std::uint32_t slack_percent = 15;

std::uint32_t data_centre_index(const manifest::fleet& fleet,
                                std::string_view name)
{
    std::uint32_t place = 0;
    while (place < fleet.data_centres.size() &&
           fleet.data_centres[place].name != name) {
        ++place;
    }
    return place;
}

std::vector<const manifest::entry_vm*> vms_of(const manifest::fleet& fleet,
                                              std::string_view data_centre)
{
    std::vector<const manifest::entry_vm*> vms;
    for (const auto& vm : fleet.vms) {
        if (vm.data_centre == data_centre) {
            vms.push_back(&vm);
        }
    }
    return vms;
}

std::uint64_t hash_slot(std::string_view data_centre, std::uint32_t slot)
{
    return stable_hash(std::string(data_centre) + "/" + std::to_string(slot));
}

// The number of slots of a data centre: one for each VM, and spare ones, so
// that a replacement usually gets the slot of the VM that it replaces.
std::uint32_t slot_count(const manifest::fleet& fleet, std::size_t vms)
{
    return static_cast<std::uint32_t>(vms) + fleet.spare_vms;
}

// The slot of a VM, by a stable matching of the VMs and slots of its data
// centre.
std::uint32_t match_slot(const manifest::fleet& fleet,
                         const manifest::entry_vm& self)
{
    const auto vms = vms_of(fleet, self.data_centre);
    std::vector<std::uint64_t> vm_hashes;
    std::uint32_t own = 0;
    for (const auto* vm : vms) {
        if (vm->name == self.name) {
            own = static_cast<std::uint32_t>(vm_hashes.size());
        }
        vm_hashes.push_back(stable_hash(vm->name));
    }
    const auto slots = slot_count(fleet, vms.size());
    std::vector<std::uint64_t> slot_hashes;
    for (std::uint32_t slot = 0; slot < slots; ++slot) {
        slot_hashes.push_back(hash_slot(self.data_centre, slot));
    }
    const std::vector<std::uint32_t> one_each(slots, 1);
    return match(vms.size(), one_each, [&](auto vm, auto slot) {
        return mix_hashes(vm_hashes[vm], slot_hashes[slot]) | 1U;
    })[own];
}

std::size_t total_leafs(const manifest::manifest& manifest)
{
    std::size_t leafs = 0;
    for (const auto& [name, pool] : manifest.pools) {
        leafs += pool.leafs.size();
    }
    return leafs;
}

// The number of connections to keep open out of a share: at least one, and a
// quarter of larger shares, is kept for replacing connections that the leaf
// may still count after they have ended. A share of 1 has no reserve.
std::uint32_t without_reserve(std::uint32_t share)
{
    constexpr std::uint32_t reserve_part = 4;
    if (share <= 1) {
        return share;
    }
    return share - std::max<std::uint32_t>(1, share / reserve_part);
}

// Connections of one daemon to each of its leafs if every daemon connects to
// two replicas of each shard. A link is the pair of a daemon and a leaf.
std::uint32_t connections_per_link(const manifest::manifest& manifest,
                                   const manifest::pool& pool)
{
    const std::uint64_t slots =
        manifest.entries.vms.size() +
        manifest.entries.data_centres.size() * manifest.entries.spare_vms;
    const std::uint64_t links = std::max<std::uint64_t>(
        1, std::uint64_t{replicas_per_shard} * shard_count(pool));
    const std::uint64_t leaf_limit = pool.connections * pool.leafs.size() /
                                     std::max<std::uint64_t>(1, links * slots);
    const std::uint64_t own_limit =
        max_connections * pool.leafs.size() /
        std::max<std::size_t>(1, total_leafs(manifest));
    const auto share = std::min(leaf_limit, own_limit / links);
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(share, 1, 4));
}

// 2: same data centre; 1: same region; 0: different regions.
std::uint64_t proximity(const fleet_slots& fleet, std::uint32_t one,
                        std::uint32_t other)
{
    if (one == other) {
        return 2;
    }
    const bool known =
        one < fleet.region_of.size() && other < fleet.region_of.size();
    return known && fleet.region_of[one] == fleet.region_of[other] ? 1 : 0;
}

// A weight for `match`: ordered by preference, which is below 8, then by hash;
// never 0.
std::uint64_t match_weight(std::uint64_t preference, std::uint64_t hash)
{
    constexpr unsigned preference_bits = 3;
    return preference << (64U - preference_bits) |
           ((hash >> preference_bits) | 1U);
}

std::uint32_t divide_rounding_up(std::uint64_t value, std::uint64_t by)
{
    return static_cast<std::uint32_t>((value + by - 1) / by);
}

// The maximum number of links of a replica: an even share of all, with slack.
std::uint32_t max_links_per_replica(std::uint64_t links, std::size_t replicas)
{
    return divide_rounding_up(links * (100 + slack_percent), replicas * 100U) +
           1;
}

// The replicas matched to each slot, as indices or `unmatched`: one near the
// slot, and another one, preferably in another data centre than the first.
struct shard_matching {
    std::vector<std::uint32_t> first;
    std::vector<std::uint32_t> second;
};

std::vector<std::uint32_t> first_capacities(std::size_t slots,
                                            std::span<const replica> replicas)
{
    std::vector<std::uint32_t> capacities;
    const auto even = max_links_per_replica(slots, replicas.size());
    for (const auto& replica : replicas) {
        capacities.push_back(std::min(replica.capacity, even));
    }
    return capacities;
}

std::vector<std::uint32_t>
second_capacities(std::size_t slots, std::span<const replica> replicas,
                  std::span<const std::uint32_t> first)
{
    std::vector<std::uint32_t> capacities;
    const auto even =
        max_links_per_replica(replicas_per_shard * slots, replicas.size());
    for (const auto& replica : replicas) {
        capacities.push_back(std::min(replica.capacity, even));
    }
    for (const auto taken : first) {
        if (taken != unmatched) {
            --capacities[taken];
        }
    }
    return capacities;
}

shard_matching match_shard(const fleet_slots& fleet,
                           std::span<const replica> replicas)
{
    const auto& slots = fleet.slots;
    shard_matching result;
    const auto near_preferred = [&](auto slot, auto j) {
        const auto near =
            proximity(fleet, slots[slot].data_centre, replicas[j].data_centre);
        return match_weight(near,
                            mix_hashes(slots[slot].hash, replicas[j].hash));
    };
    result.first = match(slots.size(), first_capacities(slots.size(), replicas),
                         near_preferred);
    const auto elsewhere_preferred = [&](auto slot, auto j) -> std::uint64_t {
        const auto first = result.first[slot];
        if (first == unmatched || first == j) {
            return 0;
        }
        const bool elsewhere =
            replicas[first].data_centre != replicas[j].data_centre;
        const auto near =
            proximity(fleet, slots[slot].data_centre, replicas[j].data_centre);
        return match_weight(near + (elsewhere ? 4 : 0),
                            mix_hashes(slots[slot].hash, replicas[j].hash));
    };
    result.second = match(
        slots.size(), second_capacities(slots.size(), replicas, result.first),
        elsewhere_preferred);
    return result;
}

std::vector<std::uint32_t> matched_leafs(const shard_matching& matching,
                                         std::span<const replica> replicas,
                                         std::size_t slot)
{
    std::vector<std::uint32_t> leafs;
    for (const auto pick : {matching.first[slot], matching.second[slot]}) {
        if (pick != unmatched) {
            leafs.push_back(replicas[pick].leaf);
        }
    }
    return leafs;
}

std::vector<manifest::shard_id> shards_of(const manifest::leaf& leaf)
{
    std::vector<manifest::shard_id> shards;
    for (const auto& holding : leaf.holdings) {
        shards.push_back(holding.shard);
    }
    std::sort(shards.begin(), shards.end());
    shards.erase(std::unique(shards.begin(), shards.end()), shards.end());
    return shards;
}

} // namespace

std::uint32_t shard_count(const manifest::pool& pool)
{
    std::uint32_t shards = 0;
    for (const auto& snapshot : pool.snapshots) {
        shards = std::max(shards, snapshot.shards);
    }
    return shards;
}

std::optional<pool_plan> plan_pool(const manifest::manifest& manifest,
                                   const manifest::pool& pool,
                                   std::string_view daemon)
{
    const auto& fleet = manifest.entries;
    const auto self =
        std::find_if(fleet.vms.begin(), fleet.vms.end(),
                     [&](const auto& vm) { return vm.name == daemon; });
    const bool member = self != fleet.vms.end();
    const auto daemons = fleet.vms.size() + fleet.spare_vms;
    pool_plan plan;
    plan.share = daemons == 0
                     ? 0
                     : static_cast<std::uint32_t>(pool.connections / daemons);
    plan.data_centre =
        member ? data_centre_index(fleet, self->data_centre)
               : static_cast<std::uint32_t>(fleet.data_centres.size());
    plan.all_leafs =
        plan.share >= 1 && total_leafs(manifest) <= max_connections;
    if (plan.all_leafs) {
        // The sum over all pools must not exceed the daemon's own maximum.
        const auto most = static_cast<std::uint32_t>(
            max_connections / std::max<std::size_t>(1, total_leafs(manifest)));
        plan.share = std::min(plan.share, std::max(most, 1U));
        plan.desired_connections = without_reserve(plan.share);
        if (!member && fleet.spare_vms == 0) {
            return std::nullopt;
        }
        return plan;
    }
    if (!member) {
        return std::nullopt;
    }
    plan.share = connections_per_link(manifest, pool);
    plan.desired_connections = without_reserve(plan.share);
    plan.slot = match_slot(fleet, *self);
    return plan;
}

fleet_slots make_slots(const manifest::fleet& fleet, const pool_plan& plan)
{
    fleet_slots result;
    std::map<std::string, std::uint32_t> regions;
    for (std::uint32_t i = 0; i < fleet.data_centres.size(); ++i) {
        const auto& centre = fleet.data_centres[i];
        const auto next = static_cast<std::uint32_t>(regions.size());
        result.region_of.push_back(
            regions.try_emplace(centre.region, next).first->second);
        if (i == plan.data_centre) {
            result.self = result.slots.size() + plan.slot;
        }
        const auto slots = slot_count(fleet, vms_of(fleet, centre.name).size());
        for (std::uint32_t slot = 0; slot < slots; ++slot) {
            result.slots.push_back({i, hash_slot(centre.name, slot)});
        }
    }
    return result;
}

std::vector<std::vector<replica>>
replicas_by_shard(const manifest::fleet& fleet, const manifest::pool& pool,
                  std::uint32_t share)
{
    std::vector<std::vector<replica>> result(shard_count(pool));
    for (std::uint32_t i = 0; i < pool.leafs.size(); ++i) {
        const auto& leaf = pool.leafs[i];
        if (leaf.leaving) {
            continue;
        }
        const auto shards = shards_of(leaf);
        const auto parts = std::max<std::size_t>(1, shards.size()) *
                           std::max<std::uint32_t>(1, share);
        const auto capacity =
            static_cast<std::uint32_t>(pool.connections / parts);
        for (const auto shard : shards) {
            if (shard < result.size()) {
                result[shard].push_back(
                    {i, data_centre_index(fleet, leaf.data_centre),
                     stable_hash(leaf.name), capacity});
            }
        }
    }
    return result;
}

std::vector<std::uint32_t> place_shard(const fleet_slots& fleet,
                                       std::span<const replica> replicas)
{
    if (replicas.empty() || fleet.self >= fleet.slots.size()) {
        return {};
    }
    return matched_leafs(match_shard(fleet, replicas), replicas, fleet.self);
}

std::vector<std::vector<std::uint32_t>>
place_shard_for_all(const fleet_slots& fleet, std::span<const replica> replicas)
{
    std::vector<std::vector<std::uint32_t>> result(fleet.slots.size());
    if (replicas.empty()) {
        return result;
    }
    const auto matching = match_shard(fleet, replicas);
    for (std::size_t slot = 0; slot < fleet.slots.size(); ++slot) {
        result[slot] = matched_leafs(matching, replicas, slot);
    }
    return result;
}

} // namespace bulrushspring::targets
