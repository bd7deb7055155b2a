#include "libraries/gateway/leaf_evacuation.hpp"

#include "libraries/gateway/cold_leafs.hpp"

namespace bulrushspring::gateway
{
namespace
{

evacuation::usage usage_of(const leaf_pool& pool, std::string_view data_centre)
{
    evacuation::usage used;
    for (const auto& [id, leaf] : pool.leafs) {
        if (leaf.published.data_centre == data_centre) {
            used.leafs += leaf.listed ? 1 : 0;
            used.connections += leaf.connections;
            // A connection that is established and not idle is in use, also by
            // a health check or an attempt whose caller has left.
            used.running += leaf.established - leaf.idle.size();
        }
    }
    return used;
}

void delay_connections(leaf_pool& pool, std::string_view data_centre,
                       boot_time now)
{
    for (auto& [id, leaf] : pool.leafs) {
        if (leaf.published.data_centre == data_centre) {
            delay_preconnect(pool, leaf, now);
        }
    }
}

} // namespace

void apply(leaf_pool& pool, const topology::evacuation_changed& change,
           context& context)
{
    const auto used = usage_of(pool, change.data_centre);
    if (change.evacuated) {
        evacuation::begin(pool.evacuations, change.data_centre, change.revision,
                          used, context.shared);
    } else {
        evacuation::revoke(pool.evacuations, change.data_centre,
                           change.revision, used, context.shared);
        delay_connections(pool, change.data_centre, context.now);
    }
    update_cold_shares(pool, context.now);
    pool.maintain_at = context.now;
}

bool is_evacuated(const leaf_pool& pool, const leaf_state& leaf)
{
    return evacuation::is_closed(pool.evacuations, leaf.published.data_centre);
}

void review_evacuations(leaf_pool& pool, context& context)
{
    if (!pool.evacuations.data_centres.empty()) {
        evacuation::note_usage(
            pool.evacuations,
            [&](std::string_view name) { return usage_of(pool, name); },
            context.shared);
    }
}

} // namespace bulrushspring::gateway
