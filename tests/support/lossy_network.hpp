#ifndef BULRUSHSPRING_TESTS_SUPPORT_LOSSY_NETWORK_HPP
#define BULRUSHSPRING_TESTS_SUPPORT_LOSSY_NETWORK_HPP

#include "libraries/reducer/effect.hpp"
#include "libraries/wire/datagram.hpp"
#include "libraries/wire/frame.hpp"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

// A deterministic network simulation between reducers: it drops and delays
// datagrams, partitions nodes and freezes them, on a simulated clock. Runs with
// the same seed are identical.
namespace bulrushspring::testing
{

// One simulated daemon, and counters of what it has sent.
struct network_node {
    std::string name;
    endpoint address;
    std::function<void(const event&, context&)> reduce;
    std::function<boot_time()> next_wakeup;
    bool up = true, frozen = false;
    std::uint32_t partition =
        0; // nodes of different partitions are partitioned
    std::vector<event> buffered_events; // received while frozen
    std::uint64_t last_identifier = 0;
    std::uint64_t datagrams = 0, datagram_bytes = 0, frame_bytes = 0;
};

struct lossy_network {
    random_source random;
    double loss_probability = 0; // probability that a datagram is dropped
    duration min_delay = milliseconds{1};
    duration max_extra_delay = milliseconds{4};
    // Limit per frozen node; further events are dropped.
    std::size_t max_buffered_events = 200;
    boot_time now{seconds{1000}};
    std::vector<network_node> nodes;
    std::unordered_map<endpoint, std::size_t> by_address;
    // Called with every effect after the network has processed it.
    std::function<void(network_node&, const effect&)> on_effect =
        [](network_node&, const effect&) {};

    std::map<std::pair<boot_time, std::uint64_t>, std::pair<std::size_t, event>>
        deliveries;
    std::set<std::pair<boot_time, std::size_t>> wakeups;
    // By node index; the same times as in wakeups.
    std::vector<boot_time> wakeup_of_node;
    std::unordered_map<std::uint64_t, std::pair<std::size_t, exchange_id>>
        requesters; // sender and its exchange, by peer token
    std::uint64_t last_sequence_number = 0;

    // Adds a node, or replaces the node at the same address, and returns its
    // index.
    std::size_t add(network_node node)
    {
        const auto [found, added] =
            by_address.emplace(node.address, nodes.size());
        const auto index = found->second;
        if (added) {
            nodes.emplace_back();
            wakeup_of_node.push_back(boot_time::max());
        }
        nodes[index] = std::move(node);
        schedule(index);
        return index;
    }

    // Updates the time of the node's next tick; a node that is down or frozen
    // has none.
    void schedule(std::size_t index)
    {
        wakeups.erase({wakeup_of_node[index], index});
        const bool runs = nodes[index].up && !nodes[index].frozen;
        wakeup_of_node[index] =
            runs ? nodes[index].next_wakeup() : boot_time::max();
        wakeups.insert({wakeup_of_node[index], index});
    }

    // Resumes a frozen node, which first handles the buffered events.
    void unfreeze(std::size_t index)
    {
        nodes[index].frozen = false;
        schedule(index);
        for (const auto& buffered :
             std::exchange(nodes[index].buffered_events, {})) {
            handle(index, buffered);
        }
    }

    // Passes an event to a node and carries out the effects. A frozen node
    // buffers the event, except ticks; a node that is down loses it.
    void handle(std::size_t index, const event& received)
    {
        auto& node = nodes[index];
        if (!node.up || node.frozen) {
            if (node.up && !std::holds_alternative<tick>(received) &&
                node.buffered_events.size() < max_buffered_events) {
                node.buffered_events.push_back(received);
            }
            return schedule(index);
        }
        std::vector<effect> effects;
        context step_context{now, effects, node.last_identifier};
        node.reduce(received, step_context);
        for (std::size_t i = 0; i < effects.size(); ++i) {
            const effect each = effects[i];
            if (const auto* raised = std::get_if<raise_event>(&each)) {
                node.reduce(raised->raised, step_context);
            } else if (const auto* sent = std::get_if<send_datagram>(&each)) {
                forward_datagram(index, *sent);
            } else if (const auto* asked =
                           std::get_if<send_peer_request>(&each)) {
                forward_request(index, *asked);
            } else if (const auto* reply = std::get_if<reply_to_peer>(&each)) {
                forward_reply(index, *reply);
            }
            on_effect(node, each);
        }
        schedule(index);
    }

    void schedule_delivery(std::size_t to, event sent, duration delay)
    {
        deliveries.emplace(std::pair{now + delay, ++last_sequence_number},
                           std::pair{to, std::move(sent)});
    }

    duration random_delay()
    {
        const auto extra = max_extra_delay * random_fraction(random);
        return min_delay + std::chrono::duration_cast<duration>(extra);
    }

    // Index of the node at an address; null if it is down or partitioned from
    // the sender.
    const std::size_t* find_reachable(std::size_t from, endpoint address) const
    {
        const auto found = by_address.find(address);
        const auto* node =
            found == by_address.end() ? nullptr : &nodes[found->second];
        const bool unreachable =
            !node || !node->up || node->partition != nodes[from].partition;
        return unreachable ? nullptr : &found->second;
    }

    void forward_datagram(std::size_t from, const send_datagram& sent)
    {
        auto& sender = nodes[from];
        const auto bytes = wire::encode(sent.message).value();
        sender.datagrams += 1;
        sender.datagram_bytes += bytes.size();
        const auto* to = find_reachable(from, sent.to);
        if (to == nullptr || random_fraction(random) < loss_probability) {
            return;
        }
        auto message = wire::decode_datagram(bytes, sender.name).value();
        schedule_delivery(*to,
                          datagram_received{sender.address, std::move(message)},
                          random_delay());
    }

    void forward_request(std::size_t from, const send_peer_request& asked)
    {
        nodes[from].frame_bytes += wire::encode(asked.request).value().size();
        const auto token = ++last_sequence_number;
        requesters[token] = {from, asked.exchange};
        if (const auto* to = find_reachable(from, asked.peer)) {
            schedule_delivery(*to,
                              peer_request_received{peer_token{token},
                                                    nodes[from].address,
                                                    asked.request},
                              random_delay());
        }
        // The timeout is always delivered. If the reply came first, the
        // exchange has ended and the node ignores the timeout.
        const result<wire::peer_reply> timeout(
            error{errc::timed_out, "ask peer", to_string(asked.peer), ""});
        schedule_delivery(from, peer_reply_received{asked.exchange, timeout},
                          asked.timeout);
    }

    void forward_reply(std::size_t from, const reply_to_peer& reply)
    {
        nodes[from].frame_bytes += wire::encode(reply.reply).value().size();
        const auto [requester, exchange] = requesters[raw(reply.token)];
        requesters.erase(raw(reply.token));
        if (nodes[requester].partition == nodes[from].partition) {
            schedule_delivery(requester,
                              peer_reply_received{exchange, reply.reply},
                              random_delay());
        }
    }

    // Advances the clock by the span and handles every delivery and tick that
    // is due, in the order of their times.
    void run_for(duration span)
    {
        const auto end = now + span;
        while (true) {
            const auto next_tick = wakeups.begin()->first;
            const auto next_delivery = deliveries.empty()
                                           ? boot_time::max()
                                           : deliveries.begin()->first.first;
            now = std::max(now, std::min({next_tick, next_delivery, end}));
            if (std::min(next_tick, next_delivery) > end) {
                return;
            }
            if (next_delivery <= next_tick) {
                auto next = deliveries.extract(deliveries.begin());
                handle(next.mapped().first, next.mapped().second);
            } else {
                handle(wakeups.begin()->second, tick{});
            }
        }
    }
};

} // namespace bulrushspring::testing

#endif
