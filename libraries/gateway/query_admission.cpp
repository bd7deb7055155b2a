#include "libraries/gateway/query_admission.hpp"

#include "libraries/gateway/answers.hpp"
#include "libraries/gateway/attempts.hpp"
#include "libraries/gateway/availability.hpp"
#include "libraries/gateway/leaf_rates.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// Whether the query can't be answered without any of its parts.
bool needs_every_part(const exchange& exchange)
{
    const auto parts = static_cast<double>(exchange.parts.size());
    return is_query(exchange) &&
           exchange.route->minimum_coverage * parts - 1e-9 > parts - 1.0;
}

bool all_parts_admitted(const exchange_step& step, const exchange& exchange)
{
    return std::all_of(
        exchange.parts.begin(), exchange.parts.end(), [&](const auto& part) {
            return admits_requests(step.pool, part.service, step.context.now);
        });
}

} // namespace

bool admit(exchange_step& step, exchange& exchange)
{
    if (exchange.admitted || !needs_every_part(exchange) ||
        all_parts_admitted(step, exchange)) {
        exchange.admitted = true;
        return true;
    }
    const auto& settings = step.state.settings;
    const auto limit = std::chrono::duration_cast<duration>(
        exchange.route->objective * settings.max_admission_wait);
    fail_parts_without_leaf(step, exchange);
    const bool refused = step.context.now >= exchange.started_at + limit;
    for (auto& part : exchange.parts) {
        part.next_action_at = step.context.now + settings.retry_delay;
        if (!refused || part.phase != part_phase::open) {
            continue;
        }
        const auto rate =
            rate_available_at(step.pool, part.service, 0, step.context.now);
        if (rate > step.context.now) {
            exchange.unavailable_until =
                std::max(exchange.unavailable_until, rate);
        }
        fail_part(exchange, part);
    }
    return false;
}

} // namespace bulrushspring::gateway
