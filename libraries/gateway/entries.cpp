#include "libraries/gateway/entries.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

using wire::member_record;

double capacity_of(const members& some)
{
    double total = 0;
    for (const auto* each : some) {
        total += each->capacity;
    }
    return total;
}

template <typename Predicate>
members those(const members& from, Predicate wanted)
{
    members found;
    std::copy_if(from.begin(), from.end(), std::back_inserter(found),
                 [&](const auto* each) { return wanted(*each); });
    return found;
}

members without_overloaded(const members& from)
{
    return those(from, [](const auto& each) { return !each.overloaded; });
}

// Large daemons alone, unless they are too few.
members prefer_large(const entry_options& options, const members& from)
{
    std::uint32_t largest = 0;
    for (const auto* each : from) {
        largest = std::max(largest, each->capacity);
    }
    auto large = those(from, [&](const auto& each) {
        return each.capacity >= options.large * largest;
    });
    const bool enough =
        large.size() >= options.enough_large &&
        capacity_of(large) >= options.large_share * capacity_of(from);
    return enough ? large : from;
}

// The first few by a hash of their names.
members limit(members from, std::size_t most)
{
    if (from.size() <= most) {
        return from;
    }
    const auto rank = [](const auto* each) {
        return std::pair(stable_hash(each->name), std::string_view(each->name));
    };
    std::sort(from.begin(), from.end(),
              [&](const auto* one, const auto* other) {
                  return rank(one) > rank(other);
              });
    from.resize(most);
    return from;
}

members pointers_to(std::span<const member_record> live)
{
    members all;
    all.reserve(live.size());
    for (const auto& each : live) {
        all.push_back(&each);
    }
    return all;
}

// Overloaded daemons are left out while they are the fewer ones; else the
// others could not take their load.
members avoid_overloaded(const members& from)
{
    auto calm = without_overloaded(from);
    return calm.size() * 2 > from.size() ? calm : from;
}

members prefer_near(const entry_options& options, const members& from,
                    std::string_view data_centre)
{
    auto near = those(from, [&](const auto& each) {
        return each.data_centre == data_centre;
    });
    return near.size() >= options.enough_near ? near : from;
}

} // namespace

members active_members(const entry_options& options,
                       std::span<const member_record> live,
                       std::size_t most_active)
{
    return limit(prefer_large(options, pointers_to(live)), most_active);
}

std::vector<endpoint> choose_entries(const entry_options& options,
                                     std::span<const member_record> live,
                                     std::size_t most_active,
                                     std::string_view data_centre,
                                     random_source& random)
{
    auto chosen = active_members(options, live, most_active);
    if (without_overloaded(chosen).size() * 2 <= chosen.size()) {
        chosen = pointers_to(live); // the others are needed too
    }
    chosen = avoid_overloaded(chosen);
    chosen = prefer_near(options, chosen, data_centre);
    shuffle(std::span(chosen), random);
    chosen.resize(std::min(chosen.size(), options.most));
    std::vector<endpoint> entries;
    entries.reserve(chosen.size());
    for (const auto* each : chosen) {
        entries.push_back(each->caller);
    }
    return entries;
}

} // namespace bulrushspring::gateway
