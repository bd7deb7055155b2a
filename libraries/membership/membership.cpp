#include "libraries/membership/membership.hpp"

#include "libraries/membership/claims.hpp"
#include "libraries/membership/events.hpp"
#include "libraries/membership/gossip.hpp"
#include "libraries/membership/leaving_leafs.hpp"
#include "libraries/membership/members.hpp"
#include "libraries/membership/probing.hpp"
#include "libraries/membership/sync.hpp"

#include <algorithm>
#include <utility>

namespace bulrushspring::membership
{
namespace
{

using wire::member_record;
using wire::member_status;

// Resets the timers of a process that was paused. Its view of the others is as
// old as the pause, and they may have declared it dead. It refutes that first,
// probes, and declares nobody suspect or dead until it has had time to probe.
void resume_after_pause(state& membership, duration late, context& effects)
{
    const auto& settings = membership.settings;
    membership.current.running = false;
    membership.relays.clear();
    membership.awareness = settings.max_awareness;
    membership.verdicts_suspended_until =
        effects.now + suspicion_time(membership);
    membership.heard_at = effects.now;
    membership.next_probe = effects.now;
    membership.next_sync = std::min(membership.next_sync, effects.now);
    if (!membership.superseded) {
        const auto refutation = self_record(membership).refutation + 1;
        announce_self(membership, refutation, effects.now);
    }
    effects.emit(write_log{
        make_record(process_paused, field("late_ms", to_milliseconds(late)))});
}

// Must be called first for each event, as it may be the first after a pause.
void check_for_pause(state& membership, context& effects)
{
    const auto due =
        std::max(next_wakeup(membership), membership.last_event_at);
    const auto late = effects.now - due;
    if (late > membership.settings.pause_threshold) {
        resume_after_pause(membership, late, effects);
    }
    membership.last_event_at = effects.now;
}

void record_contact(state& membership, const member_record& from,
                    context& effects)
{
    membership.heard_at = effects.now;
    if (!membership.isolated) {
        return;
    }
    membership.isolated = false;
    membership.verdicts_suspended_until =
        effects.now + suspicion_time(membership);
    effects.emit(
        write_log{make_record(reconnected, field("member", from.name))});
}

// Applies what the sender reports about itself. If the record known here is
// newer, returns that record as a correction to be sent back.
std::optional<member_record> apply_sender_record(state& membership,
                                                 const member_record& from,
                                                 context& effects)
{
    if (from.name == self_record(membership).name) {
        apply_claim(membership, from, claim_source::subject, from.name,
                    effects);
        const auto& self = self_record(membership);
        return newer(self, from) ? std::optional(self) : std::nullopt;
    }
    record_contact(membership, from, effects);
    const auto before = find(membership, from.name);
    const bool was_dead = before && membership.members[*before].record.status ==
                                        member_status::dead;
    apply_claim(membership, from, claim_source::subject, from.name, effects);
    const auto index = find(membership, from.name);
    if (!index) {
        return std::nullopt;
    }
    auto& sender = membership.members[*index];
    sender.heard_at = effects.now;
    if (was_dead && sender.record.status != member_status::dead) {
        schedule_dead_probe(membership,
                            membership.settings.shortest_dead_probe_interval,
                            effects.now);
    }
    if (newer(sender.record, from)) {
        return sender.record;
    }
    return std::nullopt;
}

template <typename Message>
void apply_updates(state& membership, const Message& message, context& effects)
{
    for (const auto& record : message.members) {
        apply_claim(membership, record, claim_source::gossip, message.from.name,
                    effects);
    }
    for (const auto& leaf : message.leaving) {
        if (!add_leaving(membership.leaving, leaf.name, membership.settings,
                         effects.now)) {
            continue;
        }
        schedule_gossip(membership, effects.now);
        effects.emit(
            write_log{make_record(leaf_leaving_heard, field("leaf", leaf.name),
                                  field("source", message.from.name))});
        effects.emit(raise_event{leaf_leaving{leaf.name, message.from.name}});
    }
}

void send_correction(state& membership, const member_record& from,
                     const std::optional<member_record>& correction,
                     context& effects)
{
    if (correction) {
        send_updates(membership, from.peer, &*correction, effects);
    }
}

void handle_message(state& membership, const wire::ping& message, endpoint from,
                    context& effects)
{
    const auto correction =
        apply_sender_record(membership, message.from, effects);
    apply_updates(membership, message, effects);
    send_ack(membership, from, message.sequence,
             correction ? &*correction : nullptr, effects);
}

void handle_message(state& membership, const wire::ack& message,
                    endpoint /*from*/, context& effects)
{
    const auto correction =
        apply_sender_record(membership, message.from, effects);
    apply_updates(membership, message, effects);
    handle_ack(membership, message, effects);
    send_correction(membership, message.from, correction, effects);
}

void handle_message(state& membership, const wire::ping_request& message,
                    endpoint from, context& effects)
{
    const auto correction =
        apply_sender_record(membership, message.from, effects);
    handle_ping_request(membership, message, from, effects);
    send_correction(membership, message.from, correction, effects);
}

void handle_message(state& membership, const wire::gossip& message,
                    endpoint /*from*/, context& effects)
{
    const auto correction =
        apply_sender_record(membership, message.from, effects);
    apply_updates(membership, message, effects);
    send_correction(membership, message.from, correction, effects);
}

// Not about members.
void handle_message(state& /*membership*/,
                    const wire::crash_reports& /*message*/, endpoint /*from*/,
                    context& /*effects*/)
{
}

void handle_message(state& /*membership*/, const wire::leaf_rates& /*message*/,
                    endpoint /*from*/, context& /*effects*/)
{
}

std::string region_of(const manifest::fleet& entries,
                      const std::string& data_centre)
{
    for (const auto& each : entries.data_centres) {
        if (each.name == data_centre) {
            return each.region;
        }
    }
    return {};
}

// Adds a VM that the manifest names, as a dead member that has never been heard
// from.
void add_manifest_vm(state& membership, const manifest::fleet& entries,
                     const manifest::entry_vm& vm, boot_time now)
{
    member_record record{vm.name,
                         vm.data_centre,
                         region_of(entries, vm.data_centre),
                         vm.peer,
                         vm.caller,
                         vm.operators,
                         0,
                         0,
                         member_status::dead};
    auto index = find(membership, vm.name);
    if (!index) {
        index = add_member(membership, record, now);
        membership.dead_probe_interval =
            membership.settings.shortest_dead_probe_interval;
        membership.next_dead_probe = std::min(
            membership.next_dead_probe, now + membership.dead_probe_interval);
    } else if (membership.members[*index].record.incarnation == 0) {
        set_record(membership, *index, record, now);
    }
    if (index) {
        membership.members[*index].in_manifest = true;
    }
}

// Adopts a changed record of this daemon and announces it to all members.
void announce(state& membership, const member_record& self, boot_time now)
{
    set_record(membership, self_index, self, now);
    announce_self(membership, self.refutation + 1, now);
}

} // namespace

state make_state(const member_record& self, std::vector<endpoint> seeds,
                 const options& settings, std::uint64_t seed, boot_time now)
{
    state membership;
    membership.settings = settings;
    membership.random.seed(seed);
    membership.seeds = std::move(seeds);
    membership.last_event_at = now;
    membership.next_probe = now;
    membership.next_dead_probe = now;
    membership.dead_probe_interval = settings.shortest_dead_probe_interval;
    membership.verdicts_suspended_until = now;
    membership.heard_at = now;
    membership.last_gossip = now;
    membership.update_bytes = limits::make_bucket(
        settings.update_bytes_per_second, settings.update_bytes_burst, now);
    membership.datagrams = limits::make_bucket(settings.datagrams_per_second,
                                               settings.datagrams_burst, now);
    membership.next_sync = now;
    membership.sync_retry = settings.shortest_sync_retry;
    membership.full_replies = limits::make_bucket(
        settings.full_replies_per_second, settings.full_replies_burst, now);
    add_member(membership, self, now);
    enqueue_member_update(membership, self_index, now);
    return membership;
}

void reduce(state& membership, const tick& /*event*/, context& effects)
{
    check_for_pause(membership, effects);
    probe_live(membership, effects);
    expire_suspicions(membership, effects);
    probe_dead(membership, effects);
    sync(membership, effects);
    gossip(membership, effects);
}

void reduce(state& membership, const datagram_received& event, context& effects)
{
    check_for_pause(membership, effects);
    std::visit(
        [&](const auto& message) {
            handle_message(membership, message, event.from, effects);
        },
        event.message);
}

void reduce(state& membership, const peer_request_received& event,
            context& effects)
{
    check_for_pause(membership, effects);
    if (const auto* request =
            std::get_if<wire::members_request>(&event.request)) {
        handle_sync_request(membership, event, *request, effects);
    }
}

void reduce(state& membership, const peer_reply_received& event,
            context& effects)
{
    check_for_pause(membership, effects);
    handle_sync_reply(membership, event, effects);
}

void reduce(state& membership, const manifest_changed& event, context& effects)
{
    check_for_pause(membership, effects);
    for (auto& each : membership.members) {
        each.in_manifest = false;
    }
    for (const auto& vm : event.manifest->entries.vms) {
        add_manifest_vm(membership, event.manifest->entries, vm, effects.now);
    }
}

void reduce(state& membership, const vms_changed& event, context& effects)
{
    check_for_pause(membership, effects);
    membership.listed_leaving = {event.leaving.begin(), event.leaving.end()};
    for (auto& each : membership.members) {
        each.listed_live = false;
    }
    for (const auto& name : event.live) {
        if (const auto index = find(membership, name)) {
            membership.members[*index].listed_live = true;
        }
    }
    for (const auto& [name, index] : membership.by_name) {
        const bool leaving = membership.listed_leaving.count(name) != 0;
        if (leaving && !membership.members[index].listed_leaving) {
            effects.emit(write_log{
                make_record(entry_listed_leaving, field("member", name))});
        }
        set_listed_leaving(membership, index, leaving);
    }
}

void reduce(state& membership, const leaf_leaving& event, context& effects)
{
    check_for_pause(membership, effects);
    if (add_leaving(membership.leaving, event.leaf, membership.settings,
                    effects.now)) {
        schedule_gossip(membership, effects.now);
    }
}

void reduce(state& membership, const stop_requested& /*event*/,
            context& effects)
{
    check_for_pause(membership, effects);
    auto self = self_record(membership);
    if (self.status == member_status::leaving) {
        return;
    }
    self.status = member_status::leaving;
    set_record(membership, self_index, self, effects.now);
    enqueue_member_update(membership, self_index, effects.now);
    effects.emit(write_log{make_record(
        leaving_announced, field("incarnation", self.incarnation))});
}

void set_overloaded(state& membership, bool overloaded, boot_time now)
{
    auto self = self_record(membership);
    self.overloaded = overloaded;
    announce(membership, self, now);
}

void set_partitioned(state& membership, bool partitioned, boot_time now)
{
    auto self = self_record(membership);
    self.partitioned = partitioned;
    announce(membership, self, now);
}

void set_capacity(state& membership, std::uint32_t capacity, boot_time now)
{
    auto self = self_record(membership);
    self.capacity = capacity;
    announce(membership, self, now);
}

std::uint64_t send_probe(state& membership, const endpoint& to,
                         context& effects)
{
    const auto sequence = ++membership.last_sequence;
    send_ping(membership, to, sequence, nullptr, effects);
    return sequence;
}

void set_digest(state& membership, const wire::digest& in_force)
{
    if (in_force == membership.in_force) {
        return;
    }
    membership.in_force = in_force;
    membership.digest_transmissions_left = transmission_limit(membership);
    schedule_gossip(membership, membership.last_event_at);
}

const view& view_of(const state& membership)
{
    return membership.live;
}

const member_record& self_of(const state& membership)
{
    return self_record(membership);
}

boot_time next_wakeup(const state& membership)
{
    const auto suspicion_ends = membership.suspicions.empty()
                                    ? never
                                    : membership.suspicions.front().ends;
    return std::min({next_probe_step(membership), membership.next_dead_probe,
                     membership.next_gossip, membership.next_sync,
                     suspicion_ends});
}

std::vector<member_listing> list_members(const state& membership)
{
    std::vector<member_listing> listing;
    for (const auto& each : membership.members) {
        if (each.record.name.empty()) {
            continue;
        }
        listing.push_back({each.record, each.since, each.heard_at,
                           each.in_manifest, each.listed_live,
                           each.listed_leaving});
    }
    return listing;
}

bool joined(const state& membership)
{
    return live_count(membership) > 1;
}

} // namespace bulrushspring::membership
