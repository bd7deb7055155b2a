#include "libraries/gateway/answers.hpp"

#include "libraries/gateway/attempts.hpp"
#include "libraries/gateway/merge.hpp"

#include <algorithm>
#include <array>

namespace bulrushspring::gateway
{
namespace
{

constexpr unsigned timeout_status = 504;

forward_answer merged_answer(exchange& exchange)
{
    forward_answer answer;
    answer.kind = answer_kind::merged;
    std::vector<std::string_view> bodies;
    for (auto& part : exchange.parts) {
        if (part.phase == part_phase::covered) {
            answer.signatures.push_back(part.reply.signature);
            bodies.push_back(part.reply.body);
        }
    }
    answer.missing_shards =
        static_cast<std::uint32_t>(exchange.parts.size()) - exchange.covered;
    answer.body = greatest_records(bodies, exchange.route->result_limit);
    return answer;
}

forward_answer relayed_answer(exchange& exchange)
{
    forward_answer answer;
    answer.kind = answer_kind::relayed;
    answer.reply = std::move(exchange.parts.front().reply);
    return answer;
}

// Only a signed answer counts as a success. A signed failure of a single
// request is forwarded too, if no leaf answers it with a success.
bool is_success(const leaf_reply& reply)
{
    return reply.status >= 200 && reply.status < 300 &&
           !reply.signature.empty();
}

duration retry_after(const exchange_step& step, const exchange& exchange)
{
    const auto& settings = step.state.settings;
    if (exchange.return_at != boot_time::min()) {
        return std::max(exchange.return_at - step.context.now, duration{0});
    }
    if (exchange.unavailable_until != boot_time::min()) {
        const duration wait =
            exchange.unavailable_until == boot_time::max()
                ? settings.unknown_retry_after
                : exchange.unavailable_until - step.context.now;
        const double spread =
            settings.retry_after_spread * random_fraction(step.pool.random);
        return wait + std::chrono::duration_cast<duration>(wait * spread);
    }
    return objective_retry_after(step, exchange);
}

} // namespace

duration objective_retry_after(const exchange_step& step,
                               const exchange& exchange)
{
    const auto& settings = step.state.settings;
    const auto share = std::chrono::duration_cast<duration>(
        exchange.route->objective * settings.retry_after_share);
    return std::min(share, settings.max_retry_after);
}

bool is_query(const exchange& exchange)
{
    return !exchange.route->shards.empty();
}

attempt_outcome outcome_of(const attempt& ended, const leaf_reply& reply)
{
    constexpr unsigned misdirected_status = 421;
    if (is_success(reply)) {
        return attempt_outcome::succeeded;
    }
    if (ended.deadline_shortened && reply.status == timeout_status) {
        return attempt_outcome::expired;
    }
    if (reply.status == misdirected_status) {
        return attempt_outcome::misdirected;
    }
    return reply.not_run ? attempt_outcome::refused : attempt_outcome::failed;
}

bool has_run(const leaf_reply& reply)
{
    return !reply.signature.empty() && !reply.not_run &&
           reply.status != timeout_status;
}

bool is_forwardable_failure(const leaf_reply& reply)
{
    // 421 never comes here: outcome_of takes it for another server's answer.
    constexpr std::array<unsigned, 3> states_not_run = {408, 429, 503};
    return !reply.signature.empty() &&
           std::find(states_not_run.begin(), states_not_run.end(),
                     reply.status) == states_not_run.end();
}

forward_answer covered_answer(exchange& exchange)
{
    return is_query(exchange) ? merged_answer(exchange)
                              : relayed_answer(exchange);
}

forward_answer empty_answer(const exchange_step& step, exchange& exchange)
{
    forward_answer answer;
    const auto& first = exchange.parts.front();
    if (!is_query(exchange) && first.phase == part_phase::failed &&
        !first.reply.signature.empty()) {
        return relayed_answer(exchange); // the leaf's signed failure
    }
    const bool pending = std::any_of(
        exchange.parts.begin(), exchange.parts.end(),
        [&](const auto& part) { return awaits_answer(step.state, part); });
    if (!exchange.may_have_run && exchange.covered == 0 && !pending) {
        answer.kind = answer_kind::not_run;
        answer.retry_after = retry_after(step, exchange);
    } else {
        answer.kind = step.context.now >= exchange.answer_by
                          ? answer_kind::timed_out
                          : answer_kind::failed;
    }
    return answer;
}

} // namespace bulrushspring::gateway
