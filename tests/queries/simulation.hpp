#ifndef BULRUSHSPRING_TESTS_QUERIES_SIMULATION_HPP
#define BULRUSHSPRING_TESTS_QUERIES_SIMULATION_HPP

#include "libraries/queries/queries.hpp"
#include "libraries/targets/targets.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

// A simulation of one daemon's targets and queries with a virtual clock and
// scripted leafs.
namespace bulrushspring::tests
{

enum class behaviour {
    prompt,      // answers after its latency
    shedding,    // refuses all requests because of overload
    failing,     // answers with a failure
    silent,      // never answers on the connections open at the next request
    unreachable, // accepts no connections, and breaks those in use
    gone,        // not acted on: the leaf answers as a prompt one
    draining,    // refuses all requests because it is leaving
};

struct scripted_leaf {
    behaviour mode = behaviour::prompt;
    duration latency = milliseconds{2};
    bool warm = true;
    manifest::snapshot_id oldest_snapshot = 0; // it has no older snapshots
    std::set<connection_id> connections;       // that the leaf counts
    std::set<connection_id> silenced;          // on which it never answers
    std::size_t open_requests = 0;             // connections requested so far
    // Connections that the daemon closed without the leaf noticing, each with
    // the time until which the leaf counts it.
    std::map<connection_id, boot_time> unnoticed_closes;
    std::size_t max_connections = 0; // largest number counted at a time
};

// An attempt that the daemon sent.
struct attempt {
    boot_time sent_at;
    std::string leaf;
    send_to_leaf message;
};

class simulation
{
public:
    explicit simulation(manifest::manifest_pointer manifest,
                        std::uint64_t seed = 1);

    boot_time now{seconds{1000}};
    targets::state targets;
    queries::state queries;
    std::map<std::string, scripted_leaf> leafs;
    std::vector<attempt> attempts;
    std::map<std::uint64_t, std::vector<caller_answer>> answers;
    std::map<metrics::counter, std::uint64_t> counters;
    std::vector<std::string> log;
    std::vector<leaf_leaving> raised_leaving;

    // Called for each answer before delivery. May change the answer; drops it
    // by returning false.
    std::function<bool(const send_to_leaf&, leaf_answer&)> intercept_answer;

    void set_manifest(manifest::manifest_pointer manifest);
    // Passes an event to the reducers, now or at the given time.
    void deliver(const event& what);
    void deliver_at(boot_time at, event what);
    // Advances the clock, delivering the events and ticks that fall due.
    void run_for(duration span);
    void begin_query(std::uint64_t token, const std::string& service = "find",
                     duration time_left = duration{0});
    // Sends a single request for shard 0, outside any query. Returns null if no
    // leaf can take it.
    const attempt* send_single_request(bool idempotent);
    targets::leaf_state& find_leaf_state(const std::string& name);
    std::size_t count_logged(std::string_view name) const;
    std::size_t attempts_to(const std::string& leaf) const;
    manifest::manifest_pointer current_manifest;

private:
    std::multimap<boot_time, event> scheduled_;
    std::map<connection_id, std::string> leaf_of_;
    std::vector<effect> effects_;
    std::uint64_t last_identifier_ = 0;

    context make_context() { return {now, effects_, last_identifier_}; }
    void apply_effects();
    void apply_effect(const effect& what);
    void accept_connection(const open_connection& what);
    void answer_attempt(const send_to_leaf& what);
    leaf_answer make_answer(const scripted_leaf& leaf,
                            const send_to_leaf& what) const;
};

// Parameters of a manifest for tests.
struct layout {
    std::uint32_t shards = 10;
    std::uint32_t replicas = 3;
    std::uint32_t vms = 3;
    std::uint32_t connections = 65;
    std::uint32_t data_centres = 3;
    std::vector<manifest::snapshot_id> snapshots = {17};
    bool wait_for_coverage = false;
    double minimum_coverage = 0.5;
    double hedge_budget = 0.05;
    milliseconds deadline{1000};
    std::uint32_t spare_vms = 2;
};

// Leafs are named "leaf-SHARD-REPLICA", the pool "index", the service "find"
// and the daemons "entry-N". The last snapshot is the one served.
manifest::manifest make_manifest(const layout& from);
manifest::manifest_pointer make_shared_manifest(manifest::manifest from);
// The line in a leaf's answer. It identifies the request, snapshot and shard.
std::string line_of(const std::string& request, manifest::snapshot_id snapshot,
                    manifest::shard_id shard);
std::string leaf_name(std::uint32_t shard, std::uint32_t replica);

} // namespace bulrushspring::tests

#endif
