#include "libraries/membership/members.hpp"

#include <tuple>

namespace bulrushspring::membership
{
namespace
{

constexpr std::array live_classes = {probe_class::own_data_centre,
                                     probe_class::own_region,
                                     probe_class::other_regions};

probe_class probe_class_of(const state& membership,
                           const wire::member_record& record)
{
    const auto& self = self_record(membership);
    if (record.status == wire::member_status::dead) {
        return probe_class::dead;
    }
    if (record.data_centre == self.data_centre) {
        return probe_class::own_data_centre;
    }
    return record.region == self.region ? probe_class::own_region
                                        : probe_class::other_regions;
}

// Returns the index of a data centre's group, which is added if it is new.
// Above max_data_centres, all new data centres share the last group.
std::uint32_t group_for(state& membership, const wire::member_record& record)
{
    auto& groups = membership.groups;
    for (std::uint32_t i = 0; i < groups.size(); ++i) {
        if (groups[i].name == record.data_centre) {
            return i;
        }
    }
    if (groups.size() < membership.settings.max_data_centres) {
        groups.push_back({record.data_centre, record.region, {}});
    }
    return static_cast<std::uint32_t>(groups.size() - 1);
}

bool is_usable_entry(const member& each)
{
    return each.record.status == wire::member_status::alive &&
           !each.listed_leaving;
}

void update_entries(state& membership, member_index index)
{
    auto& each = membership.members[index];
    const bool wanted = is_usable_entry(each);
    if (wanted == each.in_entries) {
        return;
    }
    auto& entries = membership.groups[each.group].entries;
    if (wanted) {
        insert(entries, index, membership.random);
    } else {
        remove(entries, index);
    }
    each.in_entries = wanted;
}

void remove_from_view(state& membership, member_index index)
{
    auto& members = membership.live.members;
    const auto position = membership.members[index].view_position;
    if (position + 1 < members.size()) {
        members[position] = std::move(members.back());
        const auto moved = membership.by_name.at(members[position].name);
        membership.members[moved].view_position = position;
    }
    members.pop_back();
    membership.members[index].in_view = false;
}

bool same_incarnation_and_location(const wire::member_record& first,
                                   const wire::member_record& second)
{
    const auto key = [](const wire::member_record& record) {
        return std::tie(record.incarnation, record.peer, record.caller,
                        record.operators, record.data_centre, record.region);
    };
    return key(first) == key(second);
}

void update_view(state& membership, member_index index)
{
    auto& each = membership.members[index];
    auto& live = membership.live;
    const bool wanted = index == self_index || is_live(each.record);
    if (!wanted) {
        if (each.in_view) {
            remove_from_view(membership, index);
            ++live.generation;
        }
        return;
    }
    if (!each.in_view) {
        each.view_position = static_cast<std::uint32_t>(live.members.size());
        each.in_view = true;
        live.members.push_back(each.record);
        ++live.generation;
        return;
    }
    auto& shown = live.members[each.view_position];
    if (!same_incarnation_and_location(shown, each.record)) {
        ++live.generation;
    }
    shown = each.record;
}

// Adds a member to its rotation, to its group's entries and to the view.
void add_to_indexes(state& membership, member_index index)
{
    auto& each = membership.members[index];
    each.group = group_for(membership, each.record);
    if (index != self_index) {
        insert(rotation_of(membership, probe_class_of(membership, each.record)),
               index, membership.random);
    }
    update_entries(membership, index);
    update_view(membership, index);
}

// Removes a member from its rotation and from its group's entries.
void remove_from_indexes(state& membership, member_index index)
{
    auto& each = membership.members[index];
    if (index != self_index) {
        remove(rotation_of(membership, probe_class_of(membership, each.record)),
               index);
    }
    if (each.in_entries) {
        remove(membership.groups[each.group].entries, index);
        each.in_entries = false;
    }
}

// Removes a dead member from a full table. Returns false if the next dead
// member is named by the manifest, or there is none.
bool evict_dead_member(state& membership)
{
    const auto victim = take_next(rotation_of(membership, probe_class::dead),
                                  membership.random);
    if (!victim || membership.members[*victim].in_manifest) {
        return false;
    }
    remove_member(membership, *victim);
    return true;
}

member_index allocate_slot(state& membership)
{
    auto& free = membership.free_members;
    if (!free.empty()) {
        const auto index = free.back();
        free.pop_back();
        return index;
    }
    membership.members.emplace_back();
    return static_cast<member_index>(membership.members.size() - 1);
}

// Chooses a rotation of live members at random by the configured weights. Empty
// rotations are left out.
member_rotation* pick_live_rotation(state& membership)
{
    const auto& settings = membership.settings;
    const std::array weights = {settings.own_data_centre_weight,
                                settings.own_region_weight,
                                settings.other_regions_weight};
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        if (!rotation_of(membership, live_classes[i]).members.empty()) {
            total += weights[i];
        }
    }
    if (total == 0) {
        return nullptr;
    }
    auto left = random_below(membership.random, total);
    for (std::size_t i = 0; i < weights.size(); ++i) {
        auto& rotation = rotation_of(membership, live_classes[i]);
        if (rotation.members.empty()) {
            continue;
        }
        if (left < weights[i]) {
            return &rotation;
        }
        left -= weights[i];
    }
    return nullptr;
}

} // namespace

bool newer(const wire::member_record& first, const wire::member_record& second)
{
    return std::tie(first.incarnation, first.refutation, first.status) >
           std::tie(second.incarnation, second.refutation, second.status);
}

bool is_live(const wire::member_record& record)
{
    return record.status == wire::member_status::alive ||
           record.status == wire::member_status::suspect;
}

std::optional<member_index> find(const state& membership,
                                 const std::string& name)
{
    const auto found = membership.by_name.find(name);
    if (found == membership.by_name.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::optional<member_index>
add_member(state& membership, const wire::member_record& record, boot_time now)
{
    const bool full =
        membership.by_name.size() >= membership.settings.max_members;
    if (full && !evict_dead_member(membership)) {
        return std::nullopt;
    }
    const auto index = allocate_slot(membership);
    membership.members[index] = member{};
    membership.members[index].record = record;
    membership.members[index].since = now;
    membership.members[index].listed_leaving =
        membership.listed_leaving.count(record.name) != 0;
    membership.by_name[record.name] = index;
    add_to_indexes(membership, index);
    return index;
}

void set_record(state& membership, member_index index,
                const wire::member_record& record, boot_time now)
{
    remove_from_indexes(membership, index);
    auto& each = membership.members[index];
    if (each.record.status != record.status ||
        each.record.incarnation != record.incarnation) {
        each.since = now;
    }
    each.record = record;
    add_to_indexes(membership, index);
}

void set_listed_leaving(state& membership, member_index index, bool leaving)
{
    membership.members[index].listed_leaving = leaving;
    update_entries(membership, index);
}

void remove_member(state& membership, member_index index)
{
    remove_from_indexes(membership, index);
    discard(membership.updates, index);
    membership.by_name.erase(membership.members[index].record.name);
    membership.members[index] = member{};
    membership.free_members.push_back(index);
}

bool may_be_removed(const state& membership, member_index index, boot_time now)
{
    const auto& each = membership.members[index];
    const bool old = each.record.incarnation == 0 ||
                     now - each.since > membership.settings.dead_retention;
    return each.record.status == wire::member_status::dead &&
           !each.in_manifest && !each.listed_live && old;
}

std::size_t live_count(const state& membership)
{
    std::size_t count = 1;
    for (const auto which : live_classes) {
        count += rotation_of(membership, which).members.size();
    }
    return count;
}

std::optional<member_index> pick_random_live(state& membership)
{
    const auto* rotation = pick_live_rotation(membership);
    if (rotation == nullptr) {
        return std::nullopt;
    }
    return pick_random(*rotation, membership.random);
}

std::optional<member_index> take_next_live(state& membership)
{
    auto& disputed = membership.disputed;
    while (!disputed.empty()) {
        const auto first = disputed.front();
        disputed.pop_front();
        if (is_live(membership.members[first].record) && first != self_index &&
            !membership.members[first].record.name.empty()) {
            return first;
        }
    }
    auto* rotation = pick_live_rotation(membership);
    if (rotation == nullptr) {
        return std::nullopt;
    }
    return take_next(*rotation, membership.random);
}

} // namespace bulrushspring::membership
