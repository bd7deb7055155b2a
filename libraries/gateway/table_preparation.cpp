#include "libraries/gateway/table_preparation.hpp"

#include "libraries/gateway/connection_quota.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{

void prepare_for(leaf_pool& pool, const routing::table_pointer& table,
                 context& context)
{
    pool.table = table;
    for (auto& [id, leaf] : pool.leafs) {
        if (leaf.connections == 0 && leaf.failed_connections == 0 &&
            table->services.count(leaf.published.service) > 0) {
            leaf.preconnect_after = context.now;
        }
    }
    pool.maintain_at = context.now;
}

bool is_prepared_for(const leaf_pool& pool, const routing::table& table,
                     boot_time now)
{
    if (!pool.fleet.self_serves) {
        return true;
    }
    const auto has_connections = [&](const std::string& service) {
        const auto ids = leafs_of(pool, service);
        const auto lacks_connection = [&](const auto& id) {
            const auto& leaf = pool.leafs.at(id);
            return leaf.idle.empty() && leaf.in_flight == 0 &&
                   usable(pool, leaf, now) && leaf.failed_connections == 0 &&
                   connection_quota(pool, leaf, now) > 0;
        };
        return std::none_of(ids.begin(), ids.end(), lacks_connection);
    };
    return std::all_of(
        table.routes.begin(), table.routes.end(), [&](const auto& route) {
            return std::all_of(route.shards.begin(), route.shards.end(),
                               has_connections) &&
                   std::all_of(route.services.begin(), route.services.end(),
                               [&](const auto& part) {
                                   return has_connections(part.service);
                               });
        });
}

} // namespace bulrushspring::gateway
