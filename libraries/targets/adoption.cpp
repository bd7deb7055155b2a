#include "libraries/targets/adoption.hpp"

#include "base/hash.hpp"
#include "libraries/targets/connections.hpp"
#include "libraries/targets/events.hpp"
#include "libraries/targets/leaving.hpp"
#include "libraries/targets/matching.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace bulrushspring::targets
{
namespace
{

// Pairs of slot and replica after which a call of continue_placement ends.
constexpr std::size_t max_pairs_per_call = 50'000;
// The minimum interval between two such calls.
constexpr duration placement_interval = milliseconds{10};

void release_unused_leafs(state& self)
{
    for (std::uint32_t i = 0; i < self.leafs.size(); ++i) {
        auto& leaf = self.leafs[i];
        const bool unused = !leaf.in_manifest && !leaf.name.empty() &&
                            leaf.connections.empty() &&
                            leaf.hold_expiries.empty() && !leaf.queued_to_open;
        if (unused) {
            self.leaf_by_name.erase(leaf.name);
            leaf = leaf_state{};
            self.free_leafs.push_back(static_cast<leaf_index>(i));
        }
    }
}

leaf_index new_leaf(state& self, const std::string& name, boot_time now)
{
    leaf_index index{};
    if (self.free_leafs.empty()) {
        index = static_cast<leaf_index>(self.leafs.size());
        self.leafs.emplace_back();
    } else {
        index = self.free_leafs.back();
        self.free_leafs.pop_back();
    }
    auto& leaf = leaf_at(self, index);
    leaf.name = name;
    leaf.warm_up_started_at = now;
    self.leaf_by_name.emplace(name, index);
    return index;
}

leaf_index find_or_add(state& self, const std::string& name, boot_time now)
{
    const auto found = self.leaf_by_name.find(name);
    return found == self.leaf_by_name.end() ? new_leaf(self, name, now)
                                            : found->second;
}

// Sets the leaf's address. A leaf at a new address is another process: idle
// connections to the old one are closed, and the statistics are reset.
void set_address(state& self, leaf_index index, const endpoint& address,
                 context& context)
{
    auto& leaf = leaf_at(self, index);
    if (leaf.address == address) {
        return;
    }
    leaf.address = address;
    leaf.consecutive_failures = 0;
    leaf.next_open_at = context.now;
    leaf.latency = duration{0};
    leaf.warm_up_started_at = context.now;
    limits::reset(leaf.limit);
    while (!leaf.idle.empty()) {
        close_unused(self, leaf.idle.back(), context);
    }
}

void update_leaf(state& self, const manifest::pool& pool,
                 const manifest::leaf& definition,
                 std::string_view own_data_centre_name, context& context)
{
    const auto index = find_or_add(self, definition.name, context.now);
    auto& leaf = leaf_at(self, index);
    leaf.in_manifest = true;
    leaf.pool = pool.name;
    leaf.slots = pool.slots;
    leaf.data_centre = definition.data_centre;
    leaf.same_data_centre = definition.data_centre == own_data_centre_name;
    set_address(self, index, definition.address, context);
    if (definition.leaving) {
        mark_leaving(self, index, leaving_source::manifest, context);
    } else {
        clear_leaving(self, index, leaving_source::manifest, context);
    }
    if (self.vms_leaving.contains(definition.name)) {
        mark_leaving(self, index, leaving_source::vms, context);
    }
}

std::string_view own_data_centre(const state& self,
                                 const manifest::fleet& fleet)
{
    for (const auto& vm : fleet.vms) {
        if (vm.name == self.self) {
            return vm.data_centre;
        }
    }
    return {};
}

// Sets the number of connections that the leaf may count for this daemon, and
// the number to keep open. A larger share may be used only after a delay,
// within which the daemons whose share shrinks learn of the change. There is no
// delay for the first manifest of a process, which is not a change, and for a
// leaf that is new, of which no other daemon has a share.
void set_share(state& self, leaf_index index, std::uint32_t share,
               std::uint32_t desired_connections, bool first_manifest,
               context& context)
{
    auto& leaf = leaf_at(self, index);
    const auto usable = usable_share(leaf, context.now);
    if (share > usable && !first_manifest && leaf.in_previous_manifest) {
        leaf.previous_share = usable;
        leaf.share_usable_at = context.now + self.settings.share_settle_time;
    }
    leaf.share = share;
    leaf.desired_connections = desired_connections;
    close_surplus(self, index, context);
}

void rebuild_replicas(state& self, const manifest::pool& pool)
{
    auto& state = self.pools[pool.name];
    state.snapshots.clear();
    for (const auto& snapshot : pool.snapshots) {
        state.snapshots.push_back({snapshot.id, {}});
        state.snapshots.back().shards.resize(snapshot.shards);
    }
    for (const auto& leaf : pool.leafs) {
        const auto index = self.leaf_by_name.at(leaf.name);
        if (leaf_at(self, index).share == 0) {
            continue;
        }
        for (const auto& holding : leaf.holdings) {
            for (auto& snapshot : state.snapshots) {
                const bool held = snapshot.id == holding.snapshot &&
                                  holding.shard < snapshot.shards.size();
                if (held) {
                    snapshot.shards[holding.shard].push_back(index);
                }
            }
        }
    }
}

void rebuild_active_leafs(state& self, context& context)
{
    self.active_leafs.clear();
    for (std::uint32_t i = 0; i < self.leafs.size(); ++i) {
        const auto& leaf = self.leafs[i];
        if (leaf.share > 0 || !leaf.connections.empty() ||
            !leaf.hold_expiries.empty()) {
            self.active_leafs.push_back(static_cast<leaf_index>(i));
        }
    }
    for (const auto index : self.active_leafs) {
        queue_connection(self, index, context.now);
    }
    open_queued_connections(self, context);
}

void log_placement(const state& self, const manifest::pool& pool,
                   const pool_plan& plan, context& context)
{
    std::size_t held = 0;
    std::size_t connections = 0;
    for (const auto& leaf : pool.leafs) {
        const auto& known = leaf_at(self, self.leaf_by_name.at(leaf.name));
        held += known.share > 0 ? 1 : 0;
        connections += known.desired_connections;
    }
    context.emit(write_log{make_record(
        pool_placed, field("pool", pool.name),
        field("manifest", self.manifest->version),
        field("leafs", pool.leafs.size()), field("held", held),
        field("connections", connections), field("share", plan.share),
        field("mode", plan.all_leafs ? "all" : "subset"))});
}

void place_on_all_leafs(state& self, const manifest::pool& pool,
                        const pool_plan& plan, bool first_manifest,
                        context& context)
{
    for (const auto& leaf : pool.leafs) {
        const auto index = self.leaf_by_name.at(leaf.name);
        set_share(self, index, plan.share, plan.desired_connections,
                  first_manifest, context);
    }
    log_placement(self, pool, plan, context);
}

std::uint64_t hash_inputs(std::uint64_t slots,
                          std::span<const replica> replicas)
{
    std::uint64_t hash = slots;
    for (const auto& replica : replicas) {
        hash = mix_hashes(hash, replica.hash);
        hash = mix_hashes(hash, replica.data_centre);
        hash = mix_hashes(hash, replica.capacity);
    }
    return hash;
}

std::uint64_t hash_slots(const fleet_slots& fleet)
{
    std::uint64_t hash = fleet.self;
    for (const auto& slot : fleet.slots) {
        hash = mix_hashes(hash, slot.hash);
    }
    for (const auto region : fleet.region_of) {
        hash = mix_hashes(hash, region);
    }
    return hash;
}

void queue_placement(state& self, const manifest::pool& pool,
                     const pool_plan& plan)
{
    placement_job job;
    job.pool = pool.name;
    job.plan = plan;
    job.slots = make_slots(self.manifest->entries, plan);
    job.slots_hash = hash_slots(job.slots);
    job.replicas = replicas_by_shard(self.manifest->entries, pool, plan.share);
    self.placement_jobs.push_back(std::move(job));
}

void place_next_shard(state& self, placement_job& job,
                      const manifest::pool& pool)
{
    const auto shard = job.shard_placements.size();
    const auto& replicas = job.replicas[shard];
    shard_placement placement;
    placement.input_hash = hash_inputs(job.slots_hash, replicas);
    const auto& before = self.pools[job.pool].shard_placements;
    if (shard < before.size() &&
        before[shard].input_hash == placement.input_hash) {
        job.shard_placements.push_back(before[shard]);
        return;
    }
    for (const auto leaf : place_shard(job.slots, replicas)) {
        placement.leafs.push_back(self.leaf_by_name.at(pool.leafs[leaf].name));
    }
    job.pairs_evaluated += replicas.size() * job.slots.slots.size();
    job.shard_placements.push_back(std::move(placement));
}

void apply_placement(state& self, const placement_job& job,
                     const manifest::pool& pool, context& context)
{
    auto& state = self.pools[job.pool];
    const bool first_manifest = state.shard_placements.empty();
    std::vector<leaf_index> chosen;
    std::uint32_t unplaced = 0;
    for (const auto& shard : job.shard_placements) {
        chosen.insert(chosen.end(), shard.leafs.begin(), shard.leafs.end());
        unplaced += shard.leafs.empty() ? 1 : 0;
    }
    std::sort(chosen.begin(), chosen.end());
    for (const auto& leaf : pool.leafs) {
        const auto index = self.leaf_by_name.at(leaf.name);
        const bool held =
            std::binary_search(chosen.begin(), chosen.end(), index);
        set_share(self, index, held ? job.plan.share : 0,
                  held ? job.plan.desired_connections : 0, first_manifest,
                  context);
    }
    state.shard_placements = job.shard_placements;
    rebuild_replicas(self, pool);
    rebuild_active_leafs(self, context);
    log_placement(self, pool, job.plan, context);
    if (unplaced > 0) {
        context.emit(write_log{make_record(shards_without_place,
                                           field("pool", pool.name),
                                           field("shards", unplaced))});
    }
}

void place_pool(state& self, const manifest::pool& pool, bool first_manifest,
                context& context)
{
    const auto plan = plan_pool(*self.manifest, pool, self.self);
    auto& state = self.pools[pool.name];
    if (plan && !plan->all_leafs) {
        queue_placement(self, pool, *plan);
        rebuild_replicas(self, pool);
        return;
    }
    state.shard_placements.clear();
    place_on_all_leafs(self, pool, plan.value_or(pool_plan{}), first_manifest,
                       context);
    rebuild_replicas(self, pool);
}

void remove_absent_pools(state& self, context& context)
{
    std::erase_if(self.pools, [&](const auto& entry) {
        const bool gone = !self.manifest->pools.contains(entry.first);
        if (gone) {
            context.emit(
                write_log{make_record(pool_gone, field("pool", entry.first))});
        }
        return gone;
    });
    std::erase_if(self.budgets, [&](const auto& entry) {
        return !self.manifest->services.contains(entry.first);
    });
}

} // namespace

void adopt_manifest(state& self, const manifest::manifest_pointer& manifest,
                    context& context)
{
    const bool first_manifest = self.manifest == nullptr;
    self.manifest = manifest;
    self.placement_jobs.clear();
    release_unused_leafs(self);
    for (auto& leaf : self.leafs) {
        leaf.in_previous_manifest = leaf.in_manifest;
        leaf.in_manifest = false;
    }
    const auto data_centre = own_data_centre(self, manifest->entries);
    for (const auto& [name, pool] : manifest->pools) {
        for (const auto& leaf : pool.leafs) {
            update_leaf(self, pool, leaf, data_centre, context);
        }
    }
    for (const auto& [name, pool] : manifest->pools) {
        place_pool(self, pool, first_manifest, context);
    }
    for (std::uint32_t i = 0; i < self.leafs.size(); ++i) {
        if (!self.leafs[i].in_manifest) {
            set_share(self, static_cast<leaf_index>(i), 0, 0, first_manifest,
                      context);
        }
    }
    remove_absent_pools(self, context);
    rebuild_active_leafs(self, context);
}

void continue_placement(state& self, context& context)
{
    if (self.placement_jobs.empty() || context.now < self.next_placement_at) {
        return;
    }
    self.next_placement_at = context.now + placement_interval;
    auto& job = self.placement_jobs.front();
    const auto& pool = self.manifest->pools.at(job.pool);
    job.pairs_evaluated = 0;
    while (job.shard_placements.size() < job.replicas.size() &&
           job.pairs_evaluated < max_pairs_per_call) {
        place_next_shard(self, job, pool);
    }
    if (job.shard_placements.size() == job.replicas.size()) {
        apply_placement(self, job, pool, context);
        self.placement_jobs.pop_front();
    }
}

} // namespace bulrushspring::targets
