#include "libraries/gateway/rate_spread.hpp"

#include "libraries/gateway/leaf_rates.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

constexpr std::size_t max_queued = 256;
constexpr double millirequests = 1000.0;
constexpr double max_rate = 1e9;

wire::leaf_rate statement_of(const leaf_state& leaf, boot_time now)
{
    const auto rate = std::min(leaf.rate_limit.value_or(0.0), max_rate);
    return {leaf.published.id, leaf.published.incarnation,
            leaf.rate_limit.has_value(),
            static_cast<std::uint64_t>(rate * millirequests),
            wire::age_of(leaf.rate_stated_at, now)};
}

void enqueue(rate_spread& self, const std::string& leaf)
{
    const auto queued =
        std::find_if(self.queue.begin(), self.queue.end(),
                     [&](const auto& each) { return each.leaf == leaf; });
    if (queued != self.queue.end()) {
        queued->transmissions = 0;
    } else if (self.queue.size() < max_queued) {
        self.queue.push_back({leaf});
    }
}

void send_rates(rate_spread& self, const leaf_pool& pool,
                std::span<const wire::member_record> live, context& context)
{
    std::erase_if(self.queue, [&](const auto& each) {
        return pool.leafs.count(each.leaf) == 0;
    });
    std::stable_sort(self.queue.begin(), self.queue.end(),
                     [](const auto& one, const auto& other) {
                         return one.transmissions < other.transmissions;
                     });
    const auto statement = [&](const queued_rate& each) {
        return std::optional(
            statement_of(pool.leafs.at(each.leaf), context.now));
    };
    membership::send_queued(self.sender, self.queue, &wire::leaf_rates::rates,
                            wire::max_rates_in_datagram, statement, live,
                            context.shared);
}

} // namespace

void advance(rate_spread& self, leaf_pool& pool,
             std::span<const wire::member_record> live, context& context)
{
    for (const auto& leaf : std::exchange(pool.changed_rates, {})) {
        enqueue(self, leaf);
    }
    if (self.queue.empty() || context.now < self.sender.next_send) {
        return;
    }
    self.sender.next_send = context.now + self.sender.settings.interval;
    if (live.size() > 1) {
        send_rates(self, pool, live, context);
    }
}

void receive(leaf_pool& pool, std::span<const wire::leaf_rate> rates,
             context& context)
{
    for (const auto& each : rates) {
        auto* leaf = find_leaf(pool, each.leaf);
        const auto stated_at = wire::time_of(each.stated_ms_ago, context.now);
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
    return self.queue.empty() ? boot_time::max() : self.sender.next_send;
}

} // namespace bulrushspring::gateway
