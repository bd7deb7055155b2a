#include "libraries/gateway/memory_drops.hpp"

#include "libraries/gateway/attempts.hpp"

#include <optional>

namespace bulrushspring::gateway
{
namespace
{

std::uint64_t size_of(const forward_request& request)
{
    std::uint64_t total = request.target.size() + request.body.size();
    for (const auto& each : request.headers) {
        total += sizeof each + each.name.size() + each.value.size();
    }
    return total;
}

std::uint64_t size_of_replies(const exchange& exchange)
{
    std::uint64_t total = 0;
    for (const auto& part : exchange.parts) {
        total += part.reply.held.bytes();
    }
    return total;
}

std::optional<memory::candidate> candidate_of(const exchanges_state& state,
                                              const exchange& exchange)
{
    memory::candidate found;
    found.id = raw(exchange.token);
    if (is_unsent(state, exchange)) {
        found.kind = memory::drop_kind::unsent_request;
        found.bytes = size_of(*exchange.request);
        return found;
    }
    const auto replies = size_of_replies(exchange);
    if (!exchange.route->idempotent || replies == 0) {
        return std::nullopt;
    }
    found.kind = memory::drop_kind::response;
    found.bytes = replies + size_of(*exchange.request);
    return found;
}

} // namespace

void list_candidates(const exchanges_state& state,
                     std::vector<memory::candidate>& all, std::uint32_t holder)
{
    for (const auto& [token, exchange] : state.exchanges) {
        if (auto found = candidate_of(state, exchange)) {
            found->holder = holder;
            all.push_back(*found);
        }
    }
}

void drop_requests(exchange_step& step, const memory_exceeded& event)
{
    for (const auto token : event.drop) {
        const auto found = step.state.exchanges.find(raw(token));
        if (found != step.state.exchanges.end() &&
            candidate_of(step.state, found->second)) {
            finish_now(step, found->second);
        }
    }
}

} // namespace bulrushspring::gateway
