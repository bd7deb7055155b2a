#include "libraries/gateway/answers.hpp"

#include "libraries/gateway/merge.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

forward_answer merged_answer(exchange& of)
{
    forward_answer answer;
    answer.what = verdict::merged;
    std::vector<std::string_view> bodies;
    for (auto& part : of.parts) {
        if (part.phase == part_phase::covered) {
            answer.seals.push_back(part.reply.seal);
            bodies.push_back(part.reply.body);
        }
    }
    answer.missing = static_cast<std::uint32_t>(of.parts.size()) - of.covered;
    answer.body = greatest_records(bodies, of.route->result_limit);
    return answer;
}

forward_answer relayed_answer(exchange& of)
{
    forward_answer answer;
    answer.what = verdict::relayed;
    answer.reply = std::move(of.parts.front().reply);
    return answer;
}

duration retry_after(const exchange_options& settings, const exchange& of)
{
    const auto share = std::chrono::duration_cast<duration>(
        of.route->objective * settings.retry_after_share);
    return std::min(share, settings.longest_retry_after);
}

} // namespace

bool is_query(const exchange& of)
{
    return !of.route->shards.empty();
}

forward_answer covered_answer(exchange& of)
{
    return is_query(of) ? merged_answer(of) : relayed_answer(of);
}

forward_answer empty_answer(const exchange_step& step, exchange& of)
{
    forward_answer answer;
    const auto& first = of.parts.front();
    if (!is_query(of) && first.phase == part_phase::failed &&
        !first.reply.seal.empty()) {
        return relayed_answer(of); // the leaf's own failure
    }
    const bool pending =
        std::any_of(of.parts.begin(), of.parts.end(), [&](const auto& part) {
            return std::any_of(
                part.outstanding.begin(), part.outstanding.end(),
                [&](auto id) { return step.self.sendings.at(raw(id)).sent; });
        });
    if (!of.may_have_run && of.covered == 0 && !pending) {
        answer.what = verdict::not_run;
        answer.retry_after = retry_after(step.self.settings, of);
    } else {
        answer.what = step.context.now >= of.answer_by ? verdict::timed_out
                                                       : verdict::failed;
    }
    return answer;
}

} // namespace bulrushspring::gateway
