#ifndef BULRUSHSPRING_FAKES_EXPERIMENT_PATTERN_HPP
#define BULRUSHSPRING_FAKES_EXPERIMENT_PATTERN_HPP

#include "base/time.hpp"
#include "libraries/manifest/fault.hpp"

#include <string>
#include <string_view>
#include <vector>

// Load patterns: a fleet, its load and the faults of its leafs, to be played on
// a model. docs/EXPERIMENTS.md describes the file format.
namespace bulrushspring::experiment
{

enum class fault_kind : std::uint8_t {
    slow, // the leafs' work takes `factor` times as long
    down, // they refuse connections, and lose the requests that they have
    // They state that they take `factor` requests a second from all daemons.
    limited,
};

// A fault of the first `leafs` leafs of the shards from `first_shard` on.
struct leaf_fault {
    fault_kind kind = fault_kind::slow;
    std::size_t first_shard = 0;
    std::size_t shards = 1;
    std::size_t leafs = 1;
    double factor = 1.0;
    duration from{0}; // since the start of the pattern
    duration span{0};
};

enum class partition_kind : std::uint8_t {
    silent,     // nothing passes, connects hang
    reset,      // connections are reset, connects refused
    refuse_new, // open connections live on, connects are refused
};

// Some daemons lose their paths to all leafs.
struct daemon_partition {
    partition_kind kind = partition_kind::silent;
    std::size_t first_daemon = 0;
    std::size_t daemons = 1;
    duration from{0}; // since the start of the pattern
    duration span{0};
};

// Everything that determines a run, except for its random seed.
struct pattern {
    std::size_t daemons = 1;
    std::size_t shards = 1;
    std::size_t leafs = 1; // of each shard
    // A leaf works on as many requests at a time as it has slots, queues
    // `queue` more in order of arrival and refuses the others.
    std::size_t slots = 1;
    std::size_t queue = 0;
    std::uint32_t connections = 1; // per leaf, over all daemons
    duration work{0};              // mean time of one request at a leaf
    duration objective{0};
    duration timeout{0};
    double minimum_coverage = 1.0;
    std::uint32_t max_leafs = 1;
    double extra_share = 0.0; // budget: extra attempts per first attempt
    double queries_per_second = 0.0;
    duration warm_up{0}; // before the queries that the results count
    duration span{0};    // in which those are sent
    // Whether callers use the daemons that the directory names, which a third
    // of them asks each second and the others each three; else any daemon.
    bool directory = false;
    std::vector<leaf_fault> faults;
    std::vector<daemon_partition> partitions;
};

// Parses the content of a pattern file. On failure returns all errors.
manifest::checked<pattern> parse_pattern(std::string_view content);

} // namespace bulrushspring::experiment

#endif
