#include "libraries/gateway/cold_leafs.hpp"

#include <algorithm>
#include <cmath>

namespace bulrushspring::gateway
{
namespace
{

evacuation::warm_up_limits limits_of(const leaf_pool& pool,
                                     const leaf_state& leaf)
{
    if (!pool.table) {
        return {};
    }
    const auto found = pool.table->services.find(leaf.published.service);
    return found == pool.table->services.end()
               ? evacuation::warm_up_limits{}
               : evacuation::warm_up_limits{found->second.warm_up,
                                            found->second.cold_per_second};
}

boot_time cold_end(const leaf_pool& pool, const leaf_state& leaf,
                   const evacuation::warm_up_limits& limits)
{
    return evacuation::cold_end(pool.evacuations, leaf.published.data_centre,
                                leaf.warm_up, limits);
}

bool is_settled(const leaf_pool& pool, const leaf_state& leaf, boot_time now)
{
    return evacuation::is_settled(pool.evacuations, leaf.warm_up, now);
}

double load_share(const leaf_pool& pool, const leaf_state& leaf, boot_time now)
{
    return is_settled(pool, leaf, now)
               ? 1.0
               : evacuation::load_share(
                     pool.evacuations, leaf.published.data_centre, leaf.warm_up,
                     limits_of(pool, leaf), now);
}

} // namespace

void apply_cold_entry(leaf_pool& pool, leaf_state& leaf,
                      const topology::leaf_changed& change, boot_time now)
{
    evacuation::apply_entry(leaf.warm_up, change.revision,
                            change.leaf.cold_remaining, now);
    update_cold_share(pool, leaf, now);
}

void apply_cold_statement(leaf_pool& pool, connection_id id,
                          const leaf_reply& reply, boot_time sent_at,
                          boot_time now)
{
    const auto& connection = pool.connections.at(raw(id));
    auto& leaf = pool.leafs.at(connection.leaf);
    if (reply.cold_remaining && connection.incarnation == leaf.incarnations) {
        evacuation::apply_answer(leaf.warm_up, *reply.cold_remaining, sent_at,
                                 now);
        update_cold_share(pool, leaf, now);
    }
}

bool is_cold(const leaf_pool& pool, const leaf_state& leaf, boot_time now)
{
    return !is_settled(pool, leaf, now) &&
           now < cold_end(pool, leaf, limits_of(pool, leaf));
}

const rate_gate* cold_gate(const leaf_pool& pool, const leaf_state& leaf,
                           boot_time now)
{
    if (is_settled(pool, leaf, now)) {
        return nullptr;
    }
    const auto limits = limits_of(pool, leaf);
    return limits.per_second > 0 && now < cold_end(pool, leaf, limits)
               ? &leaf.cold_rate
               : nullptr;
}

boot_time cold_admits_at(const leaf_pool& pool, const leaf_state& leaf,
                         boot_time now)
{
    const auto* gate = cold_gate(pool, leaf, now);
    return gate == nullptr
               ? now
               : std::min(admits_at(*gate, now),
                          cold_end(pool, leaf, limits_of(pool, leaf)));
}

bool update_cold_share(leaf_pool& pool, leaf_state& leaf, boot_time now)
{
    if (cold_gate(pool, leaf, now) == nullptr) {
        leaf.cold_rate = {};
        leaf.cold_rate_of = {};
        return false;
    }
    const double per_second = limits_of(pool, leaf).per_second;
    const std::pair computed{per_second, pool.sharers.generation};
    renew_permit(leaf.cold_rate, pool.random, now);
    if (leaf.cold_rate_of == computed) {
        return false;
    }
    leaf.cold_rate_of = computed;
    set_share(leaf.cold_rate,
              cold_share_of(pool.sharers, pool.name, leaf.published.id,
                            per_second, pool.settings.cold_bound),
              pool.random, now);
    return true;
}

void update_cold_shares(leaf_pool& pool, boot_time now)
{
    // A share takes a hash for each serving daemon. At 10 ns each, this many
    // keep the smallest VM, with 0.084 cores, busy for 24 ms.
    constexpr std::size_t max_hashes = 200'000;
    std::size_t hashes = 0;
    for (auto& [id, leaf] : pool.leafs) {
        if (hashes < max_hashes && update_cold_share(pool, leaf, now)) {
            hashes += pool.sharers.serving.size();
        }
    }
}

bool step_is_full(const leaf_pool& pool, const leaf_state& leaf, boot_time now)
{
    const double share = load_share(pool, leaf, now);
    const double slots = std::max(leaf.published.slots, 1U);
    return share < 1.0 && leaf.in_flight >= std::ceil(share * slots);
}

bool skips_in_slow_start(leaf_pool& pool, const leaf_state& leaf, boot_time now)
{
    const double share = load_share(pool, leaf, now);
    return share < 1.0 && random_fraction(pool.random) >= share;
}

} // namespace bulrushspring::gateway
