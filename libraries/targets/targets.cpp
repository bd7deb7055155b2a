#include "libraries/targets/targets.hpp"

#include "libraries/reducer/unusable_answer.hpp"
#include "libraries/targets/adoption.hpp"
#include "libraries/targets/answers.hpp"
#include "libraries/targets/connections.hpp"
#include "libraries/targets/events.hpp"
#include "libraries/targets/leaving.hpp"

#include <algorithm>
#include <utility>

namespace bulrushspring::targets
{
namespace
{

// Used until the pool's latencies are known.
constexpr duration initial_hedge_delay = milliseconds{50};

void mark_leaving_by_name(state& self, const std::string& name,
                          leaving_source source, context& context)
{
    const auto found = self.leaf_by_name.find(name);
    if (found != self.leaf_by_name.end()) {
        mark_leaving(self, found->second, source, context);
    }
}

void log_unexpected_answer(const leaf_answered& event, context& context)
{
    context.emit(add_to_counter{metrics::counter::unexpected_answers});
    context.emit(write_log{make_record(
        answer_without_attempt, field("connection", raw(event.connection)),
        field("attempt", raw(event.attempt)),
        field("status", static_cast<int>(event.answer.status)))});
}

void count_answer(const leaf_answer& answer, duration latency, context& context)
{
    context.emit(record_duration{metrics::histogram::leaf_latency, latency});
    if (answer.status == leaf_status::shed) {
        context.emit(add_to_counter{metrics::counter::leaf_shed});
    }
    if (answer.status == leaf_status::failed) {
        context.emit(add_to_counter{metrics::counter::leaf_failures});
    }
}

duration hold_time(const state& self, const error& cause)
{
    if (cause.code == errc::closed) {
        return duration{0};
    }
    return self.settings.closed_hold;
}

void report_lost_connection(state& self, const connection& ended,
                            const error& cause, context& context)
{
    auto& leaf = leaf_at(self, ended.leaf);
    const bool unusable = is_unusable_answer(cause);
    if (unusable) {
        context.emit(add_to_counter{metrics::counter::leaf_answers_unusable});
        record_unusable_answer(leaf, context.now);
    }
    context.emit(write_log{make_record(
        unusable ? answer_unusable : connection_lost, field("leaf", leaf.name),
        field("connection", raw(ended.id)), field("cause", to_string(cause)))});
}

// Whether the connection ended for want of memory here, which says nothing
// about the leaf.
bool was_dropped(const error& cause)
{
    return cause.code == errc::overloaded;
}

} // namespace

state make_state(std::string self, options settings, std::uint64_t seed,
                 boot_time now)
{
    state made;
    made.self = std::move(self);
    made.settings = settings;
    made.random.seed(seed);
    made.next_sweep = now;
    return made;
}

void reduce(state& self, const tick&, context& context)
{
    continue_placement(self, context);
    if (context.now >= self.next_sweep) {
        sweep(self, context);
    }
}

void reduce(state& self, const manifest_changed& event, context& context)
{
    adopt_manifest(self, event.manifest, context);
}

void reduce(state& self, const vms_changed& event, context& context)
{
    for (const auto& name : event.leaving) {
        mark_leaving_by_name(self, name, leaving_source::vms, context);
    }
    for (const auto& name : event.live) {
        const auto found = self.leaf_by_name.find(name);
        if (found != self.leaf_by_name.end()) {
            clear_leaving(self, found->second, leaving_source::vms, context);
        }
    }
    self.vms_leaving.clear();
    self.vms_leaving.insert(event.leaving.begin(), event.leaving.end());
}

void reduce(state& self, const leaf_leaving& event, context& context)
{
    const auto found = self.leaf_by_name.find(event.leaf);
    if (found == self.leaf_by_name.end()) {
        return;
    }
    // Events that this daemon raised itself are delivered here as well; they
    // must not be recorded as a peer's report.
    if (event.source != "leaf" || !leaf_at(self, found->second).leaving.leaf) {
        mark_leaving(self, found->second, leaving_source::peer, context);
    }
}

void reduce(state& self, const connection_opened& event, context& context)
{
    auto* opened = find_connection(self, event.connection);
    if (opened == nullptr || opened->phase != connection_phase::opening) {
        return;
    }
    const auto index = opened->leaf;
    auto& leaf = leaf_at(self, index);
    --leaf.opening;
    --self.opening;
    leaf.connect_attempted = true;
    if (leaf.connections.size() == 1) {
        leaf.warm_up_started_at = context.now;
        limits::reset(leaf.limit);
    }
    make_idle(self, *opened, context.now);
    context.emit(add_to_counter{metrics::counter::connections_opened});
    context.emit(
        write_log{make_record(connection_ready, field("leaf", leaf.name),
                              field("connection", raw(event.connection)),
                              field("cold", event.health.warm ? 0 : 1))});
    update_health(self, index, event.health, true, context);
    close_surplus(self, index, context);
    queue_connection(self, index, context.now);
    open_queued_connections(self, context);
}

void reduce(state& self, const connection_closed& event, context& context)
{
    const auto* found = find_connection(self, event.connection);
    if (found == nullptr) {
        return;
    }
    const connection ended = *found;
    if (ended.phase == connection_phase::busy) {
        context.emit(raise_event{
            leaf_failed{ended.id, ended.attempt, true, event.cause}});
    }
    if (event.cause.code == errc::timed_out) {
        remove_silent(self, ended.id, context);
        return;
    }
    report_lost_connection(self, ended, event.cause, context);
    if (ended.phase != connection_phase::idle && !was_dropped(event.cause)) {
        back_off(self, ended.leaf, event.cause, context);
    }
    remove_connection(self, ended.id, hold_time(self, event.cause), context);
}

void reduce(state& self, const probe_answered& event, context& context)
{
    auto* probed = find_connection(self, event.connection);
    if (probed == nullptr || probed->phase != connection_phase::probing) {
        return;
    }
    const auto index = probed->leaf;
    make_idle(self, *probed, context.now);
    update_health(self, index, event.health, false, context);
    close_surplus(self, index, context);
}

void reduce(state& self, const leaf_answered& event, context& context)
{
    auto* busy = find_connection(self, event.connection);
    const bool expected = busy != nullptr &&
                          busy->phase == connection_phase::busy &&
                          busy->attempt == event.attempt;
    if (!expected) {
        log_unexpected_answer(event, context);
        return;
    }
    const auto index = busy->leaf;
    auto& leaf = leaf_at(self, index);
    const auto latency = context.now - busy->phase_since;
    self.attempts.erase(raw(event.attempt));
    --leaf.in_flight;
    leaf.busy_since = context.now;
    leaf.consecutive_failures = 0;
    make_idle(self, *busy, context.now);
    count_answer(event.answer, latency, context);
    record_answer(self, leaf, event.answer, latency, context);
    if (event.answer.draining || event.answer.status == leaf_status::draining) {
        mark_leaving(self, index, leaving_source::leaf, context);
    }
    close_surplus(self, index, context);
}

void reduce(state& self, const leaf_failed& event, context& context)
{
    const auto* found = find_connection(self, event.connection);
    const bool expected = found != nullptr &&
                          found->phase == connection_phase::busy &&
                          found->attempt == event.attempt;
    if (!expected) {
        return;
    }
    const connection ended = *found;
    if (event.cause.code == errc::timed_out) {
        // Only the connection is considered failed. The leaf is considered
        // failed only if a new connection to it fails too.
        remove_silent(self, ended.id, context);
        return;
    }
    report_lost_connection(self, ended, event.cause, context);
    if (!was_dropped(event.cause)) {
        back_off(self, ended.leaf, event.cause, context);
    }
    remove_connection(self, ended.id, hold_time(self, event.cause), context);
}

void reduce(state&, const stop_requested&, context&)
{
    // Callers may use this daemon until the addresses they hold expire, so
    // connections are kept open, and replaced, until the process ends.
}

duration hedge_delay(const state& self, std::string_view pool)
{
    const auto found = self.pools.find(std::string(pool));
    const bool known =
        found != self.pools.end() && found->second.hedge_delay > duration{0};
    return known ? found->second.hedge_delay : initial_hedge_delay;
}

bool hedging_enabled(const state& self, std::string_view pool)
{
    const auto found = self.pools.find(std::string(pool));
    return found != self.pools.end() && found->second.hedging_enabled;
}

limits::retry_budget& retry_budget_of(state& self,
                                      const manifest::service& service)
{
    const auto [entry, added] = self.budgets.try_emplace(service.name);
    auto& budget = entry->second;
    if (added) {
        budget.tokens = self.settings.initial_budget_tokens;
    }
    budget.ratio = service.hedge_budget;
    budget.max_tokens = self.settings.max_budget_tokens;
    return budget;
}

std::string_view leaf_name(const state& self, leaf_index leaf)
{
    return leaf_at(self, leaf).name;
}

boot_time next_wakeup(const state& self)
{
    return self.placement_jobs.empty()
               ? self.next_sweep
               : std::min(self.next_sweep, self.next_placement_at);
}

} // namespace bulrushspring::targets
