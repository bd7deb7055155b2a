#include "libraries/gateway/serving_set.hpp"

#include "base/hash.hpp"
#include "libraries/limits/decay.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

using wire::member_record;

double effective_capacity(const member_record& record, std::uint32_t largest)
{
    return largest == 0 ? 1.0
                        : static_cast<double>(record.capacity) *
                              record.capacity / largest;
}

// The candidates in the order in which they are selected.
std::vector<const member_record*>
order_by_capacity(std::span<const member_record> candidates)
{
    struct ranked {
        std::uint64_t hash = 0;
        const member_record* record = nullptr;
    };
    std::vector<ranked> ranking;
    ranking.reserve(candidates.size());
    for (const auto& each : candidates) {
        ranking.push_back({stable_hash(each.name), &each});
    }
    std::sort(ranking.begin(), ranking.end(),
              [](const ranked& left, const ranked& right) {
                  return left.record->capacity != right.record->capacity
                             ? left.record->capacity > right.record->capacity
                             : left.hash < right.hash;
              });
    std::vector<const member_record*> ordered;
    ordered.reserve(ranking.size());
    for (const auto& each : ranking) {
        ordered.push_back(each.record);
    }
    return ordered;
}

void decay_requirements(serving_set& set, const serving_options& options,
                        boot_time now)
{
    if (set.reviewed_at != boot_time::min()) {
        const double kept =
            limits::decay_factor(now - set.reviewed_at, options.half_life);
        set.grown_requirement *= kept;
        set.large_capacity *= kept;
    }
    set.reviewed_at = now;
}

// Raises the requirement if most of the serving capacity is overloaded.
void grow_if_overloaded(serving_set& set, const serving_options& options,
                        double serving, double overloaded, boot_time now)
{
    const bool recently_grown = set.grown_at != boot_time::min() &&
                                now - set.grown_at < options.growth_interval;
    if (overloaded * 2 < serving || overloaded <= 0 || recently_grown) {
        return;
    }
    set.grown_at = now;
    set.grown_requirement = options.growth_factor * serving;
}

// Selects all large candidates, and further ones until they meet the
// requirement.
void select(serving_set& set, const serving_options& options,
            std::span<const member_record* const> ordered,
            std::uint32_t largest, double required)
{
    set.members.clear();
    double selected = 0;
    for (const auto* each : ordered) {
        if (!is_large(options, *each, largest) && selected >= required &&
            set.members.size() >= options.min_serving) {
            break;
        }
        selected += effective_capacity(*each, largest);
        set.members.push_back(*each);
    }
}

} // namespace

bool is_large(const serving_options& options, const member_record& record,
              std::uint32_t largest)
{
    return record.capacity >= options.large_capacity_share * largest;
}

std::uint32_t largest_capacity(std::span<const member_record> fleet)
{
    std::uint32_t largest = 0;
    for (const auto& each : fleet) {
        largest = std::max(largest, each.capacity);
    }
    return largest;
}

void review(serving_set& set, const serving_options& options,
            std::span<const member_record> candidates, boot_time now)
{
    decay_requirements(set, options, now);
    const auto ordered = order_by_capacity(candidates);
    const auto largest = largest_capacity(candidates);
    double fleet = 0;
    double large = 0;
    for (const auto* each : ordered) {
        fleet += each->capacity;
        if (is_large(options, *each, largest)) {
            large += effective_capacity(*each, largest);
        }
    }
    set.large_capacity = std::max(set.large_capacity, large);
    const auto required = [&] {
        return std::max({options.min_fleet_share * fleet,
                         options.min_large_share * set.large_capacity,
                         set.grown_requirement});
    };
    select(set, options, ordered, largest, required());
    double serving = 0;
    double overloaded = 0;
    for (const auto& each : set.members) {
        const double capacity = effective_capacity(each, largest);
        serving += capacity;
        overloaded += each.overloaded ? capacity : 0;
    }
    grow_if_overloaded(set, options, serving, overloaded, now);
    if (set.grown_at == now) {
        select(set, options, ordered, largest, required());
    }
}

bool serves(const serving_set& set, std::string_view name)
{
    return std::any_of(set.members.begin(), set.members.end(),
                       [&](const auto& each) { return each.name == name; });
}

} // namespace bulrushspring::gateway
