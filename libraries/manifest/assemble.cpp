#include "libraries/manifest/documents.hpp"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace bulrushspring::manifest
{
namespace
{

// A VM of the fleet, or a leaf of a pool. `pool` is empty for a VM.
struct machine {
    std::string_view pool;
    std::string_view name;
};

// The errors found so far in a manifest, and the names and addresses that must
// be unique in it.
struct validation_state {
    validation_errors found;
    std::unordered_set<std::string_view> data_centres;
    std::unordered_map<std::string_view, machine> owner_by_name;
    std::unordered_map<endpoint, machine> owner_by_address;
};

// Formats the section that declares the VM or leaf, for error messages.
std::string section_of(const machine& owner)
{
    const std::string name(owner.name);
    if (owner.pool.empty()) {
        return "fleet [vm " + name + "]";
    }
    return "pool." + std::string(owner.pool) + " [leaf " + name + "]";
}

// VMs and leafs share one namespace, because the platform's list of VMs
// contains both.
void register_name(validation_state& state, const machine& owner)
{
    const auto [it, inserted] = state.owner_by_name.emplace(owner.name, owner);
    if (!inserted) {
        state.found.push_back({errc::duplicate, section_of(owner), "",
                               "a name that no other VM or leaf has",
                               "also in " + section_of(it->second)});
    }
}

void register_address(validation_state& state, const endpoint& address,
                      const char* key, const machine& owner)
{
    const auto [it, inserted] = state.owner_by_address.emplace(address, owner);
    if (!inserted) {
        state.found.push_back(
            {errc::duplicate, section_of(owner), key,
             "an address that is used only once",
             to_string(address) + ", also in " + section_of(it->second)});
    }
}

void require_data_centre(validation_state& state, const std::string& name,
                         const machine& owner)
{
    if (!state.data_centres.contains(name)) {
        state.found.push_back({errc::not_found, section_of(owner),
                               "data_centre", "a data centre of the fleet",
                               name});
    }
}

void check_fleet(validation_state& state, const fleet& entries)
{
    for (const auto& data_centre : entries.data_centres) {
        state.data_centres.insert(data_centre.name);
    }
    if (entries.vms.empty()) {
        state.found.push_back(
            {errc::missing_key, "fleet", "", "at least one [vm NAME]", ""});
    }
    for (const auto& vm : entries.vms) {
        const machine owner{{}, vm.name};
        register_name(state, owner);
        register_address(state, vm.caller, "caller", owner);
        register_address(state, vm.peer, "peer", owner);
        register_address(state, vm.operators, "operators", owner);
        require_data_centre(state, vm.data_centre, owner);
    }
}

const snapshot* find_snapshot(const pool& value, snapshot_id id)
{
    const auto it =
        std::find_if(value.snapshots.begin(), value.snapshots.end(),
                     [id](const snapshot& one) { return one.id == id; });
    return it == value.snapshots.end() ? nullptr : &*it;
}

void check_snapshots(validation_state& state, const pool& value)
{
    std::unordered_set<snapshot_id> seen;
    for (const auto& one : value.snapshots) {
        if (!seen.insert(one.id).second) {
            state.found.push_back({errc::duplicate, "pool." + value.name,
                                   "snapshot", "each snapshot once",
                                   std::to_string(one.id)});
        }
    }
}

void check_holdings(validation_state& state, const pool& owning_pool,
                    const leaf& value)
{
    const auto add_holding_fault = [&](errc code, std::string expected,
                                       const holding& one) {
        state.found.push_back(
            {code, section_of({owning_pool.name, value.name}), "holds",
             std::move(expected),
             std::to_string(one.snapshot) + "/" + std::to_string(one.shard)});
    };
    auto sorted = value.holdings;
    std::sort(sorted.begin(), sorted.end());
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        const auto& one = sorted[i];
        if (i > 0 && sorted[i - 1] == one) {
            add_holding_fault(errc::duplicate, "each shard once", one);
        }
        const snapshot* declared = find_snapshot(owning_pool, one.snapshot);
        if (declared == nullptr) {
            add_holding_fault(errc::not_found, "a snapshot of this pool", one);
        } else if (one.shard >= declared->shards) {
            add_holding_fault(
                errc::out_of_range,
                "a shard below " + std::to_string(declared->shards), one);
        }
    }
}

// Checks that each shard of the served snapshot is held by a leaf that is not
// leaving.
void check_coverage(validation_state& state, const pool& value)
{
    const std::string section = "pool." + value.name;
    const snapshot* served = find_snapshot(value, value.served_snapshot);
    if (served == nullptr) {
        state.found.push_back({errc::not_found, section + " [pool]", "serve",
                               "a snapshot of this pool",
                               std::to_string(value.served_snapshot)});
        return;
    }
    std::vector<bool> held(served->shards, false);
    for (const auto& leaf : value.leafs) {
        for (const auto& one : leaf.holdings) {
            if (!leaf.leaving && one.snapshot == value.served_snapshot &&
                one.shard < served->shards) {
                held[one.shard] = true;
            }
        }
    }
    for (std::size_t shard = 0; shard < held.size(); ++shard) {
        if (!held[shard]) {
            state.found.push_back(
                {errc::not_found, section, "holds",
                 "a live leaf for each shard of the served snapshot",
                 std::to_string(value.served_snapshot) + "/" +
                     std::to_string(shard)});
        }
    }
}

// The daemons divide a leaf's connections among themselves. With fewer
// connections than VMs, including spare VMs, some daemon could not connect.
void check_connection_limit(validation_state& state, const pool& value,
                            const fleet& entries)
{
    const std::size_t daemons = entries.vms.size() + entries.spare_vms;
    if (value.connections < daemons) {
        state.found.push_back(
            {errc::out_of_range, "pool." + value.name + " [pool]",
             "connections",
             "at least one for each VM of the fleet and each spare, " +
                 std::to_string(daemons),
             std::to_string(value.connections)});
    }
}

void check_pool(validation_state& state, const pool& value,
                const fleet& entries)
{
    check_snapshots(state, value);
    check_coverage(state, value);
    check_connection_limit(state, value, entries);
    for (const auto& leaf : value.leafs) {
        const machine owner{value.name, leaf.name};
        register_name(state, owner);
        register_address(state, leaf.address, "address", owner);
        require_data_centre(state, leaf.data_centre, owner);
        check_holdings(state, value, leaf);
    }
}

void check_services(validation_state& state, const manifest& value)
{
    for (const auto& [name, service] : value.services) {
        if (!value.pools.contains(service.pool)) {
            state.found.push_back({errc::not_found,
                                   "service." + name + " [service]", "pool",
                                   "a pool of this manifest", service.pool});
        }
    }
}

// Copies a section into the manifest. The name is taken from the index, not the
// content: services with equal sections share one parsed content.
void insert_section(manifest& value, const named_section& one)
{
    const auto dot = one.name.find('.');
    const std::string name =
        dot == std::string::npos ? std::string{} : one.name.substr(dot + 1);
    if (const auto* entries = std::get_if<fleet>(one.content.get())) {
        value.entries = *entries;
    } else if (const auto* owning_pool = std::get_if<pool>(one.content.get())) {
        value.pools[name] = *owning_pool;
        value.pools[name].name = name;
    } else if (const auto* policy = std::get_if<service>(one.content.get())) {
        value.services[name] = *policy;
        value.services[name].name = name;
    }
}

} // namespace

checked<manifest> assemble(const index& contents,
                           std::span<const named_section> sections)
{
    manifest value;
    value.version = contents.version;
    value.hash = contents.hash;
    std::unordered_set<std::string_view> present_sections;
    for (const auto& one : sections) {
        present_sections.insert(one.name);
        insert_section(value, one);
    }
    validation_state state;
    for (const auto& reference : contents.sections) {
        if (!present_sections.contains(reference.name)) {
            state.found.push_back({errc::not_found, reference.name, "",
                                   "the section that the index names",
                                   to_string(reference.hash)});
        }
    }
    check_fleet(state, value.entries);
    for (const auto& [name, pool] : value.pools) {
        check_pool(state, pool, value.entries);
    }
    check_services(state, value);
    if (!state.found.empty()) {
        return std::move(state.found);
    }
    return value;
}

} // namespace bulrushspring::manifest
