#include "libraries/gateway/placement.hpp"

#include "libraries/gateway/leaf_evidence.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

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
    // Published before the table names its service: as tight as the tightest.
    const auto tightest = std::min_element(
        services.begin(), services.end(), [](const auto& one, const auto& two) {
            return one.second.connection_limit < two.second.connection_limit;
        });
    return tightest == services.end() ? 0 : tightest->second.connection_limit;
}

// Whether a daemon that has few leafs of a service had better have another.
bool is_bad(const leaf_pool& pool, const leaf_state& leaf, boot_time now)
{
    constexpr std::uint32_t silent_after = 2;
    constexpr std::uint32_t unreachable_after = 2;
    constexpr double slow = 3.0;
    constexpr double refusing = 0.5;
    return leaf.unreachable >= unreachable_after ||
           leaf.silences >= silent_after ||
           slowness_at(pool.settings, leaf, now) > slow ||
           refusals_at(pool.settings, leaf, now) > refusing;
}

// Orders the leafs of a service for this daemon, best first: bad ones last,
// then near ones first where the leaf can take all daemons
// of its data centre, then by hashes that spread daemons evenly.
bool placed_before(const leaf_pool& pool, const leaf_state& left,
                   const leaf_state& right, double share, boot_time now)
{
    const auto key = [&](const leaf_state& leaf) {
        const bool near = leaf.published.data_centre == pool.data_centre &&
                          static_cast<double>(pool.fleet.near) <= share * 0.6;
        return std::tuple(is_bad(pool, leaf, now), !near, leaf.placement);
    };
    return key(left) < key(right);
}

// What of a leaf's connections is for this daemon, as a fraction.
double connections_each(const leaf_pool& pool, double usable_limit)
{
    const auto& settings = pool.settings;
    const auto& fleet = pool.fleet;
    const auto active = static_cast<double>(fleet.active);
    const auto others = static_cast<double>(fleet.size) - active;
    if (others <= 0) {
        return std::min<double>(usable_limit / active,
                                settings.most_connections);
    }
    const double of_active =
        std::min<double>(usable_limit * settings.connections_of_active / active,
                         settings.most_connections_of_active);
    if (fleet.self_active) {
        return of_active;
    }
    return std::min<double>((usable_limit - of_active * active) / others,
                            settings.most_connections);
}

} // namespace

bool usable(const leaf_pool& pool, const leaf_state& leaf, boot_time now)
{
    if (leaf.misdirected || leaf.published.draining) {
        return false;
    }
    return leaf.listed || now - leaf.unlisted_at < pool.settings.lapse_hold;
}

std::uint32_t connection_share(const leaf_pool& pool, const leaf_state& leaf,
                               boot_time now)
{
    const auto limit = connection_limit(pool, leaf);
    if (limit == 0) {
        return 0; // no table is known
    }
    const double usable_limit = limit * pool.settings.connection_share;
    const double each = connections_each(pool, usable_limit);
    if (each >= 1.0 && !pool.fleet.young) {
        return static_cast<std::uint32_t>(each);
    }
    const auto& ids = pool.by_service.at(leaf.published.service);
    std::uint32_t leafs = 0;
    std::uint32_t before = 0;
    for (const auto& id : ids) {
        const auto& other = pool.leafs.at(id);
        if (usable(pool, other, now)) {
            ++leafs;
            before +=
                placed_before(pool, other, leaf, usable_limit, now) ? 1 : 0;
        }
    }
    constexpr double rounding = 1e-6;
    const auto chosen =
        std::max(static_cast<std::uint32_t>(each * leafs + rounding), 1U);
    constexpr std::uint32_t chosen_by_young = 2; // one, and one to overtake it
    return before < (pool.fleet.young ? std::min(chosen, chosen_by_young)
                                      : chosen)
               ? 1
               : 0;
}

bool opens_ahead(const leaf_pool& pool, const leaf_state& leaf)
{
    if (pool.fleet.self_active) {
        return true;
    }
    const double each = connections_each(
        pool, connection_limit(pool, leaf) * pool.settings.connection_share);
    const auto leafs = pool.by_service.at(leaf.published.service).size();
    return each * static_cast<double>(leafs) >= 1.0;
}

double share_of_fleet(const fleet_shape& fleet, double share_of_active)
{
    const auto active = static_cast<double>(fleet.active);
    const auto others = static_cast<double>(fleet.size) - active;
    if (others <= 0) {
        return 1.0 / active;
    }
    return fleet.self_active ? share_of_active / active
                             : (1.0 - share_of_active) / others;
}

std::size_t most_active(const leaf_pool& pool)
{
    const auto& settings = pool.settings;
    std::vector<double> carried;
    for (const auto& [service, leafs] : pool.by_service) {
        const double limit =
            leafs.empty() ? 0 : connection_limit(pool, pool.leafs.at(leafs[0]));
        const auto count = static_cast<double>(leafs.size());
        const double wanted = std::min<double>(count, settings.leafs_of_active);
        if (limit > 0) {
            carried.push_back(limit * settings.connection_share *
                              settings.connections_of_active * count / wanted);
        }
    }
    if (carried.empty()) {
        return std::numeric_limits<std::size_t>::max();
    }
    const auto middle =
        carried.begin() + static_cast<std::ptrdiff_t>(carried.size() / 2);
    std::nth_element(carried.begin(), middle, carried.end());
    return static_cast<std::size_t>(*middle);
}

} // namespace bulrushspring::gateway
