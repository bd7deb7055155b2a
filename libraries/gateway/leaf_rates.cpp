#include "libraries/gateway/leaf_rates.hpp"

#include "libraries/gateway/cold_leafs.hpp"
#include "libraries/gateway/connection_quota.hpp"
#include "libraries/gateway/events.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

void log_rate(const leaf_state& leaf, bool readable, context& context)
{
    context.log(make_record(leaf_rate_stated, field("leaf", leaf.published.id),
                            field("service", leaf.published.service),
                            field("per_second", leaf.rate_limit.value_or(-1.0)),
                            field("share", leaf.rate.share.per_second),
                            field("readable", readable ? 1 : 0)));
}

void set_rate_share(leaf_pool& pool, leaf_state& leaf, boot_time now)
{
    set_share(
        leaf.rate,
        share_of(pool.sharers, pool.name, leaf.published.id,
                 std::max(*leaf.rate_limit, pool.settings.min_rate_limit)),
        pool.random, now);
}

// The gate with the lowest rate that a request to the leaf has to pass; null if
// there is none.
const rate_gate* slowest_gate(const leaf_pool& pool, const leaf_state& leaf,
                              boot_time now)
{
    const auto* stated = leaf.rate_limit ? &leaf.rate : nullptr;
    const auto* cold = cold_gate(pool, leaf, now);
    if (stated == nullptr || cold == nullptr) {
        return stated == nullptr ? cold : stated;
    }
    return cold->share.per_second < stated->share.per_second ? cold : stated;
}

} // namespace

void apply_rate_statement(leaf_pool& pool, leaf_state& leaf,
                          const leaf_reply& reply, boot_time sent_at,
                          context& context)
{
    const bool unreadable = reply.rate.present && !reply.rate.per_second;
    if (unreadable && !leaf.rate_unreadable) {
        log_rate(leaf, false, context);
    }
    leaf.rate_unreadable = unreadable;
    if (reply.rate.per_second) {
        set_rate_limit(pool, leaf, reply.rate.per_second, context.now, context);
    } else if (!unreadable && leaf.rate_limit && !reply.signature.empty() &&
               sent_at > leaf.rate_stated_at) {
        // Earlier requests may be answered out of order.
        set_rate_limit(pool, leaf, std::nullopt, context.now, context);
    }
}

void set_rate_limit(leaf_pool& pool, leaf_state& leaf,
                    std::optional<double> limit, boot_time stated_at,
                    context& context)
{
    leaf.rate_stated_at = stated_at;
    if (leaf.rate_limit == limit) {
        return;
    }
    leaf.rate_limit = limit;
    if (limit) {
        set_rate_share(pool, leaf, context.now);
    } else {
        leaf.rate = {};
    }
    log_rate(leaf, true, context);
    pool.changed_rates.push_back(leaf.published.id);
}

boot_time rate_admits_at(const leaf_pool& pool, const leaf_state& leaf,
                         boot_time now)
{
    const auto stated = leaf.rate_limit ? admits_at(leaf.rate, now) : now;
    return std::max(stated, cold_admits_at(pool, leaf, now));
}

bool rate_admits(const leaf_pool& pool, const leaf_state& leaf, boot_time now)
{
    return rate_admits_at(pool, leaf, now) <= now;
}

void count_request(leaf_pool& pool, leaf_state& leaf, boot_time now)
{
    if (leaf.rate_limit) {
        count_request(leaf.rate, pool.random, now);
    }
    if (cold_gate(pool, leaf, now) != nullptr) {
        count_request(leaf.cold_rate, pool.random, now);
    }
}

boot_time rate_available_at(const leaf_pool& pool, const std::string& service,
                            std::size_t ahead, boot_time now)
{
    boot_time first = boot_time::max();
    double per_second = 0;
    double tokens = 0;
    bool limited = false;
    for (const auto& id : leafs_of(pool, service)) {
        const auto& leaf = pool.leafs.at(id);
        if (!usable(pool, leaf, now) || !accepts_requests(leaf, now)) {
            continue;
        }
        const auto* gate = slowest_gate(pool, leaf, now);
        if (gate == nullptr) {
            return now;
        }
        limited = true;
        first = std::min(first, rate_admits_at(pool, leaf, now));
        if (gate->share.owner) {
            per_second += gate->share.per_second;
            tokens += limits::available(gate->bucket, now);
        }
    }
    const auto needed = static_cast<double>(ahead) + 1.0 - tokens;
    if (!limited || ahead == 0 || needed <= 0 || per_second <= 0) {
        return limited ? first : now;
    }
    const std::chrono::duration<double> wait{needed / per_second};
    return std::max(first, now + std::chrono::duration_cast<duration>(wait));
}

void update_rate_shares(leaf_pool& pool,
                        std::span<const wire::member_record> serving,
                        std::size_t fleet_size, bool known, boot_time now)
{
    update(pool.sharers, serving, fleet_size, known, now);
    for (auto& [id, leaf] : pool.leafs) {
        if (leaf.rate_limit) {
            set_rate_share(pool, leaf, now);
            renew_permit(leaf.rate, pool.random, now);
        }
    }
    update_cold_shares(pool, now);
}

} // namespace bulrushspring::gateway
