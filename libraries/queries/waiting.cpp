#include "libraries/queries/waiting.hpp"

#include "libraries/queries/answer.hpp"

#include <algorithm>
#include <utility>

namespace bulrushspring::queries
{
namespace
{

// Number of queues served in turn in one call, in addition to those for which a
// connection has become free, and maximum interval between two calls.
constexpr std::size_t queues_per_call = 8;
constexpr duration serve_interval = milliseconds{5};

void serve_queue(step& step, const wait_queue_key& key)
{
    while (true) {
        const auto queue = step.self.waiting.find(key);
        if (queue == step.self.waiting.end()) {
            return;
        }
        const waiter first = *queue->second.begin();
        auto& query = step.self.queries.at(raw(first.query));
        if (!send_waiting_shard(step, query, key.shard)) {
            return;
        }
        if (query.missing > 0) {
            restart_or_answer(step, query);
        }
    }
}

// The queue that follows the last served one in the order of keys.
const wait_queue_key* next_queue(const state& self)
{
    auto next = self.waiting.upper_bound(self.last_served);
    if (next == self.waiting.end()) {
        next = self.waiting.begin();
    }
    return next == self.waiting.end() ? nullptr : &next->first;
}

} // namespace

wait_queue_key key_of(const query& query, manifest::shard_id shard)
{
    return {query.pool->name, query.snapshot, shard};
}

bool wait_for_connection(state& self, const query& query,
                         manifest::shard_id shard)
{
    if (self.waiters >= self.settings.max_waiting_shards) {
        return false;
    }
    auto& queue = self.waiting[key_of(query, shard)];
    if (queue.insert({query.answer_by, query.token}).second) {
        ++self.waiters;
    }
    return true;
}

void stop_waiting(state& self, const query& query, manifest::shard_id shard)
{
    const auto queue = self.waiting.find(key_of(query, shard));
    if (queue == self.waiting.end()) {
        return;
    }
    self.waiters -= queue->second.erase({query.answer_by, query.token});
    if (queue->second.empty()) {
        self.waiting.erase(queue);
    }
}

bool has_waiters(const state& self, const query& query,
                 manifest::shard_id shard)
{
    return self.waiters > 0 && self.waiting.contains(key_of(query, shard));
}

void note_freed_connection(state& self, const query& query,
                           manifest::shard_id shard)
{
    if (self.waiters > 0) {
        self.freed_queues.push_back(key_of(query, shard));
    }
}

void serve_waiting(step& step)
{
    auto& self = step.self;
    const auto free = std::exchange(self.freed_queues, {});
    for (const auto& key : free) {
        serve_queue(step, key);
    }
    const auto turns = std::min(queues_per_call, self.waiting.size());
    for (std::size_t i = 0; i < turns; ++i) {
        const auto* next = next_queue(self);
        if (next == nullptr) {
            break;
        }
        self.last_served = *next;
        serve_queue(step, self.last_served);
    }
    self.next_serve_at = step.context.now + serve_interval;
}

} // namespace bulrushspring::queries
