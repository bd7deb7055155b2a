#include "libraries/admission/refusal.hpp"

#include <algorithm>

namespace bulrushspring::admission
{
namespace
{

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

// Requests of the service that its pool completes per second while every
// service with queued requests uses its share.
double service_rate(const state& self, const service_state& service)
{
    const auto& pool = self.pools[service.pool];
    double weights = service.queue.queued == 0 ? service.weight : 0.0;
    for (const auto& [start, other] : pool.turns.backlogged) {
        weights += self.services[other].weight;
    }
    const double concurrency = pool.limit.limit * service.weight / weights;
    return concurrency / service.mean_time;
}

} // namespace

duration expected_wait(const state& self, const service_state& service,
                       std::string_view caller)
{
    const auto& pool = self.pools[service.pool];
    const bool no_queue = pool.turns.backlogged.empty();
    if (service.mean_time <= 0.0 || (no_queue && has_room(pool.limit))) {
        return duration{0};
    }
    const auto& queue = service.queue;
    const auto own = queued_of(queue, caller);
    const auto callers = queue.callers.size() + (own == 0 ? 1 : 0);
    const auto position = std::min(queue.queued + 1, (own + 1) * callers);
    return from_seconds(static_cast<double>(position) /
                        service_rate(self, service));
}

duration needed_time(const service_state& service)
{
    return std::min(from_seconds(service.mean_time), service.deadline / 2);
}

duration retry_after(state& self, const service_state& service)
{
    const auto& settings = self.settings;
    double drain_seconds = 0.0;
    if (service.mean_time > 0.0) {
        drain_seconds = static_cast<double>(service.queue.queued + 1) /
                        service_rate(self, service);
    }
    const auto base =
        std::clamp(from_seconds(drain_seconds), settings.min_retry_after,
                   settings.max_retry_after);
    const auto jitter = random_fraction(self.random);
    return base +
           from_seconds(std::chrono::duration<double>(base).count() * jitter);
}

caller_answer make_refusal(const caller_request& request,
                           std::string_view reason, duration retry_after)
{
    caller_answer answer;
    answer.status = answer_status::refused;
    answer.run = execution_if_not_sent(request);
    answer.request_id = request.id;
    answer.reason = std::string(reason);
    answer.retry_after = retry_after;
    return answer;
}

} // namespace bulrushspring::admission
