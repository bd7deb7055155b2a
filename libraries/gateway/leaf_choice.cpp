#include "libraries/gateway/leaf_choice.hpp"

#include "libraries/balancing/choice.hpp"
#include "libraries/gateway/cold_leafs.hpp"
#include "libraries/gateway/connection_quota.hpp"
#include "libraries/gateway/leaf_rates.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

bool can_take_request(const leaf_pool& pool, const leaf_state& leaf,
                      boot_time now)
{
    return usable(pool, leaf, now) && accepts_requests(leaf, now) &&
           limits::admits(leaf.limit, leaf.in_flight, now) &&
           rate_admits(pool, leaf, now) && !step_is_full(pool, leaf, now) &&
           (!leaf.idle.empty() ||
            (now >= leaf.backoff_until &&
             leaf.connections < connection_quota(pool, leaf, now)));
}

balancing::candidate candidate_of(leaf_pool& pool, const leaf_state& leaf,
                                  boot_time now)
{
    balancing::candidate made;
    made.leaf = &leaf;
    made.in_flight = leaf.in_flight;
    made.slots = leaf.published.slots;
    made.remote = leaf.published.data_centre != pool.data_centre;
    made.connected = !leaf.idle.empty();
    made.cold = is_cold(pool, leaf, now);
    made.skipped = skips_in_slow_start(pool, leaf, now);
    made.unreachable = now < leaf.backoff_until;
    made.suspect = leaf.suspects > 0;
    made.unlisted = !leaf.listed;
    return made;
}

balancing::demand demand_of(const exchange& exchange, boot_time now)
{
    balancing::demand demand;
    demand.part_of_query = exchange.parts.size() > 1;
    if (exchange.expected_latency > duration{0}) {
        demand.relative_time_left =
            std::chrono::duration<double>(exchange.objective_deadline - now) /
            exchange.expected_latency;
    }
    return demand;
}

} // namespace

leaf_state* choose_leaf(exchange_step& step, const exchange& exchange,
                        const request_part& part,
                        std::span<const std::string> excluded)
{
    auto& pool = step.pool;
    const auto now = step.context.now;
    const auto ids = leafs_of(pool, part.service);
    std::vector<balancing::candidate> candidates;
    std::vector<leaf_state*> leafs;
    candidates.reserve(ids.size());
    leafs.reserve(ids.size());
    for (const auto& id : ids) {
        auto& leaf = pool.leafs.at(id);
        if (can_take_request(pool, leaf, now) &&
            std::find(excluded.begin(), excluded.end(), id) == excluded.end()) {
            candidates.push_back(candidate_of(pool, leaf, now));
            leafs.push_back(&leaf);
        }
    }
    const auto chosen =
        balancing::choose(candidates, demand_of(exchange, now),
                          pool.settings.balancing, pool.random, now);
    if (chosen && chosen->probe) {
        step.context.count(metrics::counter::leaf_probes);
    }
    return chosen ? leafs[chosen->index] : nullptr;
}

} // namespace bulrushspring::gateway
