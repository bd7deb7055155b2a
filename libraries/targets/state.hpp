#ifndef BULRUSHSPRING_LIBRARIES_TARGETS_STATE_HPP
#define BULRUSHSPRING_LIBRARIES_TARGETS_STATE_HPP

#include "base/identifiers.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "libraries/limits/concurrency_limit.hpp"
#include "libraries/limits/latency_histogram.hpp"
#include "libraries/limits/retry_budget.hpp"
#include "libraries/manifest/manifest.hpp"
#include "libraries/targets/leaf_index.hpp"
#include "libraries/targets/placement.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bulrushspring::targets
{

// Tunable parameters. The defaults suit both current users of the project.
struct options {
    std::uint32_t max_opening = 16; // connections being opened at a time
    duration open_timeout = seconds{1};
    duration probe_timeout = seconds{1};
    // An idle connection is probed if it has received nothing for
    // max(probe_interval, connections * probe_spacing). This bounds the rate
    // of probes, independent of the number of connections.
    duration probe_interval = seconds{5};
    duration probe_spacing = milliseconds{100};
    duration cold_probe_interval = seconds{1}; // for leafs that are not warm
    // A non-idempotent request is sent only over a connection on which the
    // leaf answered within this time.
    duration max_answer_age = seconds{2};
    // Time to wait for an answer after an attempt's deadline, or after
    // `open_timeout`, before the connection is considered silent. After a
    // cancellation the wait is at most twice this.
    duration answer_grace = milliseconds{500};
    // How long a leaf may count a connection after it has ended: if the leaf
    // may not have noticed the end, and if it is assumed to have noticed it. A
    // connection that ended with errc::closed is not counted any longer.
    duration silent_hold = seconds{60};
    duration closed_hold = seconds{1};
    duration min_backoff = milliseconds{100};
    duration max_backoff = seconds{10};
    // A leaf's own report that it is not leaving is accepted only this long
    // after the last report that it was.
    duration return_delay = seconds{10};
    // Time over which the load of a new, returned or formerly cold leaf is
    // raised to the normal level.
    duration warm_up_time = seconds{10};
    // Delay before a larger share is used after a change of placement, so that
    // the daemons whose share shrinks have learnt of the change by then.
    duration share_settle_time = seconds{8};
    // Retry budget of a service in extra requests: maximum and initial value.
    double max_budget_tokens = 100;
    double initial_budget_tokens = 10;
};

enum class connection_phase : std::uint8_t { opening, idle, probing, busy };

struct connection {
    connection_id id{};
    leaf_index leaf{};
    connection_phase phase = connection_phase::opening;
    attempt_id attempt{};       // while busy
    boot_time phase_since{};    // when the current phase began
    boot_time deadline{};       // when the expected answer times out
    boot_time last_answer_at{}; // when the leaf last answered on it
};

// The sources that report a leaf as leaving. Each has its own flag, because
// the flags are cleared by different reports.
struct leaving_evidence {
    bool manifest = false;
    bool vms = false;
    bool leaf = false;         // the draining flag in the leaf's answers
    bool peer = false;         // reported by another daemon
    boot_time last_reported{}; // by any source

    bool any() const { return manifest || vms || leaf || peer; }
};

struct leaf_state {
    std::string name;
    std::string pool;
    std::string data_centre;
    endpoint address;
    bool in_manifest = false;          // in the manifest in force
    bool in_previous_manifest = false; // in the manifest before that
    bool same_data_centre = false;     // in this daemon's data centre
    bool warm = true;
    bool queued_to_open = false;
    bool connect_attempted = false; // a first attempt to connect has ended
    leaving_evidence leaving;
    std::uint32_t slots = 0; // requests that the leaf processes at a time

    // Maximum number of connections that the leaf may count for this daemon,
    // and the number to keep open. Before `share_usable_at` only the smaller of
    // `share` and `previous_share` may be used.
    std::uint32_t share = 0;
    std::uint32_t desired_connections = 0;
    std::uint32_t previous_share = 0;
    boot_time share_usable_at{};

    std::vector<connection_id> connections; // in all phases
    std::vector<connection_id> idle;        // most recently used at the back
    // Connections that have ended, each with the time until which the leaf may
    // still count it.
    std::vector<boot_time> hold_expiries;
    std::uint32_t in_flight = 0;
    std::uint32_t opening = 0;
    std::uint32_t consecutive_failures = 0; // of connections
    boot_time next_open_at{};
    boot_time probed_at{};

    limits::concurrency_limit limit;
    duration latency{0}; // moving average; 0: no answer yet
    // Moving average, 0 to 1, of attempts that were shed, failed or answered as
    // past their deadline.
    double error_rate = 0;
    boot_time answered_at{};
    // When an attempt last ended, or was sent while no other was in flight:
    // the time since then is a lower bound of the leaf's current latency.
    boot_time busy_since{};
    boot_time last_sent_at{}; // the last attempt
    // Time since last_sent_at after which the leaf gets a trial request.
    duration trial_interval{0};
    boot_time warm_up_started_at{};
};

// The leafs that hold a shard of a snapshot and to which this daemon may
// connect.
using shard_replicas = std::vector<leaf_index>;

// The replicas of a snapshot, by shard.
struct snapshot_replicas {
    manifest::snapshot_id id = 0;
    std::vector<shard_replicas> shards;
};

// The placement of a shard, and a hash of its inputs: the placement is reused
// as long as they are the same.
struct shard_placement {
    std::uint64_t input_hash = 0;
    std::vector<leaf_index> leafs;
};

struct pool_state {
    std::vector<snapshot_replicas> snapshots;
    // By shard; empty if this daemon connects to all leafs.
    std::vector<shard_placement> shard_placements;
    limits::latency_histogram latencies;
    duration median_latency{0};             // 0: not known yet
    duration hedge_delay{0};                // 0: not known yet
    std::uint32_t answers_until_update = 0; // of the two above
    // Moving averages, from 0 to 1, of the shares of answers that show overload
    // (shed, past the deadline, or from a leaf with more queued requests than
    // slots) and that were slower than the hedge delay.
    double overload_share = 0;
    double late_share = 0;
    bool hedging_enabled = true;
};

// The computation of a pool's placement, done some shards at a time.
struct placement_job {
    std::string pool;
    pool_plan plan;
    fleet_slots slots;
    std::uint64_t slots_hash = 0;
    std::vector<std::vector<replica>> replicas;    // by shard
    std::vector<shard_placement> shard_placements; // shards done so far
    std::size_t pairs_evaluated = 0;               // in the current step
};

struct state {
    std::string self; // this daemon's name
    options settings;
    random_source random;
    manifest::manifest_pointer manifest;
    std::vector<leaf_state> leafs;      // by leaf_index
    std::vector<leaf_index> free_leafs; // unused elements of `leafs`
    std::unordered_map<std::string, leaf_index> leaf_by_name;
    std::unordered_map<std::string, pool_state> pools;
    std::unordered_map<std::string, limits::retry_budget> budgets;
    std::unordered_map<std::uint64_t, connection> connections;
    std::unordered_map<std::uint64_t, connection_id> attempts; // in flight
    std::unordered_set<std::string> vms_leaving; // by the platform's list
    std::vector<leaf_index> active_leafs; // with a share, connections or holds
    std::deque<placement_job> placement_jobs;
    boot_time next_placement_at{};
    std::deque<leaf_index> open_queue;
    std::uint32_t opening = 0; // connections, of all leafs
    boot_time next_sweep{};
};

inline leaf_state& leaf_at(state& self, leaf_index leaf)
{
    return self.leafs[static_cast<std::size_t>(leaf)];
}

inline const leaf_state& leaf_at(const state& self, leaf_index leaf)
{
    return self.leafs[static_cast<std::size_t>(leaf)];
}

} // namespace bulrushspring::targets

#endif
