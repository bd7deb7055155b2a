#include "libraries/gateway/rate_share.hpp"

#include "base/hash.hpp"
#include "libraries/limits/decay.hpp"

#include <algorithm>
#include <cmath>

namespace bulrushspring::gateway
{
namespace
{

constexpr seconds count_half_life{60};
constexpr double min_rate_of_owner = 1.0; // requests a second
constexpr double reserve_share = 0.1;     // of the other daemons together
constexpr std::chrono::duration<double> max_burst_time{0.1};
constexpr seconds permit_validity{1};
// The longest wait for a request, so that times stay in range.
constexpr std::chrono::duration<double> max_wait = std::chrono::hours{24};

std::uint64_t rank_of(std::string_view daemon, std::uint64_t leaf)
{
    return stable_hash(daemon, leaf);
}

// Whether the daemon is among the first `owners` in the leaf's order.
bool is_owner(const rate_sharers& sharers, std::string_view daemon,
              std::string_view leaf, double owners)
{
    const auto seed = stable_hash(leaf);
    const auto own = rank_of(daemon, seed);
    bool serves = false;
    double before = 0;
    for (const auto& each : sharers.serving) {
        serves = serves || each == daemon;
        before += rank_of(each, seed) < own ? 1 : 0;
    }
    return serves && before < owners;
}

duration to_duration(std::chrono::duration<double> span)
{
    return std::chrono::duration_cast<duration>(span);
}

bool permit_is_valid(const rate_gate& gate, boot_time now)
{
    return now >= gate.permit_at && now < gate.permit_at + permit_validity;
}

// Draws the time of the next permit: exponentially distributed, so that the
// permits of different daemons are independent of when they heard of the limit.
void draw_permit(rate_gate& gate, random_source& random, boot_time now)
{
    if (gate.share.per_second <= 0) {
        gate.permit_at = boot_time::max();
        return;
    }
    const std::chrono::duration<double> wait{
        -std::log1p(-random_fraction(random)) / gate.share.per_second};
    gate.permit_at = now + to_duration(std::min(wait, max_wait));
}

struct daemon_counts {
    double serving = 1;
    double fleet = 1;
};

rate_share divide(const rate_sharers& sharers, std::string_view daemon,
                  std::string_view leaf, double limit,
                  const daemon_counts& counts)
{
    if (!sharers.known) {
        return {};
    }
    const double owners = std::clamp(std::floor(limit / min_rate_of_owner), 1.0,
                                     std::ceil(counts.serving));
    const double others = std::ceil(counts.fleet) - owners;
    const double reserve = others >= 1.0 ? limit * reserve_share : 0.0;
    if (is_owner(sharers, daemon, leaf, owners)) {
        return {(limit - reserve) / owners, true};
    }
    return {others >= 1.0 ? reserve / others : 0.0, false};
}

// Raises the highest counts so far. Returns whether one has changed.
bool raise(double& most, std::size_t present)
{
    const double before = most;
    most = std::max(most, static_cast<double>(present));
    return most > before;
}

} // namespace

void update(rate_sharers& sharers, std::span<const wire::member_record> serving,
            std::size_t fleet_size, bool known, boot_time now)
{
    const double kept =
        limits::decay_factor(now - sharers.counted_at, count_half_life);
    sharers.counted_at = now;
    std::vector<std::string> names;
    names.reserve(serving.size());
    for (const auto& each : serving) {
        names.push_back(each.name);
    }
    const bool more_serving = raise(sharers.most_serving, serving.size());
    const bool more_in_fleet = raise(sharers.most_in_fleet, fleet_size);
    const bool changed = more_serving || more_in_fleet ||
                         sharers.known != known || sharers.serving != names;
    sharers.generation += changed ? 1 : 0;
    sharers.known = known;
    sharers.serving = std::move(names);
    const auto remember = [&](double& count, std::size_t present) {
        count = std::max({count * kept, static_cast<double>(present), 1.0});
    };
    remember(sharers.serving_count, serving.size());
    remember(sharers.fleet_count, fleet_size);
}

rate_share share_of(const rate_sharers& sharers, std::string_view daemon,
                    std::string_view leaf, double limit)
{
    return divide(sharers, daemon, leaf, limit,
                  {sharers.serving_count, sharers.fleet_count});
}

rate_share cold_share_of(const rate_sharers& sharers, std::string_view daemon,
                         std::string_view leaf, double per_second,
                         const cold_bound& bound)
{
    constexpr double share_of_overshoot = 0.3;
    constexpr double share_of_slack = 0.1;
    const double limit = per_second * bound.overshoot * share_of_overshoot +
                         bound.slack * share_of_slack;
    return divide(sharers, daemon, leaf, limit,
                  {sharers.most_serving, sharers.most_in_fleet});
}

void set_share(rate_gate& gate, const rate_share& share, random_source& random,
               boot_time now)
{
    const bool changed = gate.share.owner != share.owner ||
                         gate.share.per_second != share.per_second;
    if (!changed) {
        return;
    }
    const bool was_owner = gate.share.owner;
    const double tokens = was_owner ? limits::refill(gate.bucket, now) : 0.0;
    gate.share = share;
    if (share.owner) {
        gate.bucket = limits::make_bucket(
            share.per_second,
            std::max(1.0, share.per_second * max_burst_time.count()), now);
        gate.bucket.tokens = std::min(tokens, gate.bucket.capacity);
    } else {
        draw_permit(gate, random, now);
    }
}

boot_time admits_at(const rate_gate& gate, boot_time now)
{
    if (gate.share.per_second <= 0) {
        return boot_time::max();
    }
    const auto after = [&](double requests) {
        const std::chrono::duration<double> wait{requests /
                                                 gate.share.per_second};
        return now + to_duration(std::min(wait, max_wait));
    };
    if (gate.share.owner) {
        constexpr double rounding = 1e-6;
        const double missing = 1.0 - limits::available(gate.bucket, now);
        return missing <= rounding ? now : after(missing);
    }
    if (now < gate.permit_at) {
        return gate.permit_at;
    }
    return permit_is_valid(gate, now) ? now : after(1.0);
}

void count_request(rate_gate& gate, random_source& random, boot_time now)
{
    if (gate.share.owner) {
        limits::refill(gate.bucket, now);
        gate.bucket.tokens -= 1.0;
    } else {
        draw_permit(gate, random, now);
    }
}

void renew_permit(rate_gate& gate, random_source& random, boot_time now)
{
    if (!gate.share.owner && gate.permit_at != boot_time::max() &&
        now >= gate.permit_at + permit_validity) {
        draw_permit(gate, random, now);
    }
}

} // namespace bulrushspring::gateway
