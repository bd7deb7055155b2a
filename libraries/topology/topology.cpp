#include "libraries/topology/topology.hpp"

#include "libraries/topology/events.hpp"
#include "libraries/topology/peers.hpp"
#include "libraries/topology/records.hpp"
#include "libraries/topology/replies.hpp"

#include <algorithm>

namespace bulrushspring::topology
{
namespace
{

bool reads_store(const state& self)
{
    return self.role != store_role::none;
}

// Whether this daemon reads the store, and its last call succeeded.
bool reaches_store(const state& self)
{
    return reads_store(self) && self.last_answer_at != boot_time::min() &&
           self.failures == 0;
}

// Exponential backoff up to a maximum, reduced by up to a half at random.
duration backoff(state& self)
{
    constexpr std::uint32_t max_doublings = 8;
    const auto doublings =
        std::min(self.failures == 0 ? 0 : self.failures - 1, max_doublings);
    const duration longest =
        std::min(self.settings.min_backoff * (std::int64_t{1} << doublings),
                 self.settings.max_backoff);
    const double jitter = 0.5 + 0.5 * random_fraction(self.random);
    return std::chrono::duration_cast<duration>(longest * jitter);
}

// Makes the next call to the store a listing, and not a stale one.
void require_listing(state& self)
{
    self.listed = false;
    self.history_lost = true;
}

// Adopts a higher era of the store. The records have to be listed again, since
// the backup may lack some and its revisions are given out again.
void adopt_era(state& self, std::uint64_t era, context& context)
{
    if (era <= self.era) {
        return;
    }
    if (self.revision > 0) {
        context.emit(write_log{make_record(
            store_restored, field("era", self.era), field("new_era", era),
            field("revision", store_revision_of(self.revision)),
            field("kept", self.records.size()))});
        context.emit(add_to_counter{metrics::counter::store_restores});
    }
    self.era = era;
    self.era_heard_at = context.now;
    require_listing(self);
}

void handle_store_answer(state& self, context& context)
{
    if (self.failures > 0) {
        context.emit(write_log{make_record(store_regained,
                                           field("failures", self.failures),
                                           field("revision", self.revision))});
    }
    self.failures = 0;
    self.call_in_progress = false;
    self.listed = true;
    self.history_lost = false;
    self.last_answer_at = context.now;
    self.next_call_at =
        context.now + (self.role == store_role::follower
                           ? self.settings.follower_watch_interval
                           : self.settings.watch_interval);
}

// Discards an answer of the store: it belongs to an earlier era, or reports
// changes of a later one whose records are not known yet.
void list_again(state& self, boot_time now)
{
    self.call_in_progress = false;
    require_listing(self);
    self.next_call_at = now + self.settings.watch_interval;
}

void call_store(state& self, outcome& result, context& context)
{
    self.call_in_progress = true;
    self.call_started_at = context.now;
    context.emit(add_to_counter{metrics::counter::platform_reads});
    if (self.listed) {
        result.calls.emplace_back(
            watch_changes{self.revision, self.role == store_role::follower
                                             ? self.settings.follower_wait
                                             : self.settings.leader_wait});
    } else {
        result.calls.emplace_back(read_all{!self.history_lost});
    }
}

// Records up to which revision all changes are known now. A source that doesn't
// know all kinds of records says so of its own kinds only.
void raise_revision(state& self, const records_learned& event, boot_time now)
{
    auto& raised =
        event.level < protocol_level ? self.basic_revision : self.revision;
    raised = std::max(raised, event.revision);
    if (self.revision >= self.basic_revision) {
        self.incomplete_since.reset();
    } else if (!self.incomplete_since) {
        self.incomplete_since = now;
    }
}

// Reads the store if the peers have not delivered all kinds of records.
void review_peers(state& self, context& context)
{
    if (!self.incomplete_since ||
        context.now - *self.incomplete_since < self.settings.level_timeout) {
        return;
    }
    self.incomplete_since = context.now;
    if (reads_store(self)) {
        return;
    }
    self.reads_itself_until = context.now + self.settings.reads_itself_for;
    context.emit(write_log{
        make_record(reads_store_itself, field("revision", self.revision),
                    field("basic_revision", self.basic_revision))});
}

void apply_records(state& self, const records_learned& event, outcome& result,
                   context& context)
{
    const auto basic_revision = basic_revision_of(self);
    const auto known_revision =
        event.level < protocol_level ? basic_revision : self.revision;
    if (basic_revision > 0 && era_of(event.revision) > era_of(basic_revision)) {
        self.restore_grace_until = context.now + self.settings.restore_grace;
        self.evacuation_grace_until =
            context.now + self.settings.evacuation_grace;
    }
    for (const auto& each : event.records) {
        apply_record(self, each, event, result, context);
    }
    if (event.complete && event.revision >= known_revision) {
        remove_unlisted(self, event, result, context);
        note_skipped_changes(self, known_revision, event.revision);
    }
    raise_revision(self, event, context.now);
    purge_removals(self, context.now);
}

// Applies part of a listing before its end, which says nothing of the revision
// up to which all changes are known.
void handle_interim_report(state& self, const records_learned& event,
                           outcome& result, context& context)
{
    if (era_of(event.revision) != self.era) {
        apply_newer_table(self, event, result, context);
        return;
    }
    for (const auto& each : event.records) {
        apply_record(self, each, event, result, context);
    }
}

void handle_peer_answer(state& self, const records_learned& event,
                        outcome& result, context& context)
{
    const bool usable = era_of(event.revision) >= self.era;
    log_received(self, event, context);
    const auto received = receive_answer(self, event);
    if (!received) {
        return;
    }
    if (usable) {
        apply_records(self, *received, result, context);
    } else {
        apply_newer_table(self, *received, result, context);
    }
    finish_request(self, context);
}

} // namespace

state make_state(const options& settings, std::uint64_t seed, boot_time now)
{
    state made;
    made.settings = settings;
    made.random.seed(seed);
    made.next_call_at = now;
    return made;
}

void reduce(state& self, const tick& /*event*/, outcome& result,
            context& context)
{
    if (reads_store(self) && !self.call_in_progress &&
        context.now >= self.next_call_at) {
        call_store(self, result, context);
    }
    request_if_due(self, context);
    review_peers(self, context);
    if (self.restore_grace_until && context.now >= *self.restore_grace_until) {
        end_restore_grace(self, result, context);
    }
    if (self.evacuation_grace_until &&
        context.now >= *self.evacuation_grace_until) {
        end_evacuation_grace(self, result, context);
    }
}

void reduce(state& self, const records_learned& event, outcome& result,
            context& context)
{
    const bool from_store = event.source == "store";
    if (from_store && event.more) {
        handle_interim_report(self, event, result, context);
        return;
    }
    const auto era = era_of(event.revision);
    const bool new_era = era > self.era;
    adopt_era(self, era, context);
    if (!from_store) {
        handle_peer_answer(self, event, result, context);
        return;
    }
    if (era < self.era || (new_era && !event.complete)) {
        list_again(self, context.now);
        return;
    }
    apply_records(self, event, result, context);
    handle_store_answer(self, context);
}

void reduce(state& self, const store_failed& event, outcome& /*result*/,
            context& context)
{
    self.call_in_progress = false;
    context.emit(add_to_counter{metrics::counter::platform_failures});
    adopt_era(self, event.era, context);
    if (event.too_large) {
        context.emit(write_log{
            make_record(changes_too_large, field("revision", self.revision),
                        field("cause", to_string(event.cause)))});
        require_listing(self);
        self.next_call_at = context.now;
        return;
    }
    if (event.history_gone) {
        context.emit(write_log{
            make_record(history_gone, field("revision", self.revision))});
        require_listing(self);
        self.next_call_at = context.now;
        return;
    }
    ++self.failures;
    const duration wait = backoff(self);
    self.next_call_at = context.now + wait;
    if (self.failures == 1) {
        context.emit(write_log{
            make_record(store_lost, field("cause", to_string(event.cause)),
                        field("failures", self.failures),
                        field("retry_ms", to_milliseconds(wait)))});
    }
}

void reduce(state& self, const datagram_received& event, outcome& /*result*/,
            context& context)
{
    std::visit(
        [&](const auto& message) {
            if constexpr (requires { message.in_force; }) {
                const auto stated = from_wire(message.in_force);
                if (era_of(stated.revision) >= self.era) {
                    self.era_heard_at = context.now;
                }
                note_digest(self, message.from.peer, stated, context.now);
            }
        },
        event.message);
}

void reduce(state& self, const peer_request_received& event,
            outcome& /*result*/, context& context)
{
    if (const auto* request =
            std::get_if<wire::records_request>(&event.request)) {
        context.emit(
            reply_to_peer{event.token, records_after(self, request->after)});
    } else if (const auto* changes =
                   std::get_if<wire::record_changes_request>(&event.request)) {
        context.emit(reply_to_peer{event.token, changes_for(self, *changes),
                                   changes->accepts_compression});
    }
}

void reduce(state& self, const peer_reply_received& event, outcome& /*result*/,
            context& context)
{
    // A reply with records arrives as records_learned; any other is a failure.
    if (self.peers.exchange == event.exchange) {
        fail_request(self,
                     event.reply
                         ? error{errc::malformed, "ask peer for records", "",
                                 "another kind of reply"}
                         : event.reply.error(),
                     context);
    }
}

void set_role(state& self, store_role role, boot_time now)
{
    if (!reads_store(self)) {
        self.next_call_at = std::max(self.next_call_at, now);
    }
    const bool promoted =
        role == store_role::leader && self.role == store_role::follower;
    if (promoted && self.failures == 0) {
        self.next_call_at =
            std::min(self.next_call_at, now + self.settings.watch_interval);
    }
    self.role = role;
}

wire::digest digest_of(const state& self, bool in_service)
{
    return to_wire({basic_revision_of(self), protocol_level, self.revision,
                    table_version_of(self), in_service, reaches_store(self)});
}

bool has_asked_peer(const state& self)
{
    const auto& peers = self.peers;
    return peers.answered ||
           (!peers.first && peers.starting.size() >= enough_starting_peers);
}

bool peers_deliver(const state& self, boot_time now)
{
    const bool follow_era =
        self.era == 0 || now - self.era_heard_at < self.settings.era_timeout;
    return follow_era && now >= self.reads_itself_until;
}

bool is_up_to_date(const state& self, boot_time now)
{
    return (!reads_store(self) || reaches_store(self)) &&
           !lacks_changes(self, now);
}

boot_time next_wakeup(const state& self)
{
    boot_time next = boot_time::max();
    if (reads_store(self) && !self.call_in_progress) {
        next = self.next_call_at;
    }
    next = std::min(next, next_request(self));
    if (self.incomplete_since) {
        next = std::min(next,
                        *self.incomplete_since + self.settings.level_timeout);
    }
    if (self.restore_grace_until) {
        next = std::min(next, *self.restore_grace_until);
    }
    if (self.evacuation_grace_until) {
        next = std::min(next, *self.evacuation_grace_until);
    }
    return next;
}

} // namespace bulrushspring::topology
