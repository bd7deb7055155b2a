#include "libraries/membership/claims.hpp"

#include "libraries/membership/events.hpp"
#include "libraries/membership/gossip.hpp"
#include "libraries/membership/members.hpp"

#include <algorithm>
#include <cmath>

namespace bulrushspring::membership
{
namespace
{

using wire::member_record;
using wire::member_status;

// Records above these limits are damaged: no member refutes or restarts that
// often.
constexpr std::uint32_t max_refutation = 1U << 30U;
constexpr incarnation_number max_incarnation = incarnation_number{1} << 62U;

bool is_valid(const member_record& record)
{
    return !record.name.empty() && record.refutation < max_refutation &&
           record.incarnation < max_incarnation;
}

bool ends_later(const suspicion& first, const suspicion& second)
{
    return first.ends > second.ends;
}

void push_suspicion(state& membership, member_index index, boot_time ends)
{
    membership.members[index].suspicion_ends = ends;
    membership.suspicions.push_back({ends, index});
    std::push_heap(membership.suspicions.begin(), membership.suspicions.end(),
                   ends_later);
}

std::string_view status_name(member_status status)
{
    switch (status) {
    case member_status::alive:
        return "alive";
    case member_status::suspect:
        return "suspect";
    case member_status::leaving:
        return "leaving";
    case member_status::dead:
        return "dead";
    }
    return "unknown";
}

void log_joined(const member_record& record, std::string_view reporter,
                context& effects)
{
    effects.emit(write_log{make_record(
        member_joined, field("member", record.name),
        field("data_centre", record.data_centre),
        field("peer", to_string(record.peer)),
        field("incarnation", record.incarnation), field("source", reporter))});
}

void log_status(const event_definition& event, const member_record& record,
                std::string_view reporter, context& effects)
{
    effects.emit(write_log{make_record(event, field("member", record.name),
                                       field("incarnation", record.incarnation),
                                       field("refutation", record.refutation),
                                       field("source", reporter))});
}

void log_change(const member_record& before, const member_record& now,
                std::string_view reporter, context& effects)
{
    if (before.incarnation != 0 && before.incarnation != now.incarnation) {
        effects.emit(write_log{make_record(
            member_restarted, field("member", now.name),
            field("incarnation", now.incarnation),
            field("earlier_incarnation", before.incarnation),
            field("peer", to_string(now.peer)), field("source", reporter))});
    }
    if (before.status == now.status) {
        return;
    }
    switch (now.status) {
    case member_status::alive:
        if (before.status == member_status::dead) {
            log_joined(now, reporter, effects);
        } else {
            log_status(member_refuted, now, reporter, effects);
        }
        return;
    case member_status::suspect:
        log_status(member_suspected, now, reporter, effects);
        return;
    case member_status::leaving:
        log_status(member_leaving, now, reporter, effects);
        return;
    case member_status::dead:
        log_status(member_dead, now, reporter, effects);
        return;
    }
}

// Sets the timers that follow from a member's change of status.
void apply_status_change(state& membership, member_index index,
                         member_status before, boot_time since,
                         context& effects)
{
    const auto& settings = membership.settings;
    const auto status = membership.members[index].record.status;
    if (status == member_status::suspect) {
        push_suspicion(membership, index,
                       effects.now + suspicion_time(membership));
    }
    if (status == member_status::dead && before != member_status::dead) {
        schedule_dead_probe(
            membership, settings.dead_probe_interval_after_death, effects.now);
    }
    if (status != member_status::dead && before == member_status::dead &&
        effects.now - since > settings.partition_threshold) {
        schedule_partition_sync(membership, effects.now);
    }
}

void update_record(state& membership, member_index index,
                   const member_record& claimed, std::string_view reporter,
                   bool suppress_log, context& effects)
{
    const auto before = membership.members[index].record;
    const auto since = membership.members[index].since;
    set_record(membership, index, claimed, effects.now);
    if (!suppress_log) {
        log_change(before, claimed, reporter, effects);
    }
    apply_status_change(membership, index, before.status, since, effects);
}

void raise_own_incarnation(state& membership, incarnation_number above,
                           context& effects)
{
    auto self = self_record(membership);
    const auto earlier = self.incarnation;
    self.incarnation = above + 1;
    self.refutation = 0;
    set_record(membership, self_index, self, effects.now);
    enqueue_member_update(membership, self_index, effects.now);
    effects.emit(write_log{
        make_record(incarnation_raised, field("earlier_incarnation", earlier),
                    field("incarnation", self.incarnation))});
}

void shut_down_as_superseded(state& membership, const member_record& claimed,
                             context& effects)
{
    if (membership.superseded) {
        return;
    }
    membership.superseded = true;
    auto self = self_record(membership);
    self.status = member_status::leaving;
    set_record(membership, self_index, self, effects.now);
    discard(membership.updates, self_index);
    effects.emit(write_log{
        make_record(superseded, field("incarnation", self.incarnation),
                    field("newer_incarnation", claimed.incarnation),
                    field("newer_peer", to_string(claimed.peer)))});
    effects.emit(raise_event{stop_requested{}});
}

// Handles a claim about this daemon. It is refuted, unless it shows a newer
// process of this daemon's name at another address, which supersedes this one.
void apply_claim_on_self(state& membership, const member_record& claimed,
                         context& effects)
{
    const auto& self = self_record(membership);
    if (membership.superseded || !newer(claimed, self)) {
        return;
    }
    if (claimed.incarnation > self.incarnation) {
        if (claimed.peer == self.peer) {
            raise_own_incarnation(membership, claimed.incarnation, effects);
        } else {
            shut_down_as_superseded(membership, claimed, effects);
        }
        return;
    }
    membership.awareness =
        std::min(membership.awareness + 1, membership.settings.max_awareness);
    announce_self(membership, claimed.refutation + 1, effects.now);
    effects.emit(write_log{
        make_record(self_refuted, field("claimed", claimed.refutation),
                    field("refutation", self_record(membership).refutation),
                    field("claimed_status", status_name(claimed.status)))});
}

// Whether a claim that a live member is suspect or dead must be verified by a
// probe instead of being applied. Full views may be outdated: the member may
// have refuted since, in the part of the fleet that this daemon belongs to.
bool needs_verification(const member_record& known,
                        const member_record& claimed, claim_source source)
{
    const bool failed = claimed.status == member_status::suspect ||
                        claimed.status == member_status::dead;
    return source == claim_source::full_view && failed &&
           known.incarnation == claimed.incarnation && is_live(known);
}

claim_outcome add_claimed_member(state& membership,
                                 const member_record& claimed,
                                 claim_source source, std::string_view reporter,
                                 context& effects)
{
    if (claimed.status == member_status::dead) {
        return claim_outcome::ignored;
    }
    const auto index = add_member(membership, claimed, effects.now);
    if (!index) {
        effects.emit(
            write_log{make_record(member_refused, field("member", claimed.name),
                                  field("reason", "table_full"))});
        return claim_outcome::ignored;
    }
    apply_status_change(membership, *index, member_status::dead, effects.now,
                        effects);
    if (source != claim_source::full_view) {
        log_joined(claimed, reporter, effects);
        enqueue_member_update(membership, *index, effects.now);
    }
    return claim_outcome::added;
}

} // namespace

duration suspicion_time(const state& membership)
{
    const auto size = static_cast<double>(live_count(membership));
    const double factor = std::max(1.0, std::log10(size));
    const auto& settings = membership.settings;
    return std::chrono::duration_cast<duration>(
        settings.suspicion_time * factor * (1.0 + membership.awareness));
}

void enqueue_member_update(state& membership, member_index index, boot_time now)
{
    enqueue(membership.updates, index);
    schedule_gossip(membership, now);
}

void announce_self(state& membership, std::uint32_t refutation, boot_time now)
{
    auto self = self_record(membership);
    self.refutation = refutation;
    set_record(membership, self_index, self, now);
    enqueue_member_update(membership, self_index, now);
}

void set_status(state& membership, member_index index, member_status status,
                std::string_view reason, context& effects)
{
    auto record = membership.members[index].record;
    record.status = status;
    update_record(membership, index, record, reason, false, effects);
    enqueue_member_update(membership, index, effects.now);
}

claim_outcome apply_claim(state& membership, const member_record& claimed,
                          claim_source source, std::string_view reporter,
                          context& effects)
{
    if (!is_valid(claimed)) {
        effects.emit(
            write_log{make_record(member_refused, field("member", claimed.name),
                                  field("reason", "implausible"))});
        return claim_outcome::ignored;
    }
    const auto index = find(membership, claimed.name);
    if (!index) {
        return add_claimed_member(membership, claimed, source, reporter,
                                  effects);
    }
    if (*index == self_index) {
        apply_claim_on_self(membership, claimed, effects);
        return claim_outcome::ignored;
    }
    const auto& known = membership.members[*index].record;
    if (!newer(claimed, known)) {
        if (known.status == member_status::dead && is_live(claimed) &&
            known.incarnation == claimed.incarnation) {
            prioritise_dead_probe(membership, *index, effects.now);
        }
        return claim_outcome::ignored;
    }
    if (needs_verification(known, claimed, source)) {
        if (membership.disputed.size() < membership.settings.max_disputed) {
            membership.disputed.push_back(*index);
        }
        return claim_outcome::ignored;
    }
    const bool from_full_view = source == claim_source::full_view;
    update_record(membership, *index, claimed, reporter, from_full_view,
                  effects);
    if (!from_full_view) {
        enqueue_member_update(membership, *index, effects.now);
    }
    return claim_outcome::changed;
}

void expire_suspicions(state& membership, context& effects)
{
    auto& heap = membership.suspicions;
    while (!heap.empty() && heap.front().ends <= effects.now) {
        const auto due = heap.front();
        std::pop_heap(heap.begin(), heap.end(), ends_later);
        heap.pop_back();
        const auto& member = membership.members[due.index];
        if (member.record.status != member_status::suspect ||
            member.suspicion_ends != due.ends) {
            continue;
        }
        // A daemon that is cut off, or was paused, can't tell whether others
        // have failed.
        if (membership.isolated || membership.heard_at <= member.since) {
            push_suspicion(membership, due.index,
                           effects.now + suspicion_time(membership));
        } else if (effects.now < membership.verdicts_suspended_until) {
            push_suspicion(membership, due.index,
                           membership.verdicts_suspended_until);
        } else {
            set_status(membership, due.index, member_status::dead,
                       "not_refuted", effects);
        }
    }
}

} // namespace bulrushspring::membership
