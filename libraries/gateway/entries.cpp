#include "libraries/gateway/entries.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

using wire::member_record;
using members = std::vector<const member_record*>;

double capacity_of(const members& daemons)
{
    double total = 0;
    for (const auto* each : daemons) {
        total += each->capacity;
    }
    return total;
}

template <typename Predicate>
members filter(const members& from, Predicate predicate)
{
    members found;
    std::copy_if(from.begin(), from.end(), std::back_inserter(found),
                 [&](const auto* each) { return predicate(*each); });
    return found;
}

members without_overloaded(const members& from)
{
    return filter(from, [](const auto& each) { return !each.overloaded; });
}

// Only the large daemons, unless they are too few, have too little of the
// capacity, or half of them or more are overloaded.
members prefer_large(const entry_options& options, const members& from)
{
    std::uint32_t largest = 0;
    for (const auto* each : from) {
        largest = std::max(largest, each->capacity);
    }
    const auto large = filter(from, [&](const auto& each) {
        return is_large(options, each, largest);
    });
    const bool enough = large.size() >= options.min_large &&
                        capacity_of(large) >= options.min_large_capacity_share *
                                                  capacity_of(from) &&
                        without_overloaded(large).size() * 2 > large.size();
    return enough ? large : from;
}

// Excludes overloaded daemons while they are a minority; otherwise the others
// could not take their load.
members avoid_overloaded(const members& from)
{
    auto not_overloaded = without_overloaded(from);
    return not_overloaded.size() * 2 > from.size() ? not_overloaded : from;
}

members prefer_local(const entry_options& options, const members& from,
                     std::string_view data_centre)
{
    auto local = filter(from, [&](const auto& each) {
        return each.data_centre == data_centre;
    });
    return local.size() >= options.min_local ? local : from;
}

} // namespace

bool is_large(const entry_options& options, const member_record& record,
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
    chosen = prefer_local(options, chosen, data_centre);
    shuffle(std::span(chosen), random);
    chosen.resize(std::min(chosen.size(), options.max_entries));
    std::vector<endpoint> entries;
    entries.reserve(chosen.size());
    for (const auto* each : chosen) {
        entries.push_back(each->caller);
    }
    return entries;
}

} // namespace bulrushspring::gateway
