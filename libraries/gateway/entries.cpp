#include "libraries/gateway/entries.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

using wire::member_record;
using members = std::vector<const member_record*>;

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

std::vector<endpoint> choose_entries(const entry_options& options,
                                     std::span<const member_record> serving,
                                     std::string_view data_centre,
                                     random_source& random)
{
    members chosen;
    for (const auto& each : serving) {
        chosen.push_back(&each);
    }
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
