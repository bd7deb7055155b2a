#include "libraries/gateway/leaf_pool.hpp"

#include "base/hash.hpp"
#include "libraries/gateway/events.hpp"
#include "libraries/gateway/leaf_evidence.hpp"

#include <algorithm>
#include <tuple>

namespace bulrushspring::gateway
{
namespace
{

// How often idle connections and missing ones are looked at: while some are
// still to be opened, and else.
constexpr milliseconds warming_interval{50};
constexpr milliseconds maintenance_interval{250};
// First connections to leafs are spread over this time, daemon by daemon.
constexpr milliseconds warm_spread{800};
// Kept back of a leaf's idle timeout: the way of a request to it.
constexpr milliseconds idle_margin{500};
// Where a leaf did not say when it closes idle connections.
constexpr seconds assumed_idle_timeout{60};
// A request that must not run twice takes only connections that were in use
// this short a while ago: older ones may have been closed at the other end.
constexpr seconds proof_of_life{4};

constexpr double avoided_cost = 1000.0;
constexpr double unlisted_cost = 100000.0;
constexpr double opening_cost = 1.0;
constexpr double cold_cost = 0.6; // a cold leaf takes over half longer

bool usable(const leaf_pool& pool, const leaf_state& leaf, boot_time now)
{
    if (leaf.misdirected || leaf.published.draining) {
        return false;
    }
    return leaf.listed || now - leaf.unlisted_at < pool.settings.lapse_hold;
}

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
    const auto large = static_cast<double>(fleet.large);
    const auto others = static_cast<double>(fleet.size) - large;
    if (others <= 0) {
        return std::min<double>(usable_limit / large,
                                settings.most_connections);
    }
    const double of_large =
        std::min<double>(usable_limit * settings.connections_of_large / large,
                         settings.most_connections_of_large);
    return fleet.self_large
               ? of_large
               : std::min<double>((usable_limit - of_large * large) / others,
                                  settings.most_connections);
}

// How many connections this daemon may hold to a leaf, so that the fleet
// keeps to the leaf's limit without asking one another. Where there are fewer
// connections than daemons, each daemon gets some of the leafs.
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
    const auto chosen = std::max(static_cast<std::uint32_t>(each * leafs), 1U);
    constexpr std::uint32_t chosen_by_young = 2; // one, and one to overtake it
    return before < (pool.fleet.young ? std::min(chosen, chosen_by_young)
                                      : chosen)
               ? 1
               : 0;
}

double cost_of(const leaf_pool& pool, const leaf_state& leaf, boot_time now)
{
    double cost =
        slowness_at(pool.settings, leaf, now) * (1.0 + leaf.in_flight);
    cost *= 1.0 + pool.settings.refusal_weight *
                      refusals_at(pool.settings, leaf, now);
    if (leaf.published.data_centre != pool.data_centre) {
        cost *= pool.settings.remote_factor;
    }
    if (leaf.idle.empty()) {
        cost += opening_cost;
    }
    if (now < leaf.cold_until) {
        cost += cold_cost;
    }
    if (now < leaf.avoid_until || now < leaf.open_after) {
        cost += avoided_cost;
    }
    if (!leaf.listed) {
        cost += unlisted_cost;
    }
    return cost;
}

connection_id open(leaf_pool& pool, leaf_state& leaf,
                   std::optional<sending_id> sending, context& context)
{
    const auto id = context.shared.new_identifier<connection_id>();
    auto& opened = pool.connections[raw(id)];
    opened.leaf = leaf.published.id;
    opened.sending = sending;
    opened.since = context.now;
    ++leaf.connections;
    ++pool.opening;
    context.count(metrics::counter::connections_opened);
    context.emit(open_leaf{id, leaf.published.address});
    return id;
}

void remove_from_service(leaf_pool& pool, const leaf_state& leaf)
{
    auto& ids = pool.by_service[leaf.published.service];
    std::erase(ids, leaf.published.id);
    if (ids.empty()) {
        pool.by_service.erase(leaf.published.service);
    }
}

void drop_idle(leaf_pool& pool, leaf_state& leaf, context& context)
{
    const auto idle = leaf.idle;
    for (const auto id : idle) {
        drop(pool, id, context);
    }
}

// A leaf that is gone for good: nothing of it is kept once no sending uses
// it.
bool forgettable(const leaf_pool& pool, const leaf_state& leaf, boot_time now)
{
    return !leaf.listed && leaf.connections == 0 && leaf.in_flight == 0 &&
           now - leaf.unlisted_at >= pool.settings.lapse_hold;
}

void maintain_leaf(leaf_pool& pool, leaf_state& leaf, context& context)
{
    if (!leaf.listed &&
        context.now - leaf.unlisted_at >= pool.settings.lapse_hold) {
        drop_idle(pool, leaf, context);
        return;
    }
    if (!usable(pool, leaf, context.now)) {
        drop_idle(pool, leaf, context);
        return;
    }
    const auto idle = leaf.idle;
    for (const auto id : idle) {
        const auto& each = pool.connections.at(raw(id));
        const duration limit = each.idle_timeout > duration{0}
                                   ? each.idle_timeout
                                   : duration{assumed_idle_timeout};
        if (context.now - each.since > limit - idle_margin) {
            drop(pool, id, context);
        }
    }
    if (pool.fleet.known && leaf.connections == 0 && leaf.listed &&
        context.now >= leaf.open_after && context.now >= leaf.warm_after &&
        pool.opening < pool.settings.most_opening &&
        connection_share(pool, leaf, context.now) > 0) {
        open(pool, leaf, std::nullopt, context);
    }
}

void give_up_opening(leaf_pool& pool, context& context)
{
    std::vector<connection_id> late;
    for (const auto& [id, each] : pool.connections) {
        if (!each.open && !each.sending &&
            context.now - each.since > pool.settings.open_timeout) {
            late.push_back(connection_id{id});
        }
    }
    for (const auto id : late) {
        context.emit(close_leaf{id});
        forget(pool, id, true, context);
    }
}

} // namespace

double share_of_fleet(const fleet_shape& fleet, double share_of_large)
{
    const auto large = static_cast<double>(fleet.large);
    const auto others = static_cast<double>(fleet.size) - large;
    if (others <= 0) {
        return 1.0 / large;
    }
    return fleet.self_large ? share_of_large / large
                            : (1.0 - share_of_large) / others;
}

void apply(leaf_pool& pool, const topology::leaf_changed& change,
           context& context)
{
    const auto& published = change.now;
    auto [place, fresh] = pool.leafs.try_emplace(published.id);
    auto& leaf = place->second;
    const bool other_life = leaf.published.started != published.started ||
                            leaf.published.address != published.address ||
                            leaf.published.service != published.service;
    if (!fresh && other_life) {
        drop_idle(pool, leaf, context);
        remove_from_service(pool, leaf);
        leaf.slowness = 1.0;
        leaf.misdirected = false;
        leaf.failures = 0;
        leaf.open_after = context.now;
    }
    if (fresh) {
        const auto spread = random_below(
            pool.random,
            static_cast<std::uint64_t>(duration{warm_spread}.count()));
        leaf.warm_after =
            context.now + duration{static_cast<std::int64_t>(spread)};
        leaf.limit.allowed = std::max(published.slots, 1U);
        leaf.placement = stable_hash(published.id, stable_hash(pool.name));
    }
    if (fresh || other_life) {
        pool.by_service[published.service].push_back(published.id);
    }
    leaf.published = published;
    leaf.listed = true;
    leaf.cold_until = context.now + published.cold;
}

void apply(leaf_pool& pool, const topology::leaf_gone& change, context& context)
{
    auto* leaf = find_leaf(pool, change.id);
    if (leaf != nullptr && leaf->listed) {
        leaf->listed = false;
        leaf->unlisted_at = context.now;
    }
}

leaf_state* choose(leaf_pool& pool, const std::string& service,
                   std::span<const std::string> excluded, boot_time now)
{
    const auto found = pool.by_service.find(service);
    if (found == pool.by_service.end()) {
        return nullptr;
    }
    leaf_state* best = nullptr;
    double best_cost = 0;
    for (const auto& id : found->second) {
        auto& leaf = pool.leafs.at(id);
        if (!usable(pool, leaf, now) ||
            !limits::admits(leaf.limit, leaf.in_flight) ||
            std::find(excluded.begin(), excluded.end(), id) != excluded.end() ||
            (leaf.idle.empty() &&
             (now < leaf.open_after ||
              leaf.connections >= connection_share(pool, leaf, now)))) {
            continue;
        }
        // Equal leafs are drawn from, not taken in the order of their ids.
        const double cost = cost_of(pool, leaf, now) *
                            (1.0 + 0.1 * random_fraction(pool.random));
        if (best == nullptr || cost < best_cost) {
            best = &leaf;
            best_cost = cost;
        }
    }
    return best;
}

std::optional<connection_id> acquire(leaf_pool& pool, leaf_state& leaf,
                                     sending_id sending, bool idempotent,
                                     context& context)
{
    while (!leaf.idle.empty()) {
        const auto id = leaf.idle.back();
        auto& taken = pool.connections.at(raw(id));
        if (!idempotent && context.now - taken.since > proof_of_life) {
            drop(pool, id, context);
            continue;
        }
        leaf.idle.pop_back();
        taken.sending = sending;
        return id;
    }
    if (leaf.connections >= connection_share(pool, leaf, context.now)) {
        return std::nullopt;
    }
    return open(pool, leaf, sending, context);
}

void release(leaf_pool& pool, connection_id id, const leaf_reply& reply,
             context& context)
{
    auto& connection = pool.connections.at(raw(id));
    connection.sending.reset();
    connection.since = context.now;
    connection.answered = true;
    auto& leaf = pool.leafs.at(connection.leaf);
    leaf.failures = 0;
    leaf.silences = 0;
    if (reply.idle_timeout > duration{0}) {
        connection.idle_timeout = reply.idle_timeout;
    }
    leaf.idle.push_back(id);
}

void forget(leaf_pool& pool, connection_id id, bool failed, context& context)
{
    const auto found = pool.connections.find(raw(id));
    if (found == pool.connections.end()) {
        return;
    }
    auto& leaf = pool.leafs.at(found->second.leaf);
    if (!found->second.open) {
        --pool.opening;
        leaf.unreachable += failed ? 1 : 0;
    }
    std::erase(leaf.idle, id);
    --leaf.connections;
    if (failed) {
        const auto doublings = std::min(leaf.failures, 6U);
        ++leaf.failures;
        leaf.open_after =
            context.now + std::min(pool.settings.least_backoff *
                                       (std::int64_t{1} << doublings),
                                   pool.settings.most_backoff);
        if (leaf.failures == 1) {
            context.log(make_record(
                leaf_unreachable, field("leaf", leaf.published.id),
                field("service", leaf.published.service),
                field("address", to_string(leaf.published.address))));
        }
    }
    context.count(metrics::counter::connections_closed);
    pool.connections.erase(found);
}

void drop(leaf_pool& pool, connection_id id, context& context)
{
    context.emit(close_leaf{id});
    forget(pool, id, false, context);
}

void prepare_for(leaf_pool& pool, const routing::table_pointer& table,
                 context& context)
{
    pool.table = table;
    for (auto& [id, leaf] : pool.leafs) {
        if (leaf.connections == 0 && leaf.failures == 0 &&
            table->services.count(leaf.published.service) > 0) {
            leaf.warm_after = context.now;
        }
    }
    pool.warm_at = context.now;
}

bool prepared_for(const leaf_pool& pool, const routing::table& table,
                  boot_time now)
{
    const auto reached = [&](const std::string& service) {
        const auto found = pool.by_service.find(service);
        if (found == pool.by_service.end()) {
            return true;
        }
        const auto& ids = found->second;
        const auto wants_first = [&](const auto& id) {
            const auto& leaf = pool.leafs.at(id);
            return leaf.idle.empty() && leaf.in_flight == 0 &&
                   usable(pool, leaf, now) && leaf.failures == 0 &&
                   connection_share(pool, leaf, now) > 0;
        };
        return std::none_of(ids.begin(), ids.end(), wants_first);
    };
    return std::all_of(
        table.routes.begin(), table.routes.end(), [&](const auto& route) {
            return std::all_of(route.shards.begin(), route.shards.end(),
                               reached) &&
                   std::all_of(
                       route.services.begin(), route.services.end(),
                       [&](const auto& part) { return reached(part.service); });
        });
}

leaf_state* find_leaf(leaf_pool& pool, const std::string& id)
{
    const auto found = pool.leafs.find(id);
    return found == pool.leafs.end() ? nullptr : &found->second;
}

void maintain(leaf_pool& pool, context& context)
{
    if (context.now < pool.warm_at) {
        return;
    }
    give_up_opening(pool, context);
    for (auto it = pool.leafs.begin(); it != pool.leafs.end();) {
        maintain_leaf(pool, it->second, context);
        if (forgettable(pool, it->second, context.now)) {
            remove_from_service(pool, it->second);
            it = pool.leafs.erase(it);
        } else {
            ++it;
        }
    }
    pool.warm_at = context.now +
                   (pool.opening > 0 ? warming_interval : maintenance_interval);
}

boot_time next_wakeup(const leaf_pool& pool)
{
    return pool.warm_at;
}

} // namespace bulrushspring::gateway
