#ifndef BULRUSHSPRING_FAKES_LEAF_OPTIONS_HPP
#define BULRUSHSPRING_FAKES_LEAF_OPTIONS_HPP

#include "base/endpoint.hpp"
#include "base/error.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "fakes/http/server.hpp"
#include "libraries/manifest/manifest.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushspring::fakes
{

enum class time_distribution : std::uint8_t { constant, exponential };

// The distribution of the time that a leaf works on a request. A share of the
// requests are stragglers, which take `straggler_delay` longer.
struct service_time {
    time_distribution distribution = time_distribution::exponential;
    duration mean = milliseconds{5};
    double straggler_share = 0.0;
    duration straggler_delay{0};
};

// The shards that a leaf holds of each snapshot.
using holding_set =
    std::map<manifest::snapshot_id, std::set<manifest::shard_id>>;

struct leaf_options {
    std::string name;
    std::string data_centre;
    endpoint address; // port 0: any free port
    manifest::snapshot_id current_snapshot = 0;
    holding_set holdings;
    std::uint32_t slots = 3;
    std::uint32_t queue = 6; // requests that may wait for a slot
    std::uint32_t connections = 65;
    duration connect_cost{0}; // before a new connection's first answer
    duration cold_start{0};   // time until the leaf is warm
    double cold_factor = 4.0; // service time multiplier until then
    service_time work;
    duration health_lag = seconds{10}; // maximum age of reported health
    std::uint64_t seed = 1;
};

// The faults that are injected at present.
struct leaf_faults {
    duration added_delay{0};   // added to the service time of all work
    bool frozen = false;       // accepts requests, but handles and answers none
    bool dropping = false;     // closes connections instead of answering
    bool draining = false;     // refuses new work
    bool shedding = false;     // refuses all work as if overloaded
    bool lying_health = false; // the health endpoint reports ok and no load
    // Shares of answers, from 0 to 1.
    double mismatched_share = 0.0; // those that belong to another request
    double failed_share = 0.0;     // those that report failure
    double late_share = 0.0;       // those sent late, even past the deadline
    duration late_delay{0};
};

// Draws the service time of one work request.
duration draw_service_time(const service_time& work, random_source& random);

// Parses a list of SNAPSHOT/SHARD separated by spaces or commas, such as
// "17/3 18/3". Errors: malformed.
result<holding_set> parse_holdings(std::string_view text);

// Parses the leafs of a manifest's pool section (docs/PLATFORM.md): those in
// `names`, or all if it is empty. Errors: malformed, missing_key.
result<std::vector<leaf_options>>
parse_pool(std::string_view section, const std::set<std::string>& names);

// Formats leafs as a manifest's pool section, including the number of shards of
// each snapshot that is held.
std::string pool_section(const std::vector<leaf_options>& leafs);

} // namespace bulrushspring::fakes

#endif
