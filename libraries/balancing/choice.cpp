#include "libraries/balancing/choice.hpp"

#include "libraries/limits/decay.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace bulrushspring::balancing
{
namespace
{

// Costs added to that of a leaf.
constexpr double avoided_cost = 1000.0;
constexpr double unlisted_cost = 100000.0;
constexpr double opening_cost = 1.0;
constexpr double cold_cost = 0.6; // a cold leaf takes over 1.5 times as long

// Costs of the learned model for the same, as exponents.
constexpr double avoided_exponent = 7.0;
constexpr double unlisted_exponent = 14.0;

// Below this, what a leaf states of its slots is not counted against it: the
// latency shows where it slows down earlier, and honest leafs would lose to
// those that state nothing or falsehoods.
constexpr double full_load = 1.0;

// Within these, the time until the objective is compared with the latency.
constexpr double min_time_left = 0.05;
constexpr double max_time_left = 100.0;

double penalty_of(const candidate& each, boot_time now)
{
    double cost = 0;
    if (now < each.leaf->avoid_until || each.unreachable) {
        cost += avoided_exponent;
    }
    if (each.suspect || each.skipped) {
        cost += avoided_exponent;
    }
    if (each.unlisted) {
        cost += unlisted_exponent;
    }
    return cost;
}

// The share of the leaf's slots that it has stated to be in use, which counts
// less with age.
double stated_load_of(const candidate& each, const options& settings,
                      boot_time now)
{
    const auto& leaf = *each.leaf;
    return leaf.stated_load <= full_load
               ? leaf.stated_load
               : leaf.stated_load *
                     limits::decay_factor(now - leaf.stated_at,
                                          settings.statement_half_life);
}

// Sets how far the stated load of each candidate exceeds both its slots and the
// median.
void compare_stated_loads(std::span<candidate> candidates,
                          const options& settings, boot_time now)
{
    double highest = 0;
    for (auto& each : candidates) {
        each.stated_load = stated_load_of(each, settings, now);
        highest = std::max(highest, each.stated_load);
    }
    double reference = full_load;
    if (highest > full_load) {
        std::vector<double> loads;
        loads.reserve(candidates.size());
        for (const auto& each : candidates) {
            loads.push_back(each.stated_load);
        }
        const auto median =
            loads.begin() + static_cast<std::ptrdiff_t>(loads.size() / 2);
        std::nth_element(loads.begin(), median, loads.end());
        reference = std::max(reference, *median);
    }
    for (auto& each : candidates) {
        each.stated_load = std::max(each.stated_load - reference, 0.0);
    }
}

std::size_t least_cost(std::span<candidate> candidates, const options& settings,
                       random_source& random, boot_time now)
{
    constexpr double tie_breaking_share = 0.1;
    std::size_t best = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        // Random tie-breaking: leafs of equal cost must not be taken in the
        // order of their ids.
        candidates[i].cost =
            cost_of(candidates[i], settings, now) *
            (1.0 + tie_breaking_share * random_fraction(random));
        if (candidates[i].cost < candidates[best].cost) {
            best = i;
        }
    }
    return best;
}

std::size_t weighted(std::span<candidate> candidates, const demand& demand,
                     const options& settings, random_source& random,
                     boot_time now)
{
    compare_stated_loads(candidates, settings, now);
    double least = std::numeric_limits<double>::max();
    double least_near = std::numeric_limits<double>::max();
    for (auto& each : candidates) {
        each.cost = learned_cost_of(each, demand, settings, now);
        least = std::min(least, each.cost);
        if (!each.remote) {
            least_near = std::min(least_near, each.cost);
        }
    }
    double sum = 0;
    for (auto& each : candidates) {
        // While a leaf of this data centre is worth its cost, none of another
        // one is used, whose traffic is charged.
        each.cost =
            each.remote && each.cost >= least_near
                ? 0.0
                : std::exp(settings.selection_exponent * (least - each.cost));
        sum += each.cost;
    }
    double left = sum * random_fraction(random);
    for (std::size_t i = 0; i + 1 < candidates.size(); ++i) {
        left -= candidates[i].cost;
        if (left < 0) {
            return i;
        }
    }
    return candidates.size() - 1;
}

// The leaf that is believed to be slow and has not answered for the longest
// time, if it is expected to answer this request in time nevertheless.
std::optional<std::size_t> to_probe(std::span<const candidate> candidates,
                                    const demand& demand,
                                    const options& settings, boot_time now)
{
    // A leaf whose last samples were well below the usual ones is probed again
    // at once.
    constexpr double recovering_margin = 0.2;
    constexpr double safety_factor = 1.5;
    const double slow = std::log(settings.recovered_ratio);
    const double longest_in_time = std::log(
        std::max(demand.relative_time_left / safety_factor, min_time_left));
    std::optional<std::size_t> oldest;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& each = candidates[i];
        const auto& latency = each.leaf->latency;
        const double expected = expected_latency(*each.leaf, settings, now);
        const bool due = now - latency.sampled_at >= settings.probe_interval ||
                         latency.recent < latency.usual - recovering_margin;
        if (expected < slow || expected > longest_in_time || !due ||
            each.in_flight > 0 || each.remote || !each.connected ||
            penalty_of(each, now) > 0) {
            continue;
        }
        if (!oldest ||
            latency.sampled_at < candidates[*oldest].leaf->latency.sampled_at) {
            oldest = i;
        }
    }
    return oldest;
}

} // namespace

double cost_of(const candidate& each, const options& settings, boot_time now)
{
    double cost =
        latency_ratio_at(settings, *each.leaf, now) * (1.0 + each.in_flight);
    cost *= 1.0 + settings.refusal_weight *
                      refusal_rate_at(settings, *each.leaf, now);
    if (each.remote) {
        cost *= settings.remote_cost_factor;
    }
    if (!each.connected) {
        cost += opening_cost;
    }
    if (each.cold) {
        cost += cold_cost;
    }
    if (now < each.leaf->avoid_until || each.unreachable) {
        cost += avoided_cost;
    }
    if (each.skipped) {
        cost += avoided_cost;
    }
    if (each.suspect) {
        cost += avoided_cost;
    }
    if (each.unlisted) {
        cost += unlisted_cost;
    }
    return cost;
}

double learned_cost_of(const candidate& each, const demand& demand,
                       const options& settings, boot_time now)
{
    const auto& leaf = *each.leaf;
    const double latency = expected_latency(leaf, settings, now);
    double cost = latency;
    if (demand.part_of_query && demand.relative_time_left < max_time_left) {
        cost += settings.late_weight *
                chance_above(leaf.latency, latency,
                             std::log(std::max(demand.relative_time_left,
                                               min_time_left)));
    }
    if (leaf.refusal_rate > 0) {
        cost += std::log1p(settings.refusal_weight *
                           refusal_rate_at(settings, leaf, now));
    }
    if (each.remote) {
        cost += std::log(settings.remote_cost_factor);
    }
    const double own_load = static_cast<double>(each.in_flight) /
                            static_cast<double>(std::max(each.slots, 1U));
    cost += settings.busy_weight * std::log1p(each.in_flight) +
            settings.overload_weight *
                std::max(own_load - settings.busy_share, each.stated_load);
    cost += each.connected ? 0.0 : std::log(1.0 + opening_cost);
    cost += each.cold ? std::log(1.0 + cold_cost) : 0.0;
    return cost + penalty_of(each, now);
}

std::optional<choice> choose(std::span<candidate> candidates,
                             const demand& demand, const options& settings,
                             random_source& random, boot_time now)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (!settings.learned) {
        return choice{least_cost(candidates, settings, random, now)};
    }
    if (candidates.size() == 1) {
        return choice{0};
    }
    const auto period = demand.part_of_query ? settings.gather_probe_period
                                             : settings.probe_period;
    if (random_below(random, period) == 0) {
        if (const auto probed = to_probe(candidates, demand, settings, now)) {
            return choice{*probed, true};
        }
    }
    return choice{weighted(candidates, demand, settings, random, now)};
}

} // namespace bulrushspring::balancing
