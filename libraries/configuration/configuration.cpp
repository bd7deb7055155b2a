#include "libraries/configuration/configuration.hpp"

#include "libraries/configuration/events.hpp"
#include "libraries/configuration/internal.hpp"

#include <algorithm>

namespace bulrushspring::configuration
{
namespace
{

// The maximum interval between two ticks. It is shorter than
// options::late_wake_threshold, so that a longer interval shows a late wake.
constexpr duration max_wakeup_interval = seconds{1};
constexpr duration check_wakeup_interval = milliseconds{100};

// Detects that the process was suspended. Outstanding requests are then void
// and the configuration may be outdated: abandons the manifest fetch and the
// request for the list of VMs, starts a check with other daemons, and makes an
// unconditional read of the manifest due.
void detect_late_wake(state& self, context& context)
{
    const duration interval = context.now - self.last_event_at;
    self.last_event_at = context.now;
    if (interval <= self.settings.late_wake_threshold) {
        return;
    }
    const bool after_start = self.check && self.check->after_start;
    start_check(self, after_start, context.now);
    self.fetch.reset();
    self.vms.pending_request.reset();
    self.manifest_watch.unconditional_read_at = context.now;
    self.next_selection_at = context.now;
    context.emit(
        write_log{make_record(check_started, field("cause", "late_wake"),
                              field("asleep_ms", to_milliseconds(interval)))});
}

boot_time compute_next_wakeup(const state& self, boot_time now)
{
    boot_time when = now + max_wakeup_interval;
    if (self.check) {
        when = std::min(when, now + check_wakeup_interval);
    }
    if (self.selection.reading) {
        for (const auto* watch : {&self.manifest_watch, &self.vms_watch}) {
            if (!watch->outstanding && watch->next_call_at > now) {
                when = std::min(when, watch->next_call_at);
            }
        }
    }
    if (self.fetch && self.fetch->available_at_platform &&
        !self.fetch->pending_request && !self.fetch->section_read_pending) {
        when = std::min(when, std::max(now, next_call_time(self.call_limiter)));
    }
    return when;
}

// Continues all activities that any event may have unblocked.
void advance(state& self, const peers& fleet, context& context)
{
    continue_watches(self, fleet, context);
    continue_fetch(self, context);
    continue_check(self, fleet, context);
    if (!self.announced && ready(self)) {
        announce(self, fleet, context);
    }
    self.wake_at = compute_next_wakeup(self, context.now);
}

} // namespace

state make_state(const options& settings, std::uint64_t seed, boot_time now)
{
    state self;
    self.settings = settings;
    self.random.seed(seed);
    self.fleet_size = settings.assumed_fleet_size;
    self.call_limiter.per_second =
        settings.fleet_calls_per_second /
        static_cast<double>(settings.assumed_fleet_size);
    self.call_limiter.updated_at = now;
    self.serving_tokens = settings.max_served_burst_bytes;
    self.serving_updated_at = now;
    self.next_selection_at = now + settings.membership_settle_time;
    self.last_event_at = now;
    self.wake_at = now;
    start_check(self, true, now);
    return self;
}

void consider_digest(state& self, const wire::digest& seen,
                     const document_source& source, context& context)
{
    consider_peer_manifest(self, {seen.manifest_version, seen.manifest_hash},
                           source, context);
    consider_vms(self, seen, source, context);
}

void reduce(state& self, const tick& event, const peers& fleet,
            context& context)
{
    (void)event;
    detect_late_wake(self, context);
    if (self.vms.pending_request &&
        context.now >= self.vms.pending_request->expires) {
        self.vms.pending_request.reset();
    }
    advance(self, fleet, context);
}

void reduce(state& self, const datagram_received& event, const peers& fleet,
            context& context)
{
    detect_late_wake(self, context);
    std::visit(
        [&](const auto& message) {
            if constexpr (requires { message.in_force; }) {
                consider_digest(self, message.in_force,
                                {message.from.name, message.from.peer},
                                context);
            }
        },
        event.message);
    advance(self, fleet, context);
}

void reduce(state& self, const peer_request_received& event, const peers& fleet,
            context& context)
{
    detect_late_wake(self, context);
    if (const auto* request =
            std::get_if<wire::documents_request>(&event.request)) {
        serve_documents(self, event, *request, context);
    }
    advance(self, fleet, context);
}

void reduce(state& self, const peer_reply_received& event, const peers& fleet,
            context& context)
{
    detect_late_wake(self, context);
    const auto is_reply_to =
        [&](const std::optional<pending_exchange>& pending) {
            return pending && pending->exchange == event.exchange;
        };
    if (self.fetch && is_reply_to(self.fetch->pending_request)) {
        handle_documents_reply(self, event.reply, context);
    } else if (is_reply_to(self.vms.pending_request)) {
        handle_vms_reply(self, event.reply, context);
    } else if (self.check && is_reply_to(self.check->outstanding)) {
        handle_check_reply(self, event.reply, context);
    }
    advance(self, fleet, context);
}

void reduce(state& self, const platform_read_finished& event,
            const peers& fleet, context& context)
{
    detect_late_wake(self, context);
    for (auto* watch : {&self.manifest_watch, &self.vms_watch}) {
        if (event.key == watch->key && watch->outstanding) {
            handle_watch_answer(self, *watch, event, context);
        }
    }
    handle_platform_section(self, event, context);
    advance(self, fleet, context);
}

wire::digest digest_of(const state& self)
{
    if (!ready(self)) {
        return {};
    }
    return {self.in_force.id.version, self.in_force.id.hash, self.vms.revision,
            self.vms.hash};
}

bool ready(const state& self)
{
    return self.in_force.accepted != nullptr && !self.check;
}

status status_of(const state& self)
{
    status report;
    report.in_force = self.in_force.id;
    report.since = self.in_force_since;
    report.source = self.in_force_source;
    report.ready = ready(self);
    report.relied_on = self.relied_on;
    report.reading = self.selection.reading;
    report.readers = self.selection.readers;
    report.platform_has_answered = self.platform_has_answered;
    report.platform_answered_at = self.platform_answered_at;
    report.platform_failures =
        std::max(self.manifest_watch.failures, self.vms_watch.failures);
    if (self.fetch) {
        report.fetching = self.fetch->id;
    }
    report.vms_revision = self.vms.revision;
    report.vms_hash = self.vms.hash;
    report.vms_source = self.vms.source;
    report.refusals.assign(self.refusals.begin(), self.refusals.end());
    report.version_conflicts.assign(self.version_conflicts.begin(),
                                    self.version_conflicts.end());
    report.older_versions_seen = self.older_versions_seen;
    return report;
}

boot_time next_wakeup(const state& self)
{
    return self.wake_at;
}

} // namespace bulrushspring::configuration
