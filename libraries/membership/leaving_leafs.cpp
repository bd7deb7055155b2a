#include "libraries/membership/leaving_leafs.hpp"

#include "libraries/wire/datagram.hpp"

namespace bulrushspring::membership
{
namespace
{

// Adds a slot, or frees that of the oldest entry if the table is full.
subject_index allocate_slot(leaving_table& table, std::size_t max_entries)
{
    if (table.entries.size() < max_entries) {
        table.entries.emplace_back();
        return static_cast<subject_index>(table.entries.size() - 1);
    }
    const auto slot = static_cast<subject_index>(table.next);
    table.next = (table.next + 1) % max_entries;
    auto& entry = table.entries[slot];
    const auto known = table.by_name.find(entry.name);
    if (known != table.by_name.end() && known->second == slot) {
        table.by_name.erase(known);
    }
    discard(table.updates, slot);
    return slot;
}

} // namespace

bool add_leaving(leaving_table& table, std::string_view leaf,
                 const options& settings, boot_time now)
{
    std::string name(leaf);
    const auto known = table.by_name.find(name);
    if (known != table.by_name.end()) {
        auto& entry = table.entries[known->second];
        if (entry.expires > now) {
            return false;
        }
        entry.expires = now + settings.leaving_leaf_retention;
        enqueue(table.updates, known->second);
        return true;
    }
    const auto slot = allocate_slot(table, settings.max_leaving_leafs);
    table.entries[slot] = {name, now + settings.leaving_leaf_retention};
    table.by_name[std::move(name)] = slot;
    enqueue(table.updates, slot);
    return true;
}

std::vector<wire::leaving_leaf> take_leaving(leaving_table& table,
                                             std::size_t& room,
                                             std::uint32_t max_transmissions)
{
    const auto size_of = [&](subject_index slot) {
        return wire::encoded_size(wire::leaving_leaf{table.entries[slot].name});
    };
    std::vector<wire::leaving_leaf> leafs;
    for (const auto slot :
         take_updates(table.updates, room, max_transmissions, size_of)) {
        leafs.push_back({table.entries[slot].name});
    }
    return leafs;
}

} // namespace bulrushspring::membership
