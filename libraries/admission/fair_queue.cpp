#include "libraries/admission/fair_queue.hpp"

#include <algorithm>
#include <iterator>

namespace bulrushspring::admission
{
namespace
{

void erase_if_empty(service_queue& queue,
                    std::list<caller_queue>::iterator caller)
{
    if (!caller->waiting.empty()) {
        return;
    }
    queue.callers.erase(caller->caller);
    queue.turns.erase(caller);
}

} // namespace

queue_place push(service_queue& queue, std::string_view caller,
                 caller_token token)
{
    auto found = queue.callers.find(caller);
    if (found == queue.callers.end()) {
        queue.turns.push_back({std::string(caller), {}});
        const auto added = std::prev(queue.turns.end());
        found = queue.callers.emplace(added->caller, added).first;
    }
    auto& waiting = found->second->waiting;
    waiting.push_back(token);
    ++queue.queued;
    return {found->second, std::prev(waiting.end())};
}

caller_token pop(service_queue& queue)
{
    const auto caller = queue.turns.begin();
    const auto token = caller->waiting.front();
    caller->waiting.pop_front();
    --queue.queued;
    queue.turns.splice(queue.turns.end(), queue.turns, caller);
    erase_if_empty(queue, caller);
    return token;
}

void remove(service_queue& queue, const queue_place& place)
{
    place.caller->waiting.erase(place.request);
    --queue.queued;
    erase_if_empty(queue, place.caller);
}

std::size_t queued_of(const service_queue& queue, std::string_view caller)
{
    const auto found = queue.callers.find(caller);
    return found == queue.callers.end() ? 0 : found->second->waiting.size();
}

void add(service_turns& turns, service_share& share, std::uint32_t service)
{
    share.start = std::max(turns.virtual_time, share.finish);
    turns.backlogged.emplace(share.start, service);
}

void remove(service_turns& turns, const service_share& share,
            std::uint32_t service)
{
    turns.backlogged.erase({share.start, service});
}

void charge(service_turns& turns, service_share& share, std::uint32_t service,
            double cost)
{
    turns.backlogged.erase({share.start, service});
    turns.virtual_time = share.start;
    share.finish = share.start + cost;
    share.start = share.finish;
    turns.backlogged.emplace(share.start, service);
}

} // namespace bulrushspring::admission
