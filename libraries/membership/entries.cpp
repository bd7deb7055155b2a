#include "libraries/membership/membership.hpp"

#include "libraries/membership/members.hpp"

#include <algorithm>

namespace bulrushspring::membership
{
namespace
{

// Data centres at the same distance from the caller, whose entries are chosen
// alike.
struct tier {
    std::vector<data_centre_group*> groups;
};

// Chooses a group at random, weighted by its number of entries. Returns nullptr
// if there are no entries.
data_centre_group* pick_group(const tier& from, random_source& random)
{
    std::size_t total = 0;
    for (const auto* group : from.groups) {
        total += group->entries.members.size();
    }
    if (total == 0) {
        return nullptr;
    }
    auto left = random_below(random, total);
    for (auto* group : from.groups) {
        const auto size = group->entries.members.size();
        if (left < size) {
            return group;
        }
        left -= size;
    }
    return nullptr;
}

// Takes entries from a tier until max_count are chosen or none is left.
void choose_from_tier(const tier& from, std::size_t max_count,
                      std::vector<member_index>& chosen, random_source& random)
{
    std::size_t left = 0;
    for (const auto* group : from.groups) {
        left += group->entries.members.size();
    }
    while (left > 0 && chosen.size() < max_count) {
        auto* group = pick_group(from, random);
        const auto next = take_next(group->entries, random, chosen);
        if (next) {
            chosen.push_back(*next);
            --left;
        }
    }
}

// Returns the tiers for callers of a data centre: that data centre, the rest of
// its region, all others. If the data centre is not known, all groups are in
// the first tier.
std::array<tier, 3> tiers_for(state& membership, std::string_view data_centre)
{
    std::array<tier, 3> tiers;
    const auto own = std::find_if(
        membership.groups.begin(), membership.groups.end(),
        [&](const auto& group) { return group.name == data_centre; });
    for (auto& group : membership.groups) {
        if (own == membership.groups.end() || group.name == data_centre) {
            tiers[0].groups.push_back(&group);
        } else if (group.region == own->region) {
            tiers[1].groups.push_back(&group);
        } else {
            tiers[2].groups.push_back(&group);
        }
    }
    return tiers;
}

// Adds suspects to the choice. An isolated daemon does not trust its own
// suspicions: callers may reach entries that it can't.
void add_suspects(const state& membership, std::size_t max_count,
                  std::vector<member_index>& chosen)
{
    for (const auto& record : membership.live.members) {
        if (chosen.size() >= max_count) {
            return;
        }
        const auto index = membership.by_name.at(record.name);
        const auto& each = membership.members[index];
        if (record.status == wire::member_status::suspect &&
            !each.listed_leaving) {
            chosen.push_back(index);
        }
    }
}

} // namespace

std::vector<entry_address> choose_entries(state& membership,
                                          std::string_view data_centre,
                                          std::size_t max_count)
{
    std::vector<member_index> chosen;
    for (const auto& tier : tiers_for(membership, data_centre)) {
        choose_from_tier(tier, max_count, chosen, membership.random);
    }
    if (membership.isolated) {
        add_suspects(membership, max_count, chosen);
    }
    std::vector<entry_address> entries;
    entries.reserve(chosen.size());
    for (const auto index : chosen) {
        const auto& record = membership.members[index].record;
        entries.push_back({record.name, record.data_centre, record.caller});
    }
    return entries;
}

} // namespace bulrushspring::membership
