#include "libraries/manifest/ini.hpp"
#include "libraries/manifest/vm_changes.hpp"

#include <algorithm>
#include <map>

namespace bulrushspring::manifest
{
namespace
{

using vm_state_map = std::map<std::string_view, vm_state>;

std::string_view state_name(vm_state state)
{
    switch (state) {
    case vm_state::live:
        return "live";
    case vm_state::leaving:
        return "leaving";
    case vm_state::gone:
        break;
    }
    return "gone";
}

void append_vm(std::string& text, std::string_view name, vm_state state)
{
    text += "[vm ";
    text += name;
    text += "]\nstate=";
    text += state_name(state);
    text += "\n";
}

vm_state_map to_state_map(const vm_list& list)
{
    vm_state_map states;
    for (const auto& name : list.live) {
        states.emplace(name, vm_state::live);
    }
    for (const auto& name : list.leaving) {
        states.emplace(name, vm_state::leaving);
    }
    return states;
}

vm_list to_vm_list(const vm_state_map& states)
{
    vm_list list;
    for (const auto& [name, state] : states) {
        if (state == vm_state::live) {
            list.live.emplace_back(name);
        } else if (state == vm_state::leaving) {
            list.leaving.emplace_back(name);
        }
    }
    return list;
}

// Reads the state of each VM, in the order of the text. `state_names` lists the
// permitted states in the order of vm_state.
checked<vm_changes>
read_states(std::string_view content,
            std::initializer_list<std::string_view> state_names)
{
    auto tree = parse_ini("vms", content);
    if (!tree) {
        return std::move(tree).error();
    }
    vm_changes states;
    validation_errors found;
    for (const auto& [header, keys] : tree.value()) {
        const auto [kind, name] = split_header(header);
        key_reader reader{"vms [" + header + "]", keys, found};
        if (kind != "vm" || !valid_name(name)) {
            add_error(reader, errc::unknown_key, "", "[vm NAME]", header);
            continue;
        }
        const auto state = read_choice(reader, "state", state_names);
        refuse_unknown_keys(reader, {"state"});
        states.push_back({std::string(name), static_cast<vm_state>(state)});
    }
    if (!found.empty()) {
        return found;
    }
    return states;
}

} // namespace

checked<vm_list> parse_vms(std::string_view content)
{
    const auto states = read_states(content, {"live", "leaving"});
    if (!states) {
        return states.error();
    }
    return apply({}, states.value());
}

checked<vm_changes> parse_vm_changes(std::string_view content)
{
    return read_states(content, {"live", "leaving", "gone"});
}

std::string to_text(const vm_list& list)
{
    std::string text;
    for (const auto& [name, state] : to_state_map(list)) {
        append_vm(text, name, state);
    }
    return text;
}

std::string to_text(const vm_changes& changes)
{
    std::string text;
    for (const auto& [name, state] : changes) {
        append_vm(text, name, state);
    }
    return text;
}

vm_changes difference(const vm_list& before, const vm_list& after)
{
    const auto old_states = to_state_map(before);
    const auto new_states = to_state_map(after);
    vm_changes changes;
    for (const auto& [name, state] : new_states) {
        const auto it = old_states.find(name);
        if (it == old_states.end() || it->second != state) {
            changes.push_back({std::string(name), state});
        }
    }
    for (const auto& [name, state] : old_states) {
        if (!new_states.contains(name)) {
            changes.push_back({std::string(name), vm_state::gone});
        }
    }
    std::sort(changes.begin(), changes.end(),
              [](const vm_change& left, const vm_change& right) {
                  return left.name < right.name;
              });
    return changes;
}

vm_list apply(const vm_list& before, const vm_changes& changes)
{
    auto states = to_state_map(before);
    for (const auto& change : changes) {
        states.insert_or_assign(change.name, change.state);
    }
    return to_vm_list(states);
}

} // namespace bulrushspring::manifest
