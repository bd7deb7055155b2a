#ifndef BULRUSHSPRING_FAKES_LEAF_LEAF_HPP
#define BULRUSHSPRING_FAKES_LEAF_LEAF_HPP

#include "base/random.hpp"
#include "base/time.hpp"
#include "fakes/http/server.hpp"
#include "fakes/leaf/connections.hpp"
#include "fakes/leaf/options.hpp"
#include "fakes/leaf/record.hpp"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace bulrushspring::fakes
{

struct leaf;

// A work request as described by its headers.
struct work_item {
    std::string request_id;
    std::string attempt;
    std::string service;
    std::string key;
    std::string body;
    manifest::snapshot_id snapshot = 0; // the one the work uses
    manifest::shard_id shard = 0;
    bool idempotent = true;
    duration time_left{0}; // until the deadline; 0: no deadline
};

// The answer to a work request.
struct work_answer {
    int status = 200;
    const char* run = "ran"; // or "not_run"
    const char* refusal = "";
    work_item work;
    std::string body;
};

enum class job_phase : std::uint8_t {
    connecting, // held until the connect cost has elapsed
    frozen,     // received while the leaf was frozen
    queued,     // waiting for a slot
    running,    // occupying a slot
    answering,  // finished; the answer is sent later
};

// A request that the leaf has received and not yet answered.
struct job {
    leaf* owner = nullptr;
    evhttp_request* request = nullptr; // nullptr once its connection is closed
    open_connection* connection = nullptr;
    job_phase phase = job_phase::connecting;
    work_item work;
    boot_time deadline;
    boot_time work_end; // for a running job
    work_answer answer;
    client::event_pointer timer;
};

// The state that the health endpoint reports. It is refreshed only once it is
// older than the health lag.
struct health_report {
    boot_time measured_at;
    std::size_t running = 0;
    std::size_t queued = 0;
    bool draining = false;
};

// A fake leaf (docs/TARGETS.md). It must not be moved after open_leaf, because
// callbacks hold its address.
struct leaf {
    event_base& base;
    const clock& time;
    leaf_options options;
    leaf_faults faults;
    leaf_counts counts;
    execution_log executions;
    // Called before each execution; may be empty.
    std::function<void(const execution_record&)> on_execution;
    random_source random;
    boot_time started;
    health_report health;
    work_answer last_answer; // sent again as a mismatched answer
    std::list<job> jobs;     // in order of arrival
    std::size_t running = 0; // jobs that occupy a slot
    std::size_t queued = 0;
    std::unique_ptr<connection_table> connections;
    std::unique_ptr<http_server> server;
};

// Opens a leaf that listens on its configured address. Errors: unreachable if
// the address cannot be bound.
result<std::unique_ptr<leaf>> open_leaf(event_base& base, const clock& time,
                                        leaf_options options);

// Sets or clears faults and options of a leaf. Keys:
// - frozen, dropping, draining, shedding, lying_health: 0 or 1
// - crossed_share, failed_share, late_share: share of answers, from 0 to 1;
//   crossed answers are those of `mismatched_share`
// - straggle_ms: added to the time of all work
// - late_ms: delay of late answers
// - silent: makes all open connections silent for good; they count towards the
//   connection limit for another silent_hold_ms
// - lose_shard: number of a shard to remove from all snapshots
// - snapshot: the new current snapshot; it takes the shards of the former one
// - holds: the shards held, as for parse_holdings
// - service_time_ms, straggle_share, straggler_ms: the mean, straggler share
//   and straggler delay of the service time
// Errors: malformed, unknown_key; then nothing is changed.
result<void> apply_faults(leaf& fake, const query_values& changes);

} // namespace bulrushspring::fakes

#endif
