#include "libraries/gateway/rate_share.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace bulrushspring::gateway
{
namespace
{

constexpr seconds count_half_life{60};
constexpr double min_rate_of_holder = 1.0; // requests a second
constexpr double reserve_share = 0.1;      // of the other daemons together
constexpr std::chrono::duration<double> max_burst_time{0.1};
constexpr seconds slot_validity{1};
// The longest wait for a request, so that times stay in range.
constexpr std::chrono::duration<double> max_wait = std::chrono::hours{24};

std::uint64_t rank_of(std::string_view daemon, std::uint64_t leaf)
{
    return stable_hash(daemon, leaf);
}

// Whether the daemon is among the first `holders` in the leaf's order.
bool is_holder(const rate_sharers& sharers, std::string_view daemon,
               std::string_view leaf, double holders)
{
    const auto seed = stable_hash(leaf);
    const auto own = rank_of(daemon, seed);
    bool serves = false;
    double before = 0;
    for (const auto& each : sharers.serving) {
        serves = serves || each == daemon;
        before += rank_of(each, seed) < own ? 1 : 0;
    }
    return serves && before < holders;
}

duration to_duration(std::chrono::duration<double> span)
{
    return std::chrono::duration_cast<duration>(span);
}

bool slot_is_open(const rate_gate& gate, boot_time now)
{
    return now >= gate.slot_at && now < gate.slot_at + slot_validity;
}

// Draws the time of the next slot: exponentially distributed, so that the slots
// of different daemons are independent of when they heard of the limit.
void draw_slot(rate_gate& gate, random_source& random, boot_time now)
{
    if (gate.part.per_second <= 0) {
        gate.slot_at = boot_time::max();
        return;
    }
    const std::chrono::duration<double> wait{
        -std::log1p(-random_fraction(random)) / gate.part.per_second};
    gate.slot_at = now + to_duration(std::min(wait, max_wait));
}

} // namespace

void update(rate_sharers& sharers, std::span<const wire::member_record> serving,
            std::size_t fleet_size, bool known, boot_time now)
{
    const auto passed = static_cast<double>((now - sharers.counted_at).count());
    const double kept = std::exp2(
        -passed / static_cast<double>(duration{count_half_life}.count()));
    sharers.counted_at = now;
    sharers.known = known;
    sharers.serving.clear();
    for (const auto& each : serving) {
        sharers.serving.push_back(each.name);
    }
    const auto remember = [&](double& count, std::size_t present) {
        count = std::max({count * kept, static_cast<double>(present), 1.0});
    };
    remember(sharers.serving_count, serving.size());
    remember(sharers.fleet_count, fleet_size);
}

rate_part part_of(const rate_sharers& sharers, std::string_view daemon,
                  std::string_view leaf, double limit)
{
    if (!sharers.known) {
        return {};
    }
    const double holders = std::clamp(std::floor(limit / min_rate_of_holder),
                                      1.0, std::ceil(sharers.serving_count));
    const double others = std::ceil(sharers.fleet_count) - holders;
    const double reserve = others >= 1.0 ? limit * reserve_share : 0.0;
    if (is_holder(sharers, daemon, leaf, holders)) {
        return {(limit - reserve) / holders, true};
    }
    return {others >= 1.0 ? reserve / others : 0.0, false};
}

void set_part(rate_gate& gate, const rate_part& part, random_source& random,
              boot_time now)
{
    const bool changed = gate.part.holder != part.holder ||
                         gate.part.per_second != part.per_second;
    if (!changed) {
        return;
    }
    const bool was_holder = gate.part.holder;
    const double tokens =
        was_holder ? membership::refill(gate.bucket, now) : 0.0;
    gate.part = part;
    if (part.holder) {
        gate.bucket = membership::make_bucket(
            part.per_second,
            std::max(1.0, part.per_second * max_burst_time.count()), now);
        gate.bucket.tokens = std::min(tokens, gate.bucket.capacity);
    } else {
        draw_slot(gate, random, now);
    }
}

boot_time admits_at(const rate_gate& gate, boot_time now)
{
    if (gate.part.per_second <= 0) {
        return boot_time::max();
    }
    const auto after = [&](double requests) {
        const std::chrono::duration<double> wait{requests /
                                                 gate.part.per_second};
        return now + to_duration(std::min(wait, max_wait));
    };
    if (gate.part.holder) {
        constexpr double rounding = 1e-6;
        const double missing = 1.0 - membership::available(gate.bucket, now);
        return missing <= rounding ? now : after(missing);
    }
    if (now < gate.slot_at) {
        return gate.slot_at;
    }
    return slot_is_open(gate, now) ? now : after(1.0);
}

void count_request(rate_gate& gate, random_source& random, boot_time now)
{
    if (gate.part.holder) {
        membership::refill(gate.bucket, now);
        gate.bucket.tokens -= 1.0;
    } else {
        draw_slot(gate, random, now);
    }
}

void renew_slot(rate_gate& gate, random_source& random, boot_time now)
{
    if (!gate.part.holder && gate.slot_at != boot_time::max() &&
        now >= gate.slot_at + slot_validity) {
        draw_slot(gate, random, now);
    }
}

} // namespace bulrushspring::gateway
