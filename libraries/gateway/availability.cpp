#include "libraries/gateway/availability.hpp"

#include "libraries/gateway/attempts.hpp"
#include "libraries/gateway/events.hpp"
#include "libraries/gateway/leaf_rates.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// Whether the part can't be sent before `latest`; `available` is when it can.
bool is_later(exchange_step& step, exchange& exchange, const request_part& part,
              boot_time available, boot_time latest)
{
    const auto now = step.context.now;
    if (available <= latest) {
        return false;
    }
    exchange.unavailable_until =
        std::max(exchange.unavailable_until, available);
    step.context.log(
        make_record(part_unavailable, field("request", exchange.request->id),
                    field("service", part.service),
                    field("for_ms", available == boot_time::max()
                                        ? -1
                                        : to_milliseconds(available - now))));
    return true;
}

// The parts of this service that wait for a leaf.
std::size_t count_waiting(const exchange_step& step, const std::string& service)
{
    std::size_t waiting = 0;
    for (const auto& [token, exchange] : step.state.exchanges) {
        waiting += static_cast<std::size_t>(std::count_if(
            exchange.parts.begin(), exchange.parts.end(),
            [&](const auto& each) {
                return each.phase == part_phase::open &&
                       each.outstanding.empty() && each.service == service;
            }));
    }
    return waiting;
}

// When the stated rates of the service's leafs allow a new part, after those
// that wait already.
boot_time turn_of(const exchange_step& step, const request_part& part)
{
    const auto now = step.context.now;
    if (rate_available_at(step.pool, part.service, 0, now) <= now) {
        return now;
    }
    const auto ahead = count_waiting(step, part.service) - 1; // without itself
    return rate_available_at(step.pool, part.service, ahead, now);
}

} // namespace

bool is_unavailable(exchange_step& step, exchange& exchange,
                    const request_part& part)
{
    return is_later(step, exchange, part,
                    available_at(step.pool, part.service, step.context.now),
                    exchange.answer_by);
}

void fail_unavailable_parts(exchange_step& step, exchange& exchange)
{
    const auto in_time =
        std::min(exchange.objective_deadline, exchange.answer_by);
    for (auto& part : exchange.parts) {
        if (part.phase == part_phase::open &&
            (is_unavailable(step, exchange, part) ||
             is_later(step, exchange, part, turn_of(step, part), in_time))) {
            fail_part(exchange, part);
        }
    }
}

void fail_parts_without_leaf(exchange_step& step, exchange& exchange)
{
    const auto now = step.context.now;
    for (auto& part : exchange.parts) {
        if (part.phase == part_phase::open &&
            available_at(step.pool, part.service, now) == boot_time::max() &&
            is_unavailable(step, exchange, part)) {
            fail_part(exchange, part);
        }
    }
}

bool may_be_in_time(const exchange_step& step, const exchange& exchange,
                    const request_part& part)
{
    const auto now = step.context.now;
    return awaits_answer(step.state, part) ||
           (!is_unreachable(step.pool, part.service, now) &&
            available_at(step.pool, part.service, now) <
                exchange.objective_deadline);
}

} // namespace bulrushspring::gateway
