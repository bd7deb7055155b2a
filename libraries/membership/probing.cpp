#include "libraries/membership/probing.hpp"

#include "libraries/membership/claims.hpp"
#include "libraries/membership/events.hpp"
#include "libraries/membership/gossip.hpp"
#include "libraries/membership/members.hpp"

#include <algorithm>
#include <set>

namespace bulrushspring::membership
{
namespace
{

using wire::member_status;

duration scaled(const state& membership, duration span)
{
    return span * (1 + membership.awareness);
}

// Returns the span multiplied by a random factor from 0.5 to 1.5.
duration jittered(state& membership, duration span)
{
    const double factor = 0.5 + random_fraction(membership.random);
    return std::chrono::duration_cast<duration>(span * factor);
}

void begin_probe(state& membership, member_index target, context& effects)
{
    auto& current = membership.current;
    current.running = true;
    current.helpers_asked = false;
    current.target = target;
    current.sequence = ++membership.last_sequence;
    current.sent_at = effects.now;
    current.ask_helpers_at =
        effects.now + scaled(membership, membership.settings.probe_timeout);
    const auto record = membership.members[target].record;
    // A suspect is informed of the suspicion, so that it can refute at once.
    const bool suspect = record.status == member_status::suspect;
    send_ping(membership, record.peer, current.sequence,
              suspect ? &record : nullptr, effects);
}

// Chooses helpers in different locations, so that the result does not depend on
// a single bad link: one near this daemon, one near the target, the others
// anywhere.
std::set<member_index> choose_helpers(state& membership, member_index target)
{
    std::set<member_index> helpers;
    const auto add = [&](std::optional<member_index> helper) {
        if (helper && *helper != target && *helper != self_index) {
            helpers.insert(*helper);
        }
    };
    const auto& group = membership.groups[membership.members[target].group];
    add(pick_random(rotation_of(membership, probe_class::own_data_centre),
                    membership.random));
    add(pick_random(group.entries, membership.random));
    const auto wanted = membership.settings.probe_helpers;
    for (std::size_t i = 0; i < wanted && helpers.size() < wanted; ++i) {
        add(pick_random_live(membership));
    }
    return helpers;
}

void ask_helpers(state& membership, context& effects)
{
    auto& current = membership.current;
    current.helpers_asked = true;
    current.ask_helpers_at = never;
    const auto target = membership.members[current.target].record;
    for (const auto helper : choose_helpers(membership, current.target)) {
        send_without_updates(membership, membership.members[helper].record.peer,
                             wire::ping_request{current.sequence,
                                                self_record(membership),
                                                target.name, target.peer},
                             effects);
    }
}

void check_isolation(state& membership, context& effects)
{
    const auto silent = effects.now - membership.heard_at;
    if (membership.isolated || live_count(membership) == 1 ||
        silent < membership.settings.isolation_time) {
        return;
    }
    membership.isolated = true;
    effects.emit(write_log{
        make_record(isolated, field("silent_ms", to_milliseconds(silent)))});
}

// Handles a probe whose target has not answered in time.
void end_failed_probe(state& membership, context& effects)
{
    auto& current = membership.current;
    current.running = false;
    if (membership.heard_at <= current.sent_at) {
        membership.awareness = std::min(membership.awareness + 1,
                                        membership.settings.max_awareness);
    }
    check_isolation(membership, effects);
    if (effects.now < membership.verdicts_suspended_until) {
        return;
    }
    const auto status = membership.members[current.target].record.status;
    if (status == member_status::leaving) {
        set_status(membership, current.target, member_status::dead, "left",
                   effects);
        return;
    }
    if (status != member_status::alive) {
        return;
    }
    set_status(membership, current.target, member_status::suspect,
               "not_answered", effects);
    const auto record = membership.members[current.target].record;
    send_updates(membership, record.peer, &record, effects);
}

// Whether to probe a seed instead of a dead member. While no live member is
// known, either is chosen with equal probability.
bool should_ping_seed(state& membership, boot_time now)
{
    if (membership.seeds.empty()) {
        return false;
    }
    const bool has_dead =
        !rotation_of(membership, probe_class::dead).members.empty();
    if (live_count(membership) == 1 && has_dead) {
        return random_below(membership.random, 2) == 0;
    }
    return now >= membership.next_seed_probe;
}

void ping_seed(state& membership, context& effects)
{
    const auto size = static_cast<std::int64_t>(live_count(membership));
    membership.next_seed_probe =
        effects.now +
        membership.settings.seed_probe_interval_per_member * (size - 1);
    const auto& seeds = membership.seeds;
    const auto to = seeds[random_below(membership.random, seeds.size())];
    if (to != self_record(membership).peer) {
        send_ping(membership, to, ++membership.last_sequence, nullptr, effects);
    }
}

void ping_dead(state& membership, member_index index, context& effects)
{
    const auto record = membership.members[index].record;
    const bool heard_before = record.incarnation != 0;
    send_ping(membership, record.peer, ++membership.last_sequence,
              heard_before ? &record : nullptr, effects);
}

void forward_ack(state& membership, const wire::ack& message, context& effects)
{
    auto& relays = membership.relays;
    const auto found =
        std::find_if(relays.begin(), relays.end(), [&](const relay& each) {
            return each.sequence == message.sequence;
        });
    if (found == relays.end()) {
        return;
    }
    wire::ack forwarded;
    forwarded.sequence = found->requested_sequence;
    forwarded.from = message.from;
    forwarded.in_force = message.in_force;
    const auto to = found->requester;
    relays.erase(found);
    send_without_updates(membership, to, std::move(forwarded), effects);
}

} // namespace

boot_time next_probe_step(const state& membership)
{
    return std::min(
        membership.next_probe,
        membership.current.running ? membership.current.ask_helpers_at : never);
}

void probe_live(state& membership, context& effects)
{
    auto& current = membership.current;
    if (current.running && !current.helpers_asked &&
        current.ask_helpers_at <= effects.now) {
        ask_helpers(membership, effects);
    }
    if (effects.now < membership.next_probe) {
        return;
    }
    if (current.running) {
        end_failed_probe(membership, effects);
    }
    check_isolation(membership, effects);
    membership.next_probe =
        effects.now + scaled(membership, membership.settings.probe_interval);
    if (const auto target = take_next_live(membership)) {
        begin_probe(membership, *target, effects);
    }
}

void probe_dead(state& membership, context& effects)
{
    if (effects.now < membership.next_dead_probe) {
        return;
    }
    const auto& settings = membership.settings;
    membership.next_dead_probe =
        effects.now + jittered(membership, membership.dead_probe_interval);
    membership.dead_probe_interval =
        std::min(membership.dead_probe_interval * 2,
                 settings.longest_dead_probe_interval);
    if (should_ping_seed(membership, effects.now)) {
        ping_seed(membership, effects);
        return;
    }
    auto& dead = rotation_of(membership, probe_class::dead);
    const auto target = take_next(dead, membership.random);
    if (!target) {
        return;
    }
    if (may_be_removed(membership, *target, effects.now)) {
        effects.emit(write_log{make_record(
            member_removed,
            field("member", membership.members[*target].record.name))});
        remove_member(membership, *target);
        return;
    }
    ping_dead(membership, *target, effects);
}

void handle_ack(state& membership, const wire::ack& message, context& effects)
{
    auto& current = membership.current;
    if (current.running && current.sequence == message.sequence &&
        membership.members[current.target].record.name == message.from.name) {
        current.running = false;
        membership.awareness -= std::min(membership.awareness, 1U);
        return;
    }
    forward_ack(membership, message, effects);
}

void handle_ping_request(state& membership, const wire::ping_request& request,
                         endpoint requester, context& effects)
{
    auto& relays = membership.relays;
    while (!relays.empty() && relays.front().expires <= effects.now) {
        relays.pop_front();
    }
    const auto& settings = membership.settings;
    if (relays.size() >= settings.max_relays) {
        return;
    }
    const auto sequence = ++membership.last_sequence;
    relays.push_back({sequence, request.sequence, requester,
                      effects.now + settings.probe_interval});
    send_ping(membership, request.target_address, sequence, nullptr, effects);
}

} // namespace bulrushspring::membership
