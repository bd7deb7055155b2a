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

// Fills the lists of a datagram. Rumours take from the budget for them.
template <typename Message>
void add_rumours(state& membership, Message& message,
                 const wire::member_record* correction, boot_time now)
{
    const auto bare = wire::base_size(message);
    if (correction != nullptr) {
        message.members.push_back(*correction);
    }
    const auto fixed =
        bare + (correction != nullptr ? wire::encoded_size(*correction) : 0);
    const auto allowed =
        static_cast<std::size_t>(refill(membership.rumour_bytes, now));
    const auto most =
        std::min(allowed, wire::most_datagram_bytes -
                              std::min(fixed, wire::most_datagram_bytes));
    std::size_t room = most;
    const auto sendings = most_sendings(membership);
    message.leaving = take_leaving(membership.leaving, room, sendings);
    const auto about =
        take(membership.rumours, room, sendings, [&](subject_index subject) {
            return wire::encoded_size(membership.members[subject].record);
        });
    for (const auto subject : about) {
        message.members.push_back(membership.members[subject].record);
    }
    membership.rumour_bytes.tokens -= static_cast<double>(most - room);
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
    add_rumours(membership, message, correction, effects.now);
    effects.emit(send_datagram{to, std::move(message)});
}

bool has_news(const state& membership)
{
    return membership.digest_sendings_left > 0 ||
           !membership.rumours.ranked.empty() ||
           !membership.leaving.rumours.ranked.empty();
}

} // namespace

std::uint32_t most_sendings(const state& membership)
{
    const auto& settings = membership.settings;
    const auto size = static_cast<double>(live_count(membership) + 1);
    const bool crowded =
        membership.rumours.ranked.size() > settings.many_rumours;
    const double factor =
        crowded ? settings.crowded_rumour_factor : settings.rumour_factor;
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

void send_news(state& membership, endpoint to,
               const wire::member_record* correction, context& effects)
{
    send(membership, to, wire::news{}, correction, effects);
}

void send_plain(state& membership, endpoint to, wire::datagram message,
                context& effects)
{
    if (take(membership.datagrams, 1, effects.now)) {
        effects.emit(send_datagram{to, std::move(message)});
    }
}

void want_gossip(state& membership, boot_time now)
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
        // Without room in the budget for the datagram itself, the news waits.
        const auto bare = static_cast<double>(
            wire::base_size(wire::news{self_record(membership), {}, {}, {}}));
        const auto receiver = pick_live(membership);
        if (!has_news(membership) || !receiver ||
            !receivers.insert(*receiver).second ||
            !take(membership.rumour_bytes, bare, effects.now)) {
            continue;
        }
        membership.digest_sendings_left -=
            std::min(membership.digest_sendings_left, 1U);
        send_news(membership, membership.members[*receiver].record.peer,
                  nullptr, effects);
    }
    if (has_news(membership)) {
        want_gossip(membership, effects.now);
    }
}

void hasten_dead_probes(state& membership, duration interval, boot_time now)
{
    membership.dead_probe_interval =
        std::min(membership.dead_probe_interval, interval);
    membership.next_dead_probe =
        std::min(membership.next_dead_probe, now + interval);
}

void suppose_alive(state& membership, member_index index, boot_time now)
{
    bring_forward(ring_of(membership, ring::dead), index);
    hasten_dead_probes(membership,
                       membership.settings.shortest_dead_probe_interval, now);
}

void hasten_sync(state& membership, boot_time now)
{
    const auto spread = membership.settings.partition_sync_spread;
    const auto wait = std::chrono::duration_cast<duration>(
        spread * random_fraction(membership.random));
    membership.next_sync = std::min(membership.next_sync, now + wait);
}

} // namespace bulrushspring::membership
