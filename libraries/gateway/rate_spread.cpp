#include "libraries/gateway/rate_spread.hpp"

#include "libraries/membership/receivers.hpp"
#include "libraries/wire/datagram.hpp"

#include <algorithm>
#include <limits>

namespace bulrushspring::gateway
{
namespace
{

constexpr double millirequests = 1000.0;
constexpr double max_rate = 1e9;

wire::leaf_rate statement_of(const leaf_state& leaf, boot_time now)
{
    constexpr std::int64_t max_age = std::numeric_limits<std::uint32_t>::max();
    const auto rate = std::min(leaf.rate_limit.value_or(0.0), max_rate);
    return {leaf.published.id, leaf.published.incarnation,
            leaf.rate_limit.has_value(),
            static_cast<std::uint64_t>(rate * millirequests),
            static_cast<std::uint32_t>(std::clamp<std::int64_t>(
                to_milliseconds(now - leaf.rate_stated_at), 0, max_age))};
}

void enqueue(rate_spread& self, const std::string& leaf)
{
    const auto queued =
        std::find_if(self.queue.begin(), self.queue.end(),
                     [&](const auto& each) { return each.leaf == leaf; });
    if (queued != self.queue.end()) {
        queued->transmissions = 0;
    } else if (self.queue.size() < self.settings.max_queued) {
        self.queue.push_back({leaf});
    }
}

// Takes the statements to send next, the least sent ones first, as many as fit
// into `room` bytes.
wire::leaf_rates take_rates(rate_spread& self, const leaf_pool& pool,
                            std::size_t room, std::uint32_t receivers,
                            boot_time now)
{
    wire::leaf_rates message;
    std::stable_sort(self.queue.begin(), self.queue.end(),
                     [](const auto& one, const auto& other) {
                         return one.transmissions < other.transmissions;
                     });
    for (auto& each : self.queue) {
        const auto found = pool.leafs.find(each.leaf);
        if (found == pool.leafs.end()) {
            each.transmissions = std::numeric_limits<std::uint32_t>::max();
            continue;
        }
        auto statement = statement_of(found->second, now);
        const auto size = wire::encoded_size(statement);
        if (size > room ||
            message.rates.size() == wire::max_rates_in_datagram) {
            break;
        }
        room -= size;
        each.transmissions += receivers;
        message.rates.push_back(std::move(statement));
    }
    return message;
}

void send_rates(rate_spread& self, const leaf_pool& pool,
                std::span<const wire::member_record> live, context& context)
{
    const auto receivers =
        membership::choose_receivers(self.random, live, self.settings.fanout);
    const auto base = wire::base_size(wire::leaf_rates{});
    const auto allowed =
        std::min(static_cast<std::size_t>(refill(self.bytes, context.now)) /
                     receivers.size(),
                 wire::max_datagram_bytes);
    if (allowed <= base) {
        return;
    }
    const auto message =
        take_rates(self, pool, allowed - base,
                   static_cast<std::uint32_t>(receivers.size()), context.now);
    const auto limit = membership::max_transmissions(
        self.settings.transmission_factor, live.size());
    std::erase_if(self.queue, [&](const auto& each) {
        return each.transmissions >= limit;
    });
    if (message.rates.empty()) {
        return;
    }
    std::size_t size = base;
    for (const auto& each : message.rates) {
        size += wire::encoded_size(each);
    }
    self.bytes.tokens -= static_cast<double>(size * receivers.size());
    for (const auto& to : receivers) {
        context.shared.emit(send_datagram{to, message});
    }
}

} // namespace

rate_spread make_rate_spread(const rate_spread_options& settings,
                             std::uint64_t seed, boot_time now)
{
    rate_spread made;
    made.settings = settings;
    made.random.seed(seed);
    made.next_send = now;
    made.bytes = membership::make_bucket(settings.bytes_per_second,
                                         settings.bytes_burst, now);
    return made;
}

void advance(rate_spread& self, leaf_pool& pool,
             std::span<const wire::member_record> live, context& context)
{
    for (const auto& leaf : std::exchange(pool.changed_rates, {})) {
        enqueue(self, leaf);
    }
    if (self.queue.empty() || context.now < self.next_send) {
        return;
    }
    self.next_send = context.now + self.settings.interval;
    if (live.size() > 1) {
        send_rates(self, pool, live, context);
    }
}

void receive(leaf_pool& pool, std::span<const wire::leaf_rate> rates,
             context& context)
{
    for (const auto& each : rates) {
        auto* leaf = find_leaf(pool, each.leaf);
        const auto stated_at = context.now - milliseconds{each.stated_ms_ago};
        if (leaf == nullptr ||
            leaf->published.incarnation != each.incarnation ||
            stated_at <= leaf->rate_stated_at) {
            continue;
        }
        const auto rate =
            static_cast<double>(each.millirequests_per_second) / millirequests;
        set_rate_limit(pool, *leaf,
                       each.limited ? std::optional(rate) : std::nullopt,
                       stated_at, context);
    }
}

boot_time next_wakeup(const rate_spread& self)
{
    return self.queue.empty() ? boot_time::max() : self.next_send;
}

} // namespace bulrushspring::gateway
