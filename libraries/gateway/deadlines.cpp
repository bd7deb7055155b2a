#include "libraries/gateway/deadlines.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// Until a route has enough latency samples, hedges are sent after this share
// of its objective.
constexpr double initial_hedge_share = 0.25;
constexpr std::uint32_t min_latency_samples = 20;

} // namespace

void set_deadlines(exchange_step& step, exchange& exchange,
                   route_statistics& record)
{
    const auto& settings = step.state.settings;
    const auto& route = *exchange.route;
    const duration caller_limit = exchange.request->time_left;
    const duration limit = caller_limit > duration{0}
                               ? caller_limit
                               : std::max(route.timeout, duration{0});
    exchange.started_at = step.context.now;
    exchange.deadline = exchange.started_at + limit;
    const duration reserve = std::min(settings.answer_reserve, limit / 4);
    exchange.answer_by =
        exchange.started_at +
        std::min(limit - reserve,
                 route.timeout > duration{0} ? route.timeout : limit);
    const duration objective =
        route.objective > duration{0} ? route.objective : limit;
    exchange.objective_deadline =
        exchange.started_at +
        std::max(objective - settings.objective_reserve, objective / 2);
    const auto share = [&](double of_objective) {
        return std::chrono::duration_cast<duration>(objective * of_objective);
    };
    if (record.latencies.total < min_latency_samples) {
        exchange.hedge_delay = share(initial_hedge_share);
        return;
    }
    exchange.expected_latency = limits::quantile(record.latencies, 0.5);
    exchange.hedge_delay = std::clamp(
        limits::quantile(record.latencies, settings.hedge_quantile),
        std::min(settings.min_hedge_delay, share(settings.max_hedge_share)),
        share(settings.max_hedge_share));
}

} // namespace bulrushspring::gateway
