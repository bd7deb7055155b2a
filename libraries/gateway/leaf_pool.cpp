#include "libraries/gateway/leaf_pool.hpp"

#include "base/hash.hpp"
#include "libraries/gateway/cold_leafs.hpp"
#include "libraries/gateway/connection_quota.hpp"
#include "libraries/gateway/events.hpp"
#include "libraries/gateway/leaf_connections.hpp"
#include "libraries/gateway/leaf_evacuation.hpp"
#include "libraries/gateway/leaf_rates.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// Maintenance interval while connections are being opened, and otherwise.
constexpr milliseconds opening_interval{50};
constexpr milliseconds maintenance_interval{250};
// The first connection to a leaf is opened after a random delay of up to this,
// so that the daemons do not all connect at once.
constexpr milliseconds preconnect_spread{800};
// Subtracted from a leaf's idle timeout: the time that a request needs to
// reach the leaf.
constexpr milliseconds idle_margin{500};
// The idle timeout of a leaf that did not give one.
constexpr seconds assumed_idle_timeout{60};

void remove_from_service(leaf_pool& pool, const leaf_state& leaf)
{
    auto& ids = pool.by_service[leaf.published.service];
    std::erase(ids, leaf.published.id);
    if (ids.empty()) {
        pool.by_service.erase(leaf.published.service);
    }
}

void close_idle(leaf_pool& pool, leaf_state& leaf, context& context)
{
    const auto idle = leaf.idle;
    for (const auto id : idle) {
        close_connection(pool, id, context);
    }
}

// Whether the state of a leaf that is no longer published can be erased: no
// attempt and no connection uses it, and its grace period has passed.
bool is_removable(const leaf_pool& pool, const leaf_state& leaf, boot_time now)
{
    return !leaf.listed && leaf.connections == 0 && leaf.in_flight == 0 &&
           now - leaf.unlisted_at >= pool.settings.unlisted_grace;
}

void maintain_leaf(leaf_pool& pool, leaf_state& leaf, context& context)
{
    if (!usable(pool, leaf, context.now)) {
        close_idle(pool, leaf, context);
        return;
    }
    const auto idle = leaf.idle;
    for (const auto id : idle) {
        const auto& each = pool.connections.at(raw(id));
        const duration limit = each.idle_timeout > duration{0}
                                   ? each.idle_timeout
                                   : duration{assumed_idle_timeout};
        if (context.now - each.since > limit - idle_margin) {
            close_connection(pool, id, context);
        }
    }
    if (pool.fleet.known && pool.fleet.self_serves && leaf.connections == 0 &&
        leaf.listed && context.now >= leaf.backoff_until &&
        context.now >= leaf.preconnect_after &&
        accepts_requests(leaf, context.now) &&
        pool.opening < pool.settings.max_opening &&
        connection_quota(pool, leaf, context.now) > 0) {
        open_connection(pool, leaf, std::nullopt, context);
    }
}

// Aborts connects and health checks that time out.
void abort_overdue(leaf_pool& pool, context& context)
{
    const auto& settings = pool.settings;
    std::vector<connection_id> overdue;
    for (const auto& [id, each] : pool.connections) {
        const auto age = context.now - each.since;
        if ((!each.open && !each.attempt && age > settings.open_timeout) ||
            (each.health_check && age > settings.health_check_timeout)) {
            overdue.push_back(connection_id{id});
        }
    }
    for (const auto id : overdue) {
        context.emit(close_leaf{id});
        remove_connection(pool, id, true, context);
    }
}

} // namespace

void delay_preconnect(leaf_pool& pool, leaf_state& leaf, boot_time now)
{
    const auto spread = random_below(
        pool.random,
        static_cast<std::uint64_t>(duration{preconnect_spread}.count()));
    leaf.preconnect_after = now + duration{static_cast<std::int64_t>(spread)};
}

void apply(leaf_pool& pool, const topology::leaf_changed& change,
           context& context)
{
    const auto& published = change.leaf;
    auto [position, added] = pool.leafs.try_emplace(published.id);
    auto& leaf = position->second;
    const bool restarted =
        leaf.published.incarnation != published.incarnation ||
        leaf.published.address != published.address ||
        leaf.published.service != published.service;
    if (!added && restarted) {
        close_idle(pool, leaf, context);
        remove_from_service(pool, leaf);
        ++leaf.incarnations;
        static_cast<leaf_process&>(leaf) = {};
    }
    if (added) {
        delay_preconnect(pool, leaf, context.now);
        leaf.placement_hash = stable_hash(published.id, stable_hash(pool.name));
    }
    if (added || restarted) {
        leaf.limit.limit = std::max(published.slots, 1U);
        pool.by_service[published.service].push_back(published.id);
    }
    leaf.published = published;
    leaf.listed = true;
    apply_cold_entry(pool, leaf, change, context.now);
}

void apply(leaf_pool& pool, const topology::leaf_gone& change, context& context)
{
    auto* leaf = find_leaf(pool, change.id);
    if (leaf != nullptr && leaf->listed) {
        leaf->listed = false;
        leaf->unlisted_at = context.now;
    }
}

bool admits_requests(const leaf_pool& pool, const std::string& service,
                     boot_time now)
{
    const auto ids = leafs_of(pool, service);
    return std::any_of(ids.begin(), ids.end(), [&](const auto& id) {
        const auto& leaf = pool.leafs.at(id);
        return usable(pool, leaf, now) && accepts_requests(leaf, now) &&
               limits::admits(leaf.limit, leaf.in_flight, now) &&
               rate_admits(pool, leaf, now) && !step_is_full(pool, leaf, now);
    });
}

bool accepts_requests(const leaf_state& leaf, boot_time now)
{
    return !leaf.leaving && now >= leaf.paused_until && leaf.unread == 0;
}

void set_unread(leaf_pool& pool, connection_id id, bool unread)
{
    const auto found = pool.connections.find(raw(id));
    if (found == pool.connections.end() || found->second.unread == unread) {
        return;
    }
    found->second.unread = unread;
    auto& leaf = pool.leafs.at(found->second.leaf);
    leaf.unread += unread ? 1 : -1;
}

void apply_leaf_state(leaf_pool& pool, connection_id id,
                      const leaf_reply& reply, boot_time sent_at,
                      context& context)
{
    const auto& connection = pool.connections.at(raw(id));
    auto& leaf = pool.leafs.at(connection.leaf);
    if (connection.incarnation != leaf.incarnations) {
        return; // an earlier incarnation has answered
    }
    if (reply.leaving && !leaf.leaving) {
        leaf.leaving = true;
        context.log(make_record(leaf_states_leaving,
                                field("leaf", leaf.published.id),
                                field("service", leaf.published.service)));
        close_idle(pool, leaf, context);
    }
    if (reply.retry_after > duration{0}) {
        leaf.paused_until =
            std::max(leaf.paused_until, context.now + reply.retry_after);
        context.log(
            make_record(leaf_paused, field("leaf", leaf.published.id),
                        field("service", leaf.published.service),
                        field("for_ms", to_milliseconds(reply.retry_after))));
    }
    apply_rate_statement(pool, leaf, reply, sent_at, context);
    apply_cold_statement(pool, id, reply, sent_at, context.now);
}

boot_time available_at(const leaf_pool& pool, const std::string& service,
                       boot_time now)
{
    boot_time earliest = boot_time::max();
    for (const auto& id : leafs_of(pool, service)) {
        const auto& leaf = pool.leafs.at(id);
        if (usable(pool, leaf, now)) {
            const auto connects_at =
                leaf.established > 0 ? now : leaf.backoff_until;
            earliest = std::min(earliest,
                                std::max({now, leaf.paused_until, connects_at,
                                          rate_admits_at(pool, leaf, now)}));
        }
    }
    return earliest;
}

bool is_unreachable(const leaf_pool& pool, const std::string& service,
                    boot_time now)
{
    const auto ids = leafs_of(pool, service);
    return std::none_of(ids.begin(), ids.end(), [&](const auto& id) {
        const auto& leaf = pool.leafs.at(id);
        return usable(pool, leaf, now) &&
               (leaf.established > 0 || leaf.failed_opens < max_failed_opens);
    });
}

void remove_connection(leaf_pool& pool, connection_id id, bool failed,
                       context& context)
{
    const auto found = pool.connections.find(raw(id));
    if (found == pool.connections.end()) {
        return;
    }
    auto& leaf = pool.leafs.at(found->second.leaf);
    leaf.unread -= found->second.unread ? 1 : 0;
    if (found->second.open) {
        --leaf.established;
    } else {
        --pool.opening;
        leaf.failed_opens += failed ? 1 : 0;
    }
    std::erase(leaf.idle, id);
    --leaf.connections;
    if (failed) {
        const auto doublings = std::min(leaf.failed_connections, 6U);
        ++leaf.failed_connections;
        leaf.connection_failed_at = context.now;
        leaf.backoff_until =
            context.now +
            std::min(pool.settings.min_backoff * (std::int64_t{1} << doublings),
                     pool.settings.max_backoff);
        if (leaf.failed_connections == 1) {
            context.log(make_record(
                leaf_unreachable, field("leaf", leaf.published.id),
                field("service", leaf.published.service),
                field("address", to_string(leaf.published.address))));
        }
    }
    context.count(metrics::counter::connections_closed);
    pool.connections.erase(found);
}

void forget_failures(leaf_pool& pool, boot_time now)
{
    for (auto& [id, leaf] : pool.leafs) {
        leaf.failed_connections = 0;
        leaf.failed_opens = 0;
        leaf.unanswered_hedges = 0;
        leaf.backoff_until = std::min(leaf.backoff_until, now);
    }
    pool.maintain_at = now;
}

void close_connection(leaf_pool& pool, connection_id id, context& context)
{
    context.emit(close_leaf{id});
    remove_connection(pool, id, false, context);
}

std::span<const std::string> leafs_of(const leaf_pool& pool,
                                      const std::string& service)
{
    const auto found = pool.by_service.find(service);
    return found == pool.by_service.end()
               ? std::span<const std::string>{}
               : std::span<const std::string>{found->second};
}

leaf_state* find_leaf(leaf_pool& pool, const std::string& id)
{
    const auto found = pool.leafs.find(id);
    return found == pool.leafs.end() ? nullptr : &found->second;
}

void maintain(leaf_pool& pool, context& context)
{
    if (context.now < pool.maintain_at) {
        return;
    }
    abort_overdue(pool, context);
    for (auto it = pool.leafs.begin(); it != pool.leafs.end();) {
        maintain_leaf(pool, it->second, context);
        if (is_removable(pool, it->second, context.now)) {
            remove_from_service(pool, it->second);
            it = pool.leafs.erase(it);
        } else {
            ++it;
        }
    }
    review_evacuations(pool, context);
    pool.maintain_at = context.now + (pool.opening > 0 ? opening_interval
                                                       : maintenance_interval);
}

boot_time next_wakeup(const leaf_pool& pool)
{
    return pool.maintain_at;
}

} // namespace bulrushspring::gateway
