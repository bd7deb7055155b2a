#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_GOSSIP_SENDER_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_GOSSIP_SENDER_HPP

#include "base/random.hpp"
#include "libraries/limits/token_bucket.hpp"
#include "libraries/reducer/effect.hpp"
#include "libraries/wire/datagram.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <span>
#include <vector>

// Gossip of other libraries: records that are sent to random members until the
// fleet has them. Members' own updates are in gossip.hpp.
namespace bulrushspring::membership
{

struct gossip_options {
    duration interval = milliseconds{200};
    std::size_t fanout = 3; // receivers of each sending
    // Sendings of a record, as a multiple of log2 of the fleet's size.
    double transmission_factor = 3.0;
    double bytes_per_second = 2500;
    double bytes_burst = 10000;
};

struct gossip_sender {
    gossip_options settings;
    random_source random;
    boot_time next_send{};
    limits::token_bucket bytes;
};

inline gossip_sender make_gossip_sender(const gossip_options& settings,
                                        std::uint64_t seed, boot_time now)
{
    return {settings, random_source{seed}, now,
            limits::make_bucket(settings.bytes_per_second, settings.bytes_burst,
                                now)};
}

// Random members other than this daemon, which is the first of the live ones;
// there must be another. They are chosen evenly from all data centres.
inline std::vector<endpoint>
choose_receivers(gossip_sender& sender,
                 std::span<const wire::member_record> live)
{
    std::vector<endpoint> receivers;
    for (std::size_t i = 0; i < sender.settings.fanout; ++i) {
        const auto chosen = 1 + random_below(sender.random, live.size() - 1);
        const auto address = live[chosen].peer;
        if (std::find(receivers.begin(), receivers.end(), address) ==
            receivers.end()) {
            receivers.push_back(address);
        }
    }
    return receivers;
}

// Sends the first records of the queue, as many as `max_records`, a datagram
// and the rate limit allow, and removes those that were sent often enough.
// Elements of the queue count their `transmissions`. make_record makes the
// record of an element; none if it is not to be sent now. `records` is the list
// in the message.
template <typename Message, typename Record, typename Queued,
          typename MakeRecord>
void send_queued(gossip_sender& sender, std::vector<Queued>& queue,
                 std::vector<Record> Message::*records, std::size_t max_records,
                 const MakeRecord& make_record,
                 std::span<const wire::member_record> live, context& context)
{
    const auto receivers = choose_receivers(sender, live);
    Message message;
    const auto base = wire::base_size(message);
    const auto allowed =
        std::min(static_cast<std::size_t>(refill(sender.bytes, context.now)) /
                     receivers.size(),
                 wire::max_datagram_bytes);
    std::size_t size = base;
    for (auto& each : queue) {
        auto record = make_record(each);
        if (!record) {
            continue;
        }
        const auto added = wire::encoded_size(*record);
        if (size + added > allowed ||
            (message.*records).size() == max_records) {
            break;
        }
        size += added;
        each.transmissions += static_cast<std::uint32_t>(receivers.size());
        (message.*records).push_back(std::move(*record));
    }
    if ((message.*records).empty()) {
        return;
    }
    sender.bytes.tokens -= static_cast<double>(size * receivers.size());
    for (const auto& to : receivers) {
        context.emit(send_datagram{to, message});
    }
    const auto limit = static_cast<std::uint32_t>(
        std::ceil(sender.settings.transmission_factor *
                  std::log2(static_cast<double>(live.size() + 1))));
    std::erase_if(
        queue, [&](const auto& each) { return each.transmissions >= limit; });
}

} // namespace bulrushspring::membership

#endif
