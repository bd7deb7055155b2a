#include "libraries/gateway/gateway.hpp"

#include "libraries/gateway/crash_trials.hpp"
#include "libraries/gateway/events.hpp"
#include "libraries/gateway/fleet.hpp"
#include "libraries/gateway/leaf_evacuation.hpp"
#include "libraries/gateway/memory_drops.hpp"
#include "libraries/gateway/planned_stop.hpp"
#include "libraries/gateway/table_preparation.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

exchange_step make_step(state& self, context& context)
{
    return {self.exchanges, self.pool, context};
}

void activate_table(state& self, context& context)
{
    self.table = std::exchange(self.pending_table, nullptr);
    context.emit(set_caller_limits{self.table->limits});
    context.log(make_record(table_in_force,
                            field("version", self.table->version),
                            field("leafs", self.pool.leafs.size())));
    self.ready = true;
}

// Keeps a new table pending until there are connections to its services, so
// that the first requests to a new set of shards do not all wait for
// connections to open.
void apply(state& self, const topology::table_changed& change, context& context)
{
    if (!self.pending_table) {
        self.pending_table_deadline = context.now + self.settings.table_timeout;
    }
    self.pending_table = change.table;
    prepare_for(self.pool, change.table, context);
}

// Whether a daemon that has just started may serve callers by the table that it
// has: its peers may use a newer one than a store that was restored from a
// backup. A store of era 0 has never been restored.
bool may_begin(const state& self, boot_time now)
{
    if (self.topology.era == 0) {
        return true;
    }
    const bool has_peers = !self.members.seeds.empty() ||
                           membership::view_of(self.members).members.size() > 1;
    return !has_peers || topology::has_asked_peer(self.topology) ||
           now - self.started >= self.settings.peer_timeout;
}

void activate_table_if_prepared(state& self, context& context)
{
    if (!self.ready && !may_begin(self, context.now)) {
        return;
    }
    if (self.pending_table &&
        (!self.table || context.now >= self.pending_table_deadline ||
         is_prepared_for(self.pool, *self.pending_table, context.now))) {
        activate_table(self, context);
    }
}

void apply_to_pool(leaf_pool& pool, const topology::change& change,
                   context& context)
{
    if (const auto* leaf = std::get_if<topology::leaf_changed>(&change)) {
        gateway::apply(pool, *leaf, context);
    } else if (const auto* gone = std::get_if<topology::leaf_gone>(&change)) {
        gateway::apply(pool, *gone, context);
    } else if (const auto* evacuation =
                   std::get_if<topology::evacuation_changed>(&change)) {
        gateway::apply(pool, *evacuation, context);
    }
}

void apply_outcome(state& self, topology::outcome& result, context& context)
{
    for (const auto& change : result.changes) {
        if (const auto* table = std::get_if<topology::table_changed>(&change)) {
            apply(self, *table, context);
        } else {
            apply_to_pool(self.pool, change, context);
        }
    }
    for (const auto& call : result.calls) {
        context.emit(call_store{call});
    }
    activate_table_if_prepared(self, context);
    membership::set_digest(self.members,
                           topology::digest_of(self.topology, self.ready));
}

template <typename Event>
void pass_to_topology(state& self, const Event& event, context& context)
{
    topology::outcome result;
    topology::reduce(self.topology, event, result, context.shared);
    apply_outcome(self, result, context);
}

void refuse(const forward_requested& event, answer_kind kind,
            duration retry_after, std::string_view reason,
            std::uint64_t version, context& context)
{
    context.log(
        make_record(request_refused, field("request", event.request->id),
                    field("host", event.request->host), field("reason", reason),
                    field("version", version)));
    context.count(metrics::counter::answers_refused);
    forward_answer answer;
    answer.kind = kind;
    answer.retry_after = retry_after;
    context.emit(answer_request{event.token, std::move(answer)});
}

// Announces that this daemon has lost its path to the leafs, or has it again.
// Callers can send what is in progress to another daemon.
void apply_reachability(state& self, context& context)
{
    membership::set_partitioned(self.members, self.reachability.partitioned,
                                context.now);
    update_serving_set(self, context.now);
    if (self.reachability.partitioned) {
        auto exchanges = make_step(self, context);
        finish_repeatable(exchanges);
    }
}

void step(state& self, const tick& event, context& context)
{
    membership::reduce(self.members, event, context.shared);
    update_store_role(self, context.shared);
    pass_to_topology(self, event, context);
    update_fleet_summary(self, context.now);
    update_serving_set_if_due(self, context.now);
    update_rate_shares_if_due(self, context.now);
    update_budget(self, context.now);
    maintain(self.pool, context);
    poison::advance(self.spread, self.exchanges.poison,
                    membership::view_of(self.members).members, context.shared);
    advance(self.rates, self.pool, membership::view_of(self.members).members,
            context);
    activate_table_if_prepared(self, context);
    auto exchanges = make_step(self, context);
    run_due_timers(exchanges);
    if (review_reachability(self.reachability, exchanges,
                            membership::view_of(self.members).members)) {
        apply_reachability(self, context);
    }
}

void step(state& self, const forward_requested& event, context& context)
{
    context.count(metrics::counter::caller_requests);
    const auto& table = self.table;
    const duration retry_after = self.settings.unready_retry_after;
    if (refuses_requests(self, context.now)) {
        refuse(event, answer_kind::not_run, retry_after, "stopping",
               table ? table->version : 0, context);
        return;
    }
    if (self.memory_exhausted) {
        refuse(event, answer_kind::not_run, self.settings.memory_retry_after,
               "memory", table ? table->version : 0, context);
        return;
    }
    if (!table) {
        refuse(event, answer_kind::not_run, retry_after, "starting", 0,
               context);
        return;
    }
    if (reaches_no_leaf(self.reachability)) {
        refuse(event, answer_kind::not_run, retry_after, "partitioned",
               table->version, context);
        return;
    }
    const auto* route = routing::find_route(
        *table, event.request->host, http::path_of(event.request->target));
    if (route == nullptr) {
        // Without recent contact to the store, a route may exist that is not
        // known here: the caller is told to retry.
        const bool up_to_date =
            topology::is_up_to_date(self.topology, context.now);
        refuse(event, up_to_date ? answer_kind::no_route : answer_kind::not_run,
               retry_after, up_to_date ? "no_route" : "no_route_known",
               table->version, context);
        return;
    }
    if (self.exchanges.exchanges.size() >=
        self.exchanges.settings.max_exchanges) {
        refuse(event, answer_kind::not_run, retry_after, "overloaded",
               table->version, context);
        return;
    }
    auto exchanges = make_step(self, context);
    begin(exchanges, event.token, event.request, table, *route);
}

template <typename Event>
void pass_to_exchanges(state& self, const Event& event, context& context)
{
    auto exchanges = make_step(self, context);
    reduce(exchanges, event);
}

void step(state& self, const caller_disconnected& event, context& context)
{
    pass_to_exchanges(self, event, context);
}

void step(state& self, const leaf_connected& event, context& context)
{
    pass_to_exchanges(self, event, context);
}

void step(state& self, const leaf_replied& event, context& context)
{
    note_answer(self.reachability, context.now);
    pass_to_exchanges(self, event, context);
}

void step(state& self, const leaf_disconnected& event, context& context)
{
    pass_to_exchanges(self, event, context);
}

void step(state& self, const leaf_unread& event, context& /*context*/)
{
    set_unread(self.pool, event.connection, event.unread);
}

void step(state& self, const memory_exceeded& event, context& context)
{
    self.memory_exhausted = event.exhausted;
    auto exchanges = make_step(self, context);
    drop_requests(exchanges, event);
    resume_waiting(exchanges);
}

void step(state& self, const entries_requested& event, context& context)
{
    // A daemon that has begun a planned stop must not be named any longer.
    update_serving_set(self, context.now);
    auto serving = self.serving.members;
    if (!accepts_callers(self)) {
        const auto& own = membership::self_of(self.members).name;
        std::erase_if(serving,
                      [&](const auto& each) { return each.name == own; });
    }
    context.emit(answer_entries{event.token,
                                choose_entries(self.settings.entries, serving,
                                               event.data_centre, self.random),
                                self.settings.entries_ttl});
}

void step(state& self, const topology::records_learned& event, context& context)
{
    pass_to_topology(self, event, context);
    if (event.complete) {
        // From now on, watching the store may be left to other daemons.
        self.store_role_due_at = context.now;
    }
}

void step(state& self, const topology::store_failed& event, context& context)
{
    pass_to_topology(self, event, context);
}

// Answers the requests in progress that peers have reported as poison.
void finish_poison(state& self, context& context)
{
    auto exchanges = make_step(self, context);
    gateway::finish_poison(exchanges);
}

// Merges what a peer's message says of a request that crashes leafs.
void learn_crashes(state& self, std::span<const wire::crash_report> reports,
                   std::string_view source, context& context)
{
    poison::receive(self.spread, self.exchanges.poison, reports, source,
                    context.shared);
    finish_poison(self, context);
}

// Asks the arbiters of suspects whether these may be sent to a leaf.
void ask_arbiters(state& self, context& context)
{
    // An arbiter that permits at once lets an exchange go on, which may want
    // another permission.
    while (!self.exchanges.trials_wanted.empty() ||
           !self.exchanges.trials_unused.empty()) {
        auto exchanges = make_step(self, context);
        gateway::ask_arbiters(exchanges,
                              membership::view_of(self.members).members);
        resume_waiting(exchanges);
    }
}

// Queues for other daemons what the exchanges have learned of crashes.
void share_crashes(state& self, boot_time now)
{
    const auto& table = self.exchanges.poison;
    for (const auto of : std::exchange(self.exchanges.to_share, {})) {
        poison::share(self.spread, of, poison::crashes_of(table, of), now);
    }
}

void step(state& self, const datagram_received& event, context& context)
{
    membership::reduce(self.members, event, context.shared);
    pass_to_topology(self, event, context);
    if (const auto* ack = std::get_if<wire::ack>(&event.message)) {
        note_ack(self.reader_check, ack->sequence,
                 topology::from_wire(ack->in_force).reaches_store, context.now);
        self.store_role_due_at =
            std::min(self.store_role_due_at, self.reader_check.due);
    }
    if (const auto* crashes =
            std::get_if<wire::crash_reports>(&event.message)) {
        learn_crashes(self, crashes->reports, to_string(event.from), context);
    } else if (const auto* stated =
                   std::get_if<wire::leaf_rates>(&event.message)) {
        receive(self.pool, stated->rates, context);
    }
}

void step(state& self, const peer_request_received& event, context& context)
{
    membership::reduce(self.members, event, context.shared);
    pass_to_topology(self, event, context);
    if (std::holds_alternative<wire::crash_reports_request>(event.request)) {
        poison::reply_to_request(self.spread, self.exchanges.poison,
                                 event.token, context.shared);
    } else if (std::holds_alternative<wire::leaf_contact_request>(
                   event.request)) {
        auto exchanges = make_step(self, context);
        reply_to_contact_request(self.reachability, exchanges, event.token);
    } else if (const auto* trial =
                   std::get_if<wire::crash_trial_request>(&event.request)) {
        learn_crashes(self, {&trial->known, 1}, "trial", context);
        auto exchanges = make_step(self, context);
        reply_to_trial_request(exchanges, event.token, *trial);
    }
}

void step(state& self, const peer_reply_received& event, context& context)
{
    membership::reduce(self.members, event, context.shared);
    pass_to_topology(self, event, context);
    poison::handle_reply(self.spread, self.exchanges.poison, event,
                         membership::view_of(self.members).members.size(),
                         context.shared);
    finish_poison(self, context);
    if (event.reply) {
        if (const auto* trial =
                std::get_if<wire::crash_trial_reply>(&event.reply.value())) {
            learn_crashes(self, {&trial->known, 1}, "trial", context);
        }
    }
    auto exchanges = make_step(self, context);
    handle_trial_reply(exchanges, event);
    resume_waiting(exchanges);
    if (handle_contact_reply(self.reachability, exchanges, event)) {
        apply_reachability(self, context);
    }
}

void step(state& self, const settings_changed& event, context& context)
{
    const auto& settings = *event.settings;
    self.settings = settings;
    self.pool.settings = settings.pool;
    self.topology.settings = settings.topology;
    self.load.settings = settings.load;
    self.reachability.settings = settings.reachability;
    self.reader_check.settings = settings.reader_check;
    self.rates.sender.settings = settings.rates;
    self.spread.settings = settings.spread;
    self.spread.sender.settings = settings.spread.gossip;
    self.members.settings = settings.membership;
    self.members.seeds = event.seeds;
    self.exchanges.settings = settings.exchanges;
    update_budget(self, context.now);
    if (membership::self_of(self.members).capacity != settings.capacity) {
        membership::set_capacity(self.members, settings.capacity, context.now);
    }
}

void step(state& self, const stop_requested& event, context& context)
{
    if (self.stop_requested_at) {
        return;
    }
    self.stop_requested_at = context.now;
    membership::reduce(self.members, event, context.shared);
    context.emit(close_caller_connections{});
    context.log(make_record(
        stop_begun, field("in_progress", in_progress(self)),
        field("until_ms", to_milliseconds(self.settings.stop_grace -
                                          self.settings.stop_reserve))));
}

// Adds the delay with which the due timer is handled to the load average.
void update_load(state& self, context& context)
{
    const duration lag = context.now - next_wakeup(self);
    if (!record_lag(self.load, lag, context.now)) {
        return;
    }
    membership::set_overloaded(self.members, self.load.overloaded, context.now);
    context.log(make_record(
        load_changed, field("overloaded", self.load.overloaded ? 1 : 0),
        field("lag_us", static_cast<std::int64_t>(self.load.lag / 1000))));
}

} // namespace

state make_state(const wire::member_record& self, std::vector<endpoint> seeds,
                 const options& settings, boot_time now)
{
    state made;
    made.settings = settings;
    made.started = now;
    auto own = self;
    own.capacity = settings.capacity;
    made.members = membership::make_state(
        own, std::move(seeds), settings.membership, self.incarnation, now);
    made.topology =
        topology::make_state(settings.topology, self.incarnation + 1, now);
    made.pool.settings = settings.pool;
    made.pool.random.seed(self.incarnation + 2);
    made.pool.name = self.name;
    made.pool.data_centre = self.data_centre;
    made.pool.maintain_at = now;
    made.load.settings = settings.load;
    made.random = random_source{self.incarnation + 3};
    made.exchanges.settings = settings.exchanges;
    made.rates.sender = membership::make_gossip_sender(
        settings.rates, self.incarnation + 6, now);
    made.reachability =
        make_reachability(settings.reachability, self.incarnation + 5, now);
    made.reader_check.settings = settings.reader_check;
    made.reader_check.random.seed(self.incarnation + 7);
    made.spread =
        poison::make_spread(settings.spread, self.incarnation + 4, now);
    return made;
}

void reduce(state& self, const any_event& what, context& context)
{
    // Due timers are handled first: a process that was delayed must measure
    // the delay before it handles events that arrived meanwhile.
    if (context.now >= next_wakeup(self)) {
        update_load(self, context);
        if (!std::holds_alternative<tick>(what)) {
            step(self, tick{}, context);
        }
    }
    std::visit([&](const auto& concrete) { step(self, concrete, context); },
               what);
    ask_arbiters(self, context);
    share_crashes(self, context.now);
    finish_stop_if_due(self, context);
}

boot_time next_wakeup(const state& self)
{
    boot_time next = std::min(membership::next_wakeup(self.members),
                              topology::next_wakeup(self.topology));
    next = std::min(next, self.store_role_due_at);
    if (!self.ready && self.pending_table) {
        next = std::min(next, self.started + self.settings.peer_timeout);
    }
    next = std::min(next, next_wakeup(self.pool));
    next = std::min(next, next_wakeup(self.exchanges));
    next = std::min(next, poison::next_wakeup(self.spread));
    next = std::min(next, next_wakeup(self.reachability));
    next = std::min(next, next_wakeup(self.rates));
    if (self.stop_requested_at && !self.stopped) {
        next = std::min(next, stop_deadline(self));
    }
    return next;
}

bool accepts_callers(const state& self)
{
    const auto& own = membership::self_of(self.members);
    const bool others_serve = !serves(self.serving, own.name);
    return self.ready && !self.stop_requested_at &&
           !(own.partitioned && others_serve);
}

std::size_t in_progress(const state& self)
{
    return self.exchanges.exchanges.size();
}

} // namespace bulrushspring::gateway
