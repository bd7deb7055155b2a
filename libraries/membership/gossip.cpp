#include "libraries/membership/gossip.hpp"

#include "libraries/membership/leaving_leafs.hpp"
#include "libraries/membership/members.hpp"
#include "libraries/wire/datagram.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace bulrushspring::membership
{
namespace
{

// Fills the lists of a message. The bytes of the updates are taken from the
// rate limit update_bytes; those of the correction are not.
template <typename Message>
void add_updates(state& membership, Message& message,
                 const wire::member_record* correction, boot_time now)
{
    const auto base = wire::base_size(message);
    if (correction != nullptr) {
        message.members.push_back(*correction);
    }
    const auto fixed =
        base + (correction != nullptr ? wire::encoded_size(*correction) : 0);
    const auto allowed =
        static_cast<std::size_t>(refill(membership.update_bytes, now));
    const auto available =
        std::min(allowed, wire::max_datagram_bytes -
                              std::min(fixed, wire::max_datagram_bytes));
    std::size_t room = available;
    const auto max_transmissions = transmission_limit(membership);
    message.leaving = take_leaving(membership.leaving, room, max_transmissions);
    const auto subjects = take_updates(
        membership.updates, room, max_transmissions,
        [&](subject_index subject) {
            return wire::encoded_size(membership.members[subject].record);
        });
    for (const auto subject : subjects) {
        message.members.push_back(membership.members[subject].record);
    }
    membership.update_bytes.tokens -= static_cast<double>(available - room);
}

template <typename Message>
void send(state& membership, endpoint to, Message message,
          const wire::member_record* correction, context& effects)
{
    if (!take(membership.datagrams, 1, effects.now)) {
        return;
    }
    message.from = self_record(membership);
    message.in_force = membership.in_force;
    add_updates(membership, message, correction, effects.now);
    effects.emit(send_datagram{to, std::move(message)});
}

bool has_updates(const state& membership)
{
    return membership.digest_transmissions_left > 0 ||
           !membership.updates.by_priority.empty() ||
           !membership.leaving.updates.by_priority.empty();
}

} // namespace

std::uint32_t transmission_limit(const state& membership)
{
    const auto& settings = membership.settings;
    const auto size = static_cast<double>(live_count(membership) + 1);
    const bool congested =
        membership.updates.by_priority.size() > settings.congested_update_count;
    const double factor = congested ? settings.congested_transmission_factor
                                    : settings.transmission_factor;
    return static_cast<std::uint32_t>(std::ceil(factor * std::log2(size)));
}

void send_ping(state& membership, endpoint to, std::uint64_t sequence,
               const wire::member_record* correction, context& effects)
{
    wire::ping message;
    message.sequence = sequence;
    send(membership, to, std::move(message), correction, effects);
}

void send_ack(state& membership, endpoint to, std::uint64_t sequence,
              const wire::member_record* correction, context& effects)
{
    wire::ack message;
    message.sequence = sequence;
    send(membership, to, std::move(message), correction, effects);
}

void send_updates(state& membership, endpoint to,
                  const wire::member_record* correction, context& effects)
{
    send(membership, to, wire::gossip{}, correction, effects);
}

void send_without_updates(state& membership, endpoint to,
                          wire::datagram message, context& effects)
{
    if (take(membership.datagrams, 1, effects.now)) {
        effects.emit(send_datagram{to, std::move(message)});
    }
}

void schedule_gossip(state& membership, boot_time now)
{
    const auto earliest =
        membership.last_gossip + membership.settings.gossip_interval;
    membership.next_gossip =
        std::min(membership.next_gossip, std::max(now, earliest));
}

void gossip(state& membership, context& effects)
{
    if (effects.now < membership.next_gossip) {
        return;
    }
    membership.last_gossip = effects.now;
    membership.next_gossip = never;
    std::set<member_index> receivers;
    for (std::size_t i = 0; i < membership.settings.gossip_fanout; ++i) {
        // If the rate limit does not allow the message itself, the updates
        // wait.
        const auto base = static_cast<double>(
            wire::base_size(wire::gossip{self_record(membership), {}, {}, {}}));
        const auto receiver = pick_random_live(membership);
        if (!has_updates(membership) || !receiver ||
            !receivers.insert(*receiver).second ||
            !take(membership.update_bytes, base, effects.now)) {
            continue;
        }
        membership.digest_transmissions_left -=
            std::min(membership.digest_transmissions_left, 1U);
        send_updates(membership, membership.members[*receiver].record.peer,
                     nullptr, effects);
    }
    if (has_updates(membership)) {
        schedule_gossip(membership, effects.now);
    }
}

void schedule_dead_probe(state& membership, duration interval, boot_time now)
{
    membership.dead_probe_interval =
        std::min(membership.dead_probe_interval, interval);
    membership.next_dead_probe =
        std::min(membership.next_dead_probe, now + interval);
}

void prioritise_dead_probe(state& membership, member_index index, boot_time now)
{
    move_to_next(rotation_of(membership, probe_class::dead), index);
    schedule_dead_probe(membership,
                        membership.settings.shortest_dead_probe_interval, now);
}

void schedule_partition_sync(state& membership, boot_time now)
{
    const auto max_delay = membership.settings.partition_sync_spread;
    const auto delay = std::chrono::duration_cast<duration>(
        max_delay * random_fraction(membership.random));
    membership.next_sync = std::min(membership.next_sync, now + delay);
}

} // namespace bulrushspring::membership
