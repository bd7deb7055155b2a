#include "libraries/gateway/gateway.hpp"

#include "libraries/configuration/readers.hpp"
#include "libraries/gateway/events.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

exchange_step make_step(state& self, context& context)
{
    return {self.exchanges, self.pool, context};
}

constexpr milliseconds review_interval{200};

// Decides what this daemon has to do with the store. One that knows nothing
// lists it at once, whoever else reads it; one that hears of nobody for a
// while, or learns no routes from its peers, reads it for itself. Views of the
// fleet that differ only cost a reader more.
topology::store_role store_role_of(const state& self, boot_time now)
{
    const bool knows_routes = self.topology.table != nullptr;
    const bool patient = now - self.started < self.settings.peer_patience;
    if ((!knows_routes && !self.topology.listed) || self.members.isolated) {
        return topology::store_role::leader;
    }
    if (!membership::joined(self.members)) {
        return patient ? topology::store_role::none
                       : topology::store_role::leader;
    }
    const configuration::peers fleet{membership::view_of(self.members).members,
                                     membership::self_of(self.members)};
    const auto review =
        configuration::review_readers(fleet, self.settings.readers);
    if (!review.reading) {
        return knows_routes || patient ? topology::store_role::none
                                       : topology::store_role::leader;
    }
    return review.readers.front() == fleet.self.name
               ? topology::store_role::leader
               : topology::store_role::follower;
}

void review_reading(state& self, boot_time now)
{
    if (now < self.review_at) {
        return;
    }
    self.review_at = now + review_interval;
    topology::set_role(self.topology, store_role_of(self, now), now);
}

// What is known of the fleet only grows: a daemon that is not heard of may
// still hold connections and spend its share of the budget.
void measure_fleet(state& self, boot_time now)
{
    const auto& view = membership::view_of(self.members);
    auto& fleet = self.pool.fleet;
    fleet.known = membership::joined(self.members) ||
                  now - self.started >= self.settings.peer_patience;
    fleet.young = now - self.started < self.settings.youth;
    if (view.generation == self.fleet_measured) {
        return;
    }
    self.fleet_measured = view.generation;
    const auto& live = view.members;
    fleet.largest = std::max(fleet.largest, largest_capacity(live));
    std::size_t near = 0;
    std::size_t large = 0;
    for (const auto& member : live) {
        near += member.data_centre == self.pool.data_centre ? 1 : 0;
        large += is_large(self.settings.entries, member, fleet.largest) ? 1 : 0;
    }
    fleet.size = std::max(fleet.size, live.size());
    fleet.near = std::max(fleet.near, near);
    fleet.large = std::max(fleet.large, large);
    fleet.self_large =
        is_large(self.settings.entries, membership::self_of(self.members),
                 fleet.largest);
}

// Each daemon takes its share of what the site may send beyond the first
// requests; large ones share the greater part, for they serve the callers.
// One that does not know its fleet yet takes none, and one that has just
// started takes less: its former life may have spent some already.
void set_budget(state& self, boot_time now)
{
    auto& limits = self.exchanges.settings.budget;
    if (!membership::joined(self.members)) {
        limits.slack = 0;
        return;
    }
    const double age = static_cast<double>((now - self.started).count()) /
                       static_cast<double>(limits.window.count());
    limits.slack =
        self.settings.budget_slack * self.settings.budget_share *
        std::min(age, 1.0) *
        share_of_fleet(self.pool.fleet, self.settings.slack_of_large);
}

void put_in_force(state& self, context& context)
{
    self.table = std::exchange(self.coming, nullptr);
    context.emit(limit_callers{self.table->limits});
    context.log(make_record(table_in_force,
                            field("version", self.table->version),
                            field("leafs", self.pool.leafs.size())));
    self.ready = true;
}

// A table that names services not reached yet waits for connections to them,
// so that a new set of shards does not begin with a crowd of cold requests.
void apply(state& self, const topology::table_changed& change, context& context)
{
    if (!self.coming) {
        self.coming_by = context.now + self.settings.table_patience;
    }
    self.coming = change.now;
    prepare_for(self.pool, change.now, context);
}

void review_table(state& self, context& context)
{
    if (self.coming && (!self.table || context.now >= self.coming_by ||
                        prepared_for(self.pool, *self.coming, context.now))) {
        put_in_force(self, context);
    }
}

void settle(state& self, topology::outcome& result, context& context)
{
    for (const auto& change : result.changes) {
        if (const auto* table = std::get_if<topology::table_changed>(&change)) {
            apply(self, *table, context);
        } else if (const auto* leaf =
                       std::get_if<topology::leaf_changed>(&change)) {
            gateway::apply(self.pool, *leaf, context);
        } else {
            gateway::apply(self.pool, std::get<topology::leaf_gone>(change),
                           context);
        }
    }
    for (const auto& call : result.calls) {
        context.emit(call_store{call});
    }
    review_table(self, context);
    membership::set_digest(self.members, topology::digest_of(self.topology));
}

template <typename Event>
void to_topology(state& self, const Event& event, context& context)
{
    topology::outcome result;
    topology::reduce(self.topology, event, result, context.shared);
    settle(self, result, context);
}

void refuse(const forward_asked& event, verdict what, duration retry_after,
            std::string_view reason, std::uint64_t version, context& context)
{
    context.log(
        make_record(request_refused, field("request", event.request->id),
                    field("host", event.request->host), field("reason", reason),
                    field("version", version)));
    context.count(metrics::counter::answers_refused);
    forward_answer answer;
    answer.what = what;
    answer.retry_after = retry_after;
    context.emit(answer_forward{event.token, std::move(answer)});
}

void step(state& self, const tick& event, context& context)
{
    membership::reduce(self.members, event, context.shared);
    review_reading(self, context.now);
    to_topology(self, event, context);
    measure_fleet(self, context.now);
    set_budget(self, context.now);
    maintain(self.pool, context);
    review_table(self, context);
    auto exchanges = make_step(self, context);
    act_on_timers(exchanges);
}

void step(state& self, const forward_asked& event, context& context)
{
    context.count(metrics::counter::caller_requests);
    const auto& table = self.table;
    const duration soon = self.settings.start_retry_after;
    if (!table) {
        refuse(event, verdict::not_run, soon, "starting", 0, context);
        return;
    }
    const auto* route = routing::find_route(
        *table, event.request->host, http::path_of(event.request->target));
    if (route == nullptr) {
        // What is not known here may exist where the store was not heard of
        // for a while.
        const bool known = topology::fresh(self.topology, context.now);
        refuse(event, known ? verdict::no_route : verdict::not_run, soon,
               known ? "no_route" : "no_route_known", table->version, context);
        return;
    }
    if (self.exchanges.exchanges.size() >=
        self.exchanges.settings.most_exchanges) {
        refuse(event, verdict::not_run, soon, "overloaded", table->version,
               context);
        return;
    }
    auto exchanges = make_step(self, context);
    begin(exchanges, event.token, event.request, table, *route);
}

template <typename Event>
void to_exchanges(state& self, const Event& event, context& context)
{
    auto exchanges = make_step(self, context);
    reduce(exchanges, event);
}

void step(state& self, const caller_left& event, context& context)
{
    to_exchanges(self, event, context);
}

void step(state& self, const leaf_connected& event, context& context)
{
    to_exchanges(self, event, context);
}

void step(state& self, const leaf_replied& event, context& context)
{
    to_exchanges(self, event, context);
}

void step(state& self, const leaf_disconnected& event, context& context)
{
    to_exchanges(self, event, context);
}

// Those that callers may be sent to. A daemon that hears nobody does not
// believe its own suspicions: callers may reach those that it can't.
std::vector<wire::member_record> entry_candidates(const state& self)
{
    auto live = membership::view_of(self.members).members;
    const auto& own = membership::self_of(self.members).name;
    std::erase_if(live, [&](const auto& member) {
        return member.name == own
                   ? !accepts_callers(self)
                   : member.status != wire::member_status::alive &&
                         !self.members.isolated;
    });
    return live;
}

void step(state& self, const entries_asked& event, context& context)
{
    context.emit(answer_entries{event.token,
                                choose_entries(self.settings.entries,
                                               entry_candidates(self),
                                               event.data_centre, self.random),
                                self.settings.entries_hold});
}

void step(state& self, const topology::records_learned& event, context& context)
{
    to_topology(self, event, context);
    if (event.whole) {
        self.review_at = context.now; // others may watch from here on
    }
}

void step(state& self, const topology::store_failed& event, context& context)
{
    to_topology(self, event, context);
}

void step(state& self, const datagram_received& event, context& context)
{
    membership::reduce(self.members, event, context.shared);
    to_topology(self, event, context);
}

void step(state& self, const peer_asked& event, context& context)
{
    membership::reduce(self.members, event, context.shared);
    to_topology(self, event, context);
}

void step(state& self, const peer_replied& event, context& context)
{
    membership::reduce(self.members, event, context.shared);
    to_topology(self, event, context);
}

void step(state& self, const settings_changed& event, context& context)
{
    const auto& settings = *event.settings;
    self.settings = settings;
    self.pool.settings = settings.pool;
    self.topology.settings = settings.topology;
    self.load.settings = settings.load;
    self.members.settings = settings.membership;
    self.members.seeds = event.seeds;
    self.exchanges.settings = settings.exchanges;
    set_budget(self, context.now);
    if (membership::self_of(self.members).capacity != settings.capacity) {
        membership::set_capacity(self.members, settings.capacity, context.now);
    }
}

void step(state& self, const stop_requested& event, context& context)
{
    if (self.stop_asked) {
        return;
    }
    self.stop_asked = context.now;
    membership::reduce(self.members, event, context.shared);
    context.emit(release_callers{});
    context.log(make_record(
        stop_begun, field("in_progress", in_progress(self)),
        field("until_ms", whole_milliseconds(self.settings.stop_grace -
                                             self.settings.stop_reserve))));
}

// Once no caller can still hold this daemon's address and nothing is in
// progress, or at the latest when the grace is nearly over.
void finish_stop(state& self, context& context)
{
    if (!self.stop_asked || self.stopped) {
        return;
    }
    const duration waited = context.now - *self.stop_asked;
    const bool late =
        waited >= self.settings.stop_grace - self.settings.stop_reserve;
    const bool forgotten =
        waited >= self.settings.entries_hold *
                      (self.settings.hold_overrun + std::int64_t{1});
    if (!late && !(forgotten && in_progress(self) == 0)) {
        return;
    }
    self.stopped = true;
    context.log(make_record(stop_done,
                            field("waited_ms", whole_milliseconds(waited)),
                            field("cut", in_progress(self))));
    auto exchanges = make_step(self, context);
    answer_all(exchanges);
    context.shared.emit(stop_process{});
}

// Looks how late this daemon comes to the timer that is due.
void watch_load(state& self, context& context)
{
    const duration lag = context.now - next_wakeup(self);
    if (!note_lag(self.load, lag, context.now)) {
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
    made.members = membership::make_state(own, std::move(seeds),
                                          settings.membership, self.life, now);
    made.topology = topology::make_state(settings.topology, self.life + 1, now);
    made.pool.settings = settings.pool;
    made.pool.random.seed(self.life + 2);
    made.pool.name = self.name;
    made.pool.data_centre = self.data_centre;
    made.pool.warm_at = now;
    made.load.settings = settings.load;
    made.random = random_source{self.life + 3};
    made.exchanges.settings = settings.exchanges;
    return made;
}

void reduce(state& self, const any_event& what, context& context)
{
    // Timers that are due go first: a process that wakes late must learn how
    // late it is before it takes in anything that came meanwhile.
    if (context.now >= next_wakeup(self)) {
        watch_load(self, context);
        if (!std::holds_alternative<tick>(what)) {
            step(self, tick{}, context);
        }
    }
    std::visit([&](const auto& concrete) { step(self, concrete, context); },
               what);
    finish_stop(self, context);
}

boot_time next_wakeup(const state& self)
{
    boot_time next = std::min(membership::next_wakeup(self.members),
                              topology::next_wakeup(self.topology));
    next = std::min(next, self.review_at);
    next = std::min(next, next_wakeup(self.pool));
    next = std::min(next, next_wakeup(self.exchanges));
    return next;
}

bool accepts_callers(const state& self)
{
    return self.ready && !self.stop_asked;
}

std::size_t in_progress(const state& self)
{
    return self.exchanges.exchanges.size();
}

} // namespace bulrushspring::gateway
