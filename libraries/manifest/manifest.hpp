#ifndef BULRUSHSPRING_LIBRARIES_MANIFEST_MANIFEST_HPP
#define BULRUSHSPRING_LIBRARIES_MANIFEST_MANIFEST_HPP

#include "base/endpoint.hpp"
#include "base/hash.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bulrushspring::manifest
{

using snapshot_id = std::uint64_t;
using shard_id = std::uint32_t;

// How a service processes a request: `query` fans out to every shard, `read`
// goes to one leaf, and `request` is executed on one leaf, at most once.
enum class service_kind : std::uint8_t { query, read, request };

struct data_centre {
    std::string name;
    std::string region;

    bool operator==(const data_centre&) const = default;
};

// A VM that runs the daemon, with the endpoints on which it listens.
struct entry_vm {
    std::string name;
    std::string data_centre;
    endpoint caller;    // HTTP, for callers
    endpoint peer;      // UDP and TCP, for other daemons
    endpoint operators; // HTTP, for operators

    bool operator==(const entry_vm&) const = default;
};

// One shard of one snapshot, as held by a leaf.
struct holding {
    snapshot_id snapshot = 0;
    shard_id shard = 0;

    auto operator<=>(const holding&) const = default;
};

// A server that holds shards. Its name is unique in the manifest.
struct leaf {
    std::string name;
    std::string data_centre;
    endpoint address;
    bool leaving = false; // about to be removed
    std::vector<holding> holdings;

    bool operator==(const leaf&) const = default;
};

// A version of a pool's data, divided into `shards` shards numbered from 0.
struct snapshot {
    snapshot_id id = 0;
    std::uint32_t shards = 0;

    bool operator==(const snapshot&) const = default;
};

// A group of leafs that serve the same data, with their common limits.
struct pool {
    std::string name;
    snapshot_id served_snapshot = 0; // new queries are pinned to it
    std::uint32_t slots = 0;       // requests that a leaf runs at the same time
    std::uint32_t connections = 0; // limit of each leaf, over the whole fleet
    milliseconds connect_cost{0};  // delay of a new connection's first answer
    std::vector<snapshot> snapshots;
    std::vector<leaf> leafs;

    bool operator==(const pool&) const = default;
};

// The policy of a service: its deadline, its guarantees and its limits.
struct service {
    std::string name;
    service_kind kind = service_kind::query;
    std::string pool;
    milliseconds deadline{0};
    double hedge_budget = 0.0;     // extra leaf requests, as a fraction of all
    double minimum_coverage = 1.0; // fraction of shards that must answer
    bool wait_for_coverage = false;
    std::uint32_t weight = 1;       // relative share of admission
    std::uint32_t result_limit = 0; // maximum lines of a merged answer

    bool operator==(const service&) const = default;
};

// The VMs that run the daemon and the data centres of VMs and leafs.
struct fleet {
    std::vector<data_centre> data_centres;
    std::vector<entry_vm> vms;
    std::uint32_t spare_vms = 0; // additional VMs to reserve connections for

    bool operator==(const fleet&) const = default;
};

// An accepted configuration. Immutable, and shared between its users.
struct manifest {
    std::uint64_t version = 0;
    content_hash hash; // of the index text
    fleet entries;
    std::map<std::string, pool> pools;
    std::map<std::string, service> services;
};

using manifest_pointer = std::shared_ptr<const manifest>;

} // namespace bulrushspring::manifest

#endif
