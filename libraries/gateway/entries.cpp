#include "libraries/gateway/entries.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

using wire::member_record;
using members = std::vector<const member_record*>;

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

// Large daemons alone, unless they are too few or half of them overloaded.
members prefer_large(const entry_options& options, const members& from)
{
    std::uint32_t largest = 0;
    for (const auto* each : from) {
        largest = std::max(largest, each->capacity);
    }
    const auto large = those(from, [&](const auto& each) {
        return is_large(options, each, largest);
    });
    const bool enough =
        large.size() >= options.enough_large &&
        capacity_of(large) >= options.large_share * capacity_of(from) &&
        without_overloaded(large).size() * 2 > large.size();
    return enough ? large : from;
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

bool is_large(const entry_options& options, const member_record& record,
              std::uint32_t largest)
{
    return record.capacity >= options.large * largest;
}

std::uint32_t largest_capacity(std::span<const member_record> fleet)
{
    std::uint32_t largest = 0;
    for (const auto& each : fleet) {
        largest = std::max(largest, each.capacity);
    }
    return largest;
}

std::vector<endpoint> choose_entries(const entry_options& options,
                                     std::span<const member_record> live,
                                     std::string_view data_centre,
                                     random_source& random)
{
    members chosen;
    for (const auto& each : live) {
        chosen.push_back(&each);
    }
    chosen = prefer_large(options, chosen);
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
