#include "libraries/targets/connections.hpp"

#include "libraries/targets/events.hpp"

#include <algorithm>

namespace bulrushspring::targets
{
namespace
{

// Interval of the checks of all connections, which is also the maximum delay
// of a time-out.
constexpr duration sweep_interval = milliseconds{100};
// A check that is later than this shows that the process was suspended, in
// which case answers may be waiting unread.
constexpr duration suspension_threshold = seconds{1};
// Number of consecutive failures from which a leaf is logged as unreachable.
constexpr std::uint32_t unreachable_failures = 3;

void remove_from(std::vector<connection_id>& list, connection_id id)
{
    list.erase(std::remove(list.begin(), list.end(), id), list.end());
}

// Whether a connection may be opened to a leaving leaf, to find out whether it
// has returned. Only reports by the leaf and by peers are cleared this way.
bool may_check_for_return(const state& self, const leaf_state& leaf,
                          boot_time now)
{
    const auto& leaving = leaf.leaving;
    return !leaving.manifest && !leaving.vms && leaf.connections.empty() &&
           now >= leaving.last_reported + self.settings.return_delay;
}

std::uint32_t desired_count(const state& self, const leaf_state& leaf,
                            boot_time now)
{
    if (!leaf.in_manifest) {
        return 0;
    }
    if (leaf.leaving.any()) {
        return may_check_for_return(self, leaf, now) ? 1 : 0;
    }
    return std::min(leaf.desired_connections, usable_share(leaf, now));
}

bool lacks_connection(const state& self, const leaf_state& leaf, boot_time now)
{
    if (now < leaf.next_open_at || leaf.opening > 0) {
        return false;
    }
    const auto counted = leaf.connections.size() + leaf.hold_expiries.size();
    return leaf.connections.size() < desired_count(self, leaf, now) &&
           counted < usable_share(leaf, now);
}

void open(state& self, leaf_index index, context& context)
{
    auto& leaf = leaf_at(self, index);
    const auto id = context.new_identifier<connection_id>();
    connection opened;
    opened.id = id;
    opened.leaf = index;
    opened.phase_since = context.now;
    opened.deadline =
        context.now + self.settings.open_timeout + self.settings.answer_grace;
    self.connections.emplace(raw(id), opened);
    leaf.connections.push_back(id);
    ++leaf.opening;
    ++self.opening;
    context.emit(open_connection{id, leaf.name, leaf.address,
                                 self.settings.open_timeout});
}

void expire_holds(leaf_state& leaf, boot_time now)
{
    std::erase_if(leaf.hold_expiries,
                  [now](boot_time until) { return until <= now; });
}

std::string_view phase_name(connection_phase phase)
{
    switch (phase) {
    case connection_phase::opening:
        return "opening";
    case connection_phase::idle:
        return "idle";
    case connection_phase::probing:
        return "probing";
    case connection_phase::busy:
        return "busy";
    }
    return "unknown";
}

error silence_error(const leaf_state& leaf)
{
    return {make_error_code(errc::timed_out), "await answer", leaf.name,
            "no answer on the connection"};
}

void probe_idle_connections(state& self, leaf_index leaf, context& context)
{
    const auto idle = leaf_at(self, leaf).idle;
    for (const auto id : idle) {
        probe(self, self.connections.at(raw(id)), context);
    }
}

duration idle_limit(const state& self, const leaf_state& leaf)
{
    if (!leaf.warm) {
        return self.settings.cold_probe_interval;
    }
    const auto count = static_cast<duration::rep>(self.connections.size());
    return std::max(self.settings.probe_interval,
                    self.settings.probe_spacing * count);
}

bool probe_due(const state& self, const connection& connection, boot_time now)
{
    if (connection.phase != connection_phase::idle) {
        return false;
    }
    const auto& leaf = leaf_at(self, connection.leaf);
    if (!leaf.warm) {
        return now - leaf.probed_at >= self.settings.cold_probe_interval;
    }
    return now - connection.last_answer_at >= idle_limit(self, leaf);
}

// After a suspension of the process, extends the time-outs of all connections:
// answers may have arrived meanwhile and wait to be read.
void extend_deadlines(state& self, boot_time now)
{
    for (auto& [id, connection] : self.connections) {
        if (connection.phase != connection_phase::idle) {
            connection.deadline = std::max(connection.deadline,
                                           now + self.settings.probe_timeout);
        }
    }
}

void sweep_connections(state& self, context& context)
{
    auto probes_left = std::max<duration::rep>(
        1, sweep_interval / std::max(self.settings.probe_spacing,
                                     duration{milliseconds{1}}));
    std::vector<connection_id> silent;
    std::vector<connection_id> to_probe;
    for (const auto& [id, connection] : self.connections) {
        const bool awaits_answer = connection.phase != connection_phase::idle;
        if (awaits_answer && context.now >= connection.deadline) {
            silent.push_back(connection.id);
        } else if (probes_left > 0 &&
                   probe_due(self, connection, context.now)) {
            to_probe.push_back(connection.id);
            --probes_left;
        }
    }
    for (const auto id : to_probe) {
        probe(self, self.connections.at(raw(id)), context);
    }
    for (const auto id : silent) {
        close_silent(self, id, context);
    }
}

} // namespace

std::uint32_t usable_share(const leaf_state& leaf, boot_time now)
{
    return now < leaf.share_usable_at
               ? std::min(leaf.share, leaf.previous_share)
               : leaf.share;
}

void queue_connection(state& self, leaf_index index, boot_time now)
{
    auto& leaf = leaf_at(self, index);
    if (leaf.queued_to_open || !lacks_connection(self, leaf, now)) {
        return;
    }
    leaf.queued_to_open = true;
    self.open_queue.push_back(index);
}

void open_queued_connections(state& self, context& context)
{
    while (!self.open_queue.empty() &&
           self.opening < self.settings.max_opening) {
        const auto index = self.open_queue.front();
        self.open_queue.pop_front();
        auto& leaf = leaf_at(self, index);
        leaf.queued_to_open = false;
        if (lacks_connection(self, leaf, context.now)) {
            open(self, index, context);
        }
    }
}

connection* find_connection(state& self, connection_id id)
{
    const auto found = self.connections.find(raw(id));
    return found == self.connections.end() ? nullptr : &found->second;
}

void make_idle(state& self, connection& connection, boot_time now)
{
    connection.phase = connection_phase::idle;
    connection.phase_since = now;
    connection.last_answer_at = now;
    leaf_at(self, connection.leaf).idle.push_back(connection.id);
}

void probe(state& self, connection& connection, context& context)
{
    auto& leaf = leaf_at(self, connection.leaf);
    remove_from(leaf.idle, connection.id);
    leaf.probed_at = context.now;
    connection.phase = connection_phase::probing;
    connection.phase_since = context.now;
    connection.deadline = context.now + self.settings.probe_timeout;
    context.emit(probe_connection{connection.id, self.settings.probe_timeout});
}

void close_unused(state& self, connection_id id, context& context)
{
    // If the connection has failed unnoticed, the leaf does not see the close.
    context.emit(close_connection{id});
    remove_connection(self, id, self.settings.silent_hold, context);
}

void remove_silent(state& self, connection_id id, context& context)
{
    const auto* found = find_connection(self, id);
    if (found == nullptr) {
        return;
    }
    const connection ended = *found;
    const auto& leaf = leaf_at(self, ended.leaf);
    context.emit(write_log{make_record(
        connection_silent, field("leaf", leaf.name),
        field("connection", raw(id)), field("phase", phase_name(ended.phase)),
        field("silent_ms", to_milliseconds(context.now - ended.phase_since)))});
    if (ended.phase == connection_phase::opening) {
        // Nothing shows that packets of this new connection are lost: assume
        // that the leaf notices the close.
        back_off(self, ended.leaf, silence_error(leaf), context);
        remove_connection(self, id, self.settings.closed_hold, context);
        return;
    }
    context.emit(add_to_counter{metrics::counter::connections_silent});
    remove_connection(self, id, self.settings.silent_hold, context);
    probe_idle_connections(self, ended.leaf, context);
}

void close_silent(state& self, connection_id id, context& context)
{
    const auto* found = find_connection(self, id);
    if (found == nullptr) {
        return;
    }
    context.emit(close_connection{id});
    if (found->phase == connection_phase::busy) {
        const auto& leaf = leaf_at(self, found->leaf);
        context.emit(raise_event{
            leaf_failed{id, found->attempt, true, silence_error(leaf)}});
    }
    remove_silent(self, id, context);
}

void remove_connection(state& self, connection_id id, duration hold,
                       context& context)
{
    const auto* found = find_connection(self, id);
    if (found == nullptr) {
        return;
    }
    const connection ended = *found;
    auto& leaf = leaf_at(self, ended.leaf);
    self.connections.erase(raw(id));
    remove_from(leaf.connections, id);
    remove_from(leaf.idle, id);
    if (ended.phase == connection_phase::opening) {
        --leaf.opening;
        --self.opening;
        leaf.connect_attempted = true;
    } else {
        context.emit(add_to_counter{metrics::counter::connections_closed});
    }
    if (ended.phase == connection_phase::busy) {
        self.attempts.erase(raw(ended.attempt));
        --leaf.in_flight;
        leaf.busy_since = context.now;
    }
    if (hold > duration{0}) {
        leaf.hold_expiries.push_back(context.now + hold);
    }
    queue_connection(self, ended.leaf, context.now);
    open_queued_connections(self, context);
}

void back_off(state& self, leaf_index index, const error& cause,
              context& context)
{
    auto& leaf = leaf_at(self, index);
    ++leaf.consecutive_failures;
    const auto doublings = std::min(leaf.consecutive_failures - 1, 20U);
    const auto full = std::min(self.settings.max_backoff,
                               self.settings.min_backoff * (1 << doublings));
    const double jitter = 0.5 + 0.5 * random_fraction(self.random);
    const auto wait = std::chrono::duration_cast<duration>(full * jitter);
    leaf.next_open_at = context.now + wait;
    if (leaf.consecutive_failures >= unreachable_failures) {
        context.emit(
            write_log{make_record(leaf_unreachable, field("leaf", leaf.name),
                                  field("failures", leaf.consecutive_failures),
                                  field("retry_ms", to_milliseconds(wait)),
                                  field("cause", to_string(cause)))});
    }
}

void close_surplus(state& self, leaf_index index, context& context)
{
    const auto limit = [&] {
        const auto& leaf = leaf_at(self, index);
        const bool unused = !leaf.in_manifest || leaf.leaving.any();
        return unused ? 0U : std::min(leaf.desired_connections, leaf.share);
    }();
    while (leaf_at(self, index).connections.size() > limit &&
           !leaf_at(self, index).idle.empty()) {
        close_unused(self, leaf_at(self, index).idle.front(), context);
    }
}

void sweep(state& self, context& context)
{
    if (context.now - self.next_sweep > suspension_threshold) {
        extend_deadlines(self, context.now);
    }
    self.next_sweep = context.now + sweep_interval;
    sweep_connections(self, context);
    for (const auto index : self.active_leafs) {
        expire_holds(leaf_at(self, index), context.now);
        queue_connection(self, index, context.now);
    }
    open_queued_connections(self, context);
}

} // namespace bulrushspring::targets
