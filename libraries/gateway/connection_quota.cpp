#include "libraries/gateway/connection_quota.hpp"

#include "base/hash.hpp"
#include "libraries/gateway/leaf_evacuation.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace bulrushspring::gateway
{
namespace
{

std::uint32_t connection_limit(const leaf_pool& pool, const leaf_state& leaf)
{
    if (!pool.table) {
        return 0;
    }
    const auto& services = pool.table->services;
    const auto found = services.find(leaf.published.service);
    if (found != services.end()) {
        return found->second.connection_limit;
    }
    // The table does not name the service of this leaf yet: the lowest limit
    // of all services applies.
    const auto tightest = std::min_element(
        services.begin(), services.end(), [](const auto& one, const auto& two) {
            return one.second.connection_limit < two.second.connection_limit;
        });
    return tightest == services.end() ? 0 : tightest->second.connection_limit;
}

// Whether a daemon that connects to only some leafs of a service should
// prefer another one.
bool is_unhealthy(const leaf_pool& pool, const leaf_state& leaf, boot_time now)
{
    constexpr std::uint32_t max_unanswered_hedges = 2;
    constexpr double max_latency_ratio = 3.0;
    constexpr double max_refusal_rate = 0.5;
    return leaf.failed_opens >= max_failed_opens ||
           leaf.unanswered_hedges >= max_unanswered_hedges ||
           latency_ratio_at(pool.settings.balancing, leaf, now) >
               max_latency_ratio ||
           refusal_rate_at(pool.settings.balancing, leaf, now) >
               max_refusal_rate;
}

struct ranked_leaf {
    const leaf_state* leaf = nullptr;
    bool unhealthy = false;
    bool remote = false;

    // In which a daemon prefers the leafs now.
    auto order() const
    {
        return std::tuple(unhealthy, remote, leaf->placement_hash);
    }
    // The same while all leafs are healthy.
    auto order_when_healthy() const
    {
        return std::tuple(remote, leaf->placement_hash);
    }
};

// The usable leafs of a service: those of this daemon's data centre first if
// the daemons there need at most 60 % of a leaf's connections, then by
// rendezvous hash, which distributes the daemons evenly.
std::vector<ranked_leaf> ranked_leafs(const leaf_pool& pool,
                                      const std::string& service,
                                      double connections, boot_time now)
{
    constexpr double max_local_share = 0.6;
    const bool local_first =
        static_cast<double>(pool.fleet.near) <= connections * max_local_share;
    std::vector<ranked_leaf> leafs;
    for (const auto& id : leafs_of(pool, service)) {
        const auto& leaf = pool.leafs.at(id);
        if (usable(pool, leaf, now)) {
            leafs.push_back({&leaf, is_unhealthy(pool, leaf, now),
                             !local_first || leaf.published.data_centre !=
                                                 pool.data_centre});
        }
    }
    std::sort(leafs.begin(), leafs.end(),
              [](const auto& left, const auto& right) {
                  return left.order_when_healthy() < right.order_when_healthy();
              });
    return leafs;
}

// Whether this daemon may connect to a leaf that is not among those it connects
// to while all are healthy. Daemons keep their connections to such a leaf, so
// over time each of them may hold one: the daemons that may are a fixed share,
// `per_daemon` being the connections to the leaf for each daemon and
// `chosen_share` the part of them that is taken while all are healthy.
bool may_substitute(const leaf_state& leaf, double per_daemon,
                    double chosen_share)
{
    const double share =
        std::max(per_daemon - chosen_share, 0.0) / (1.0 - chosen_share);
    const auto hash = stable_hash("substitute", leaf.placement_hash);
    return std::ldexp(static_cast<double>(hash), -64) < share;
}

// The number of a leaf's connections that this daemon may hold, as a
// fraction that may be below 1.
double connections_per_daemon(const leaf_pool& pool, double usable_limit)
{
    const auto& settings = pool.settings;
    const auto& fleet = pool.fleet;
    const auto large = static_cast<double>(fleet.large);
    const auto others = static_cast<double>(fleet.size) - large;
    if (others <= 0) {
        return std::min<double>(usable_limit / large, settings.max_connections);
    }
    const double of_large =
        std::min<double>(usable_limit * settings.large_connection_share / large,
                         settings.max_connections_of_large);
    return fleet.self_is_large
               ? of_large
               : std::min<double>((usable_limit - of_large * large) / others,
                                  settings.max_connections);
}

} // namespace

double daemon_share(const fleet_summary& fleet, double share_of_large)
{
    const auto large = static_cast<double>(fleet.large);
    const auto others = static_cast<double>(fleet.size) - large;
    if (others <= 0) {
        return 1.0 / large;
    }
    return fleet.self_is_large ? share_of_large / large
                               : (1.0 - share_of_large) / others;
}

bool usable(const leaf_pool& pool, const leaf_state& leaf, boot_time now)
{
    if (leaf.misdirected || leaf.leaving || leaf.published.draining ||
        is_evacuated(pool, leaf)) {
        return false;
    }
    return leaf.listed || now - leaf.unlisted_at < pool.settings.unlisted_grace;
}

std::uint32_t connection_quota(const leaf_pool& pool, const leaf_state& leaf,
                               boot_time now)
{
    const auto limit = connection_limit(pool, leaf);
    if (limit == 0) {
        return 0; // no limit is known yet
    }
    const double usable_limit = limit * pool.settings.connection_limit_share;
    const double each = connections_per_daemon(pool, usable_limit);
    if (each >= 1.0 && !pool.fleet.recently_started) {
        return static_cast<std::uint32_t>(each);
    }
    auto leafs = ranked_leafs(pool, leaf.published.service, usable_limit, now);
    const auto count = static_cast<double>(leafs.size());
    auto chosen = std::max<std::size_t>(
        static_cast<std::size_t>(std::min(each, 1.0) * count), 1);
    if (pool.fleet.recently_started) {
        // One leaf for the first attempt and one for a hedge.
        constexpr std::size_t chosen_after_start = 2;
        chosen = std::min(chosen, chosen_after_start);
    }
    if (chosen < leafs.size()) {
        const auto substitutes = std::remove_if(
            leafs.begin() + static_cast<std::ptrdiff_t>(chosen), leafs.end(),
            [&](const auto& other) {
                return !may_substitute(*other.leaf, each,
                                       static_cast<double>(chosen) / count);
            });
        leafs.erase(substitutes, leafs.end());
    }
    const auto own =
        std::find_if(leafs.begin(), leafs.end(),
                     [&](const auto& other) { return other.leaf == &leaf; });
    if (own == leafs.end()) {
        return 0;
    }
    const auto better =
        std::count_if(leafs.begin(), leafs.end(), [&](const auto& other) {
            return other.order() < own->order();
        });
    return static_cast<std::size_t>(better) < chosen ? 1 : 0;
}

} // namespace bulrushspring::gateway
