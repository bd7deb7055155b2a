#include "libraries/gateway/leaf_connections.hpp"

#include "libraries/gateway/connection_quota.hpp"
#include "libraries/gateway/leaf_evacuation.hpp"
#include "libraries/gateway/leaf_rates.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// A request that must not run twice only uses connections that were in use
// this recently: the leaf may have closed older ones, and the request could
// not be retried then.
constexpr seconds max_idle_not_idempotent{4};

bool contains(std::span<const connection_id> ids, connection_id id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

bool has_unused_connection(const leaf_pool& pool, const leaf_state& leaf,
                           std::span<const connection_id> used, boot_time now)
{
    return std::any_of(leaf.idle.begin(), leaf.idle.end(),
                       [&](auto id) { return !contains(used, id); }) ||
           (now >= leaf.backoff_until &&
            leaf.connections < connection_quota(pool, leaf, now));
}

std::optional<connection_id> acquire(leaf_pool& pool, leaf_state& leaf,
                                     attempt_id attempt,
                                     const connection_demand& demand,
                                     context& context)
{
    for (auto i = leaf.idle.size(); i-- > 0;) {
        const auto id = leaf.idle[i];
        auto& taken = pool.connections.at(raw(id));
        if (!demand.idempotent &&
            context.now - taken.since > max_idle_not_idempotent) {
            close_connection(pool, id, context);
        } else if (!contains(demand.used, id)) {
            std::erase(leaf.idle, id);
            taken.attempt = attempt;
            return id;
        }
    }
    if (leaf.connections >= connection_quota(pool, leaf, context.now)) {
        if (leaf.idle.empty()) {
            return std::nullopt;
        }
        close_connection(pool, leaf.idle.front(), context);
    }
    return open_connection(pool, leaf, attempt, context);
}

connection_id open_connection(leaf_pool& pool, leaf_state& leaf,
                              std::optional<attempt_id> attempt,
                              context& context)
{
    const auto id = context.shared.new_identifier<connection_id>();
    auto& opened = pool.connections[raw(id)];
    opened.leaf = leaf.published.id;
    opened.incarnation = leaf.incarnations;
    opened.attempt = attempt;
    opened.since = context.now;
    ++leaf.connections;
    ++pool.opening;
    context.count(metrics::counter::connections_opened);
    context.emit(open_leaf{id, leaf.published.address});
    return id;
}

bool open_check(leaf_pool& pool, leaf_state& leaf, context& context)
{
    if (is_evacuated(pool, leaf) || pool.opening >= pool.settings.max_opening ||
        leaf.connections >= connection_quota(pool, leaf, context.now)) {
        return false;
    }
    open_connection(pool, leaf, std::nullopt, context);
    return true;
}

bool send_health_check(leaf_pool& pool, leaf_state& leaf, context& context)
{
    if (!pool.table || leaf.idle.empty() || is_evacuated(pool, leaf) ||
        !accepts_requests(leaf, context.now) ||
        !rate_admits(pool, leaf, context.now)) {
        return false;
    }
    const auto service = pool.table->services.find(leaf.published.service);
    if (service == pool.table->services.end() ||
        service->second.health_path.empty()) {
        return false;
    }
    const auto id = leaf.idle.back();
    leaf.idle.pop_back();
    auto& used = pool.connections.at(raw(id));
    used.health_check = true;
    used.since = context.now;
    count_request(pool, leaf, context.now);
    auto request = std::make_shared<forward_request>();
    request->method = "GET";
    request->host = service->second.name;
    request->target = service->second.health_path;
    context.emit(send_to_leaf{id, std::move(request), leaf.published.id,
                              pool.settings.health_check_timeout});
    return true;
}

void release(leaf_pool& pool, connection_id id, const leaf_reply& reply,
             context& context)
{
    auto& connection = pool.connections.at(raw(id));
    auto& leaf = pool.leafs.at(connection.leaf);
    leaf.failed_connections = 0;
    leaf.unanswered_hedges = 0;
    if (connection.health_check) {
        close_connection(pool, id, context);
        return;
    }
    connection.attempt.reset();
    connection.since = context.now;
    connection.answered = true;
    if (reply.idle_timeout > duration{0}) {
        connection.idle_timeout = reply.idle_timeout;
    }
    leaf.idle.push_back(id);
}

} // namespace bulrushspring::gateway
