#include "libraries/gateway/deadlines.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// Until a route has min_latency_samples, hedges are sent after this share
// of its objective.
constexpr double initial_hedge_share = 0.25;

// The time until the answer has to be sent to reach the caller within the
// route's objective, which counts from the caller's first attempt.
duration time_within_objective(const exchange_options& settings,
                               const forward_request& request,
                               duration objective, duration spent)
{
    if (request.round_trip <= duration{0}) {
        return std::max(objective - settings.objective_reserve, objective / 2);
    }
    return std::max(objective - spent - request.round_trip -
                        settings.processing_reserve,
                    duration{settings.min_hedge_delay});
}

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
    // A caller that states more than the operator allows must not make the
    // others seem late.
    const duration stated = route.timeout > duration{0}
                                ? std::min(caller_limit, route.timeout)
                                : caller_limit;
    const duration spent =
        note_time_left(record.callers, stated, step.context.now);
    exchange.spent = spent;
    // An objective that is missed already leaves the time of a new request.
    const duration within =
        time_within_objective(settings, *exchange.request, objective,
                              spent < objective ? spent : duration{0});
    exchange.objective_deadline = exchange.started_at + within;
    // Where the time left is known, the hedge has to fit into it.
    const duration shared = exchange.request->round_trip > duration{0}
                                ? std::max(within, objective / 2)
                                : objective;
    const auto share = [&](double of_objective) {
        return std::chrono::duration_cast<duration>(shared * of_objective);
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
