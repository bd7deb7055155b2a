#include "libraries/gateway/answer_log.hpp"

#include "libraries/gateway/events.hpp"

namespace bulrushspring::gateway
{
namespace
{

std::string_view to_string(answer_kind kind)
{
    switch (kind) {
    case answer_kind::relayed:
        return "relayed";
    case answer_kind::merged:
        return "merged";
    case answer_kind::no_route:
        return "no_route";
    case answer_kind::not_run:
        return "not_run";
    case answer_kind::failed:
        return "failed";
    case answer_kind::timed_out:
        return "timed_out";
    }
    return "failed";
}

} // namespace

void log_unsuccessful_reply(exchange_step& step, const exchange& exchange,
                            const attempt& ended, const leaf_reply& reply)
{
    step.context.log(make_record(
        leaf_refused, field("request", exchange.request->id),
        field("leaf", ended.leaf), field("status", reply.status),
        field("not_run", reply.not_run ? 1 : 0),
        field("after_ms", to_milliseconds(step.context.now - ended.sent_at))));
}

void log_broken_off(exchange_step& step, const exchange& exchange,
                    const attempt& ended, const error& cause)
{
    step.context.log(make_record(
        leaf_broke_off, field("request", exchange.request->id),
        field("leaf", ended.leaf),
        field("after_ms", to_milliseconds(step.context.now - ended.sent_at)),
        field("cause", to_string(cause))));
}

metrics::counter counter_for(const exchange& exchange, answer_kind kind)
{
    switch (kind) {
    case answer_kind::relayed:
        return metrics::counter::answers_complete;
    case answer_kind::merged:
        return exchange.covered == exchange.parts.size()
                   ? metrics::counter::answers_complete
                   : metrics::counter::answers_partial;
    case answer_kind::no_route:
    case answer_kind::not_run:
        return metrics::counter::answers_refused;
    case answer_kind::failed:
    case answer_kind::timed_out:
        return metrics::counter::answers_failed;
    }
    return metrics::counter::answers_failed;
}

void log_answer(exchange_step& step, const exchange& exchange, answer_kind kind)
{
    step.context.log(make_record(
        request_answered, field("request", exchange.request->id),
        field("route", exchange.route->name),
        field("version", exchange.table->version),
        field("outcome", to_string(kind)), field("covered", exchange.covered),
        field("parts", exchange.parts.size()),
        field("sendings", exchange.attempts), field("hedges", exchange.hedges),
        field("ms", to_milliseconds(step.context.now - exchange.started_at)),
        field("objective_ms", to_milliseconds(exchange.route->objective)),
        field("left_ms",
              to_milliseconds(exchange.deadline - step.context.now))));
}

void log_missing_parts(exchange_step& step, const exchange& exchange)
{
    for (const auto& part : exchange.parts) {
        if (part.phase == part_phase::covered) {
            continue;
        }
        std::string leafs;
        for (const auto& each : part.tried) {
            leafs += (leafs.empty() ? "" : ",") + each.leaf;
        }
        step.context.log(
            make_record(part_missing, field("request", exchange.request->id),
                        field("service", part.service), field("tried", leafs),
                        field("outstanding", part.outstanding.size())));
    }
}

} // namespace bulrushspring::gateway
