#include "libraries/requests/requests.hpp"

#include "libraries/requests/at_most_once.hpp"
#include "libraries/requests/dispatch.hpp"
#include "libraries/requests/ending.hpp"
#include "libraries/requests/reads.hpp"

#include <algorithm>

namespace bulrushspring::requests
{
namespace
{

// Expired records are removed in batches, to save wake-ups.
constexpr duration expiry_batch_delay = seconds{1};

void handle_timer(state& self, targets::state& leafs, caller_token token,
                  context& at)
{
    const auto& pending = self.pending.at(token);
    if (at.now < pending.deadline) {
        hedge_read(self, leafs, token, at);
        return;
    }
    const bool sent = !pending.open_attempts.empty();
    end_without_answer(self, leafs, token,
                       sent ? reason_timed_out : reason_no_connection, at);
}

// Handles the timers that are due. Runs before the event itself is handled, so
// that no request is dispatched past its deadline.
void run_timers(state& self, targets::state& leafs, context& at)
{
    while (!self.timers.empty() && self.timers.begin()->first <= at.now) {
        handle_timer(self, leafs, self.timers.begin()->second, at);
    }
}

void remove_expired_records(state& self, boot_time now)
{
    std::vector<attempt_id> released;
    remove_expired(self.request_ledger, now, released);
    for (const auto attempt : released) {
        self.attempts.erase(attempt);
    }
}

// Dispatches the requests of a queue in order until one has to keep waiting.
void dispatch_queue(state& self, targets::state& leafs, const shard_key& key,
                    context& at)
{
    auto& queue = self.queues.at(key);
    while (!queue.empty()) {
        const auto token = queue.front();
        const auto found = self.pending.find(token);
        const bool is_stale =
            found == self.pending.end() || !found->second.waiting;
        if (!is_stale) {
            dispatch(self, leafs, token, "waited", at);
            const auto after = self.pending.find(token);
            if (after != self.pending.end() && after->second.waiting) {
                return;
            }
        }
        queue.pop_front();
    }
    self.queues.erase(key);
}

} // namespace

state make_state(std::string entry, incarnation_number incarnation,
                 const options& settings, std::uint64_t seed)
{
    state self;
    self.settings = settings;
    self.random.seed(seed);
    self.request_ledger.settings = settings.ledger;
    self.issuer = {std::move(entry), incarnation, self.random(),
                   settings.grant_validity};
    return self;
}

std::string issue_grant(state& self, boot_time now)
{
    return issue_grant(self.issuer, now);
}

void begin(state& self, targets::state& leafs, caller_token token,
           const caller_request& request,
           const manifest::manifest_pointer& manifest, context& at)
{
    run_timers(self, leafs, at);
    remove_expired_records(self, at.now);
    if (request.kind == manifest::service_kind::request) {
        begin_request(self, leafs, token, request, manifest, at);
        return;
    }
    begin_read(self, leafs, token, request, manifest, at);
}

void reduce(state& self, targets::state& leafs, const tick&, context& at)
{
    run_timers(self, leafs, at);
    remove_expired_records(self, at.now);
}

void reduce(state& self, targets::state& leafs, const leaf_answered& event,
            context& at)
{
    const auto found = self.attempts.find(event.attempt);
    if (found == self.attempts.end()) {
        return;
    }
    if (found->second.idempotent) {
        read_answered(self, leafs, event, at);
        return;
    }
    request_answered(self, leafs, event, at);
}

void reduce(state& self, targets::state& leafs, const leaf_failed& event,
            context& at)
{
    const auto found = self.attempts.find(event.attempt);
    if (found == self.attempts.end()) {
        return;
    }
    if (found->second.idempotent) {
        read_failed(self, leafs, event, at);
        return;
    }
    request_failed(self, leafs, event, at);
}

void reduce(state& self, targets::state& leafs,
            const caller_disconnected& event, context& at)
{
    const auto found = self.pending.find(event.token);
    if (found != self.pending.end() && found->second.idempotent) {
        read_caller_left(self, leafs, event.token, at);
        return;
    }
    request_caller_left(self, event.token, at);
}

void reduce(state& self, targets::state& leafs, const manifest_changed& event,
            context& at)
{
    self.manifest = event.manifest;
    // Shards may have moved, so the queued requests are dispatched again.
    const auto queues = std::move(self.queues);
    self.queues.clear();
    for (const auto& [key, queue] : queues) {
        for (const auto token : queue) {
            const auto found = self.pending.find(token);
            if (found == self.pending.end() || !found->second.waiting) {
                continue;
            }
            found->second.waiting = false;
            dispatch(self, leafs, token, "waited", at);
        }
    }
}

void advance(state& self, targets::state& leafs, context& at)
{
    const auto tries =
        std::min(self.settings.max_queues_per_event, self.queues.size());
    for (std::size_t i = 0; i < tries && !self.queues.empty(); ++i) {
        auto next = self.queues.lower_bound(self.next_queue);
        if (next == self.queues.end()) {
            next = self.queues.begin();
        }
        const auto key = next->first;
        self.next_queue = {key.pool, key.shard + 1};
        dispatch_queue(self, leafs, key, at);
    }
}

std::size_t in_flight(const state& self)
{
    return self.pending.size();
}

boot_time next_wakeup(const state& self)
{
    const auto timer =
        self.timers.empty() ? boot_time::max() : self.timers.begin()->first;
    const auto expiry = next_expiry(self.request_ledger);
    return expiry == boot_time::max()
               ? timer
               : std::min(timer, expiry + expiry_batch_delay);
}

} // namespace bulrushspring::requests
