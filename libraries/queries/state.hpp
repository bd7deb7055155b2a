#ifndef BULRUSHSPRING_LIBRARIES_QUERIES_STATE_HPP
#define BULRUSHSPRING_LIBRARIES_QUERIES_STATE_HPP

#include "base/identifiers.hpp"
#include "base/time.hpp"
#include "libraries/queries/merge.hpp"
#include "libraries/queries/small_list.hpp"
#include "libraries/reducer/caller_message.hpp"
#include "libraries/targets/leaf_index.hpp"

#include <cstdint>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace bulrushspring::queries
{

struct options {
    std::uint32_t max_queries = 2048; // in flight at a time
    // Shards that wait for connections, of all queries.
    std::uint32_t max_waiting_shards = 100'000;
    // Part of the deadline reserved for sending the answer to the caller: this
    // time or a tenth of the deadline, whichever is less.
    duration answer_reserve = milliseconds{20};
    // How often one query may be restarted on a newer snapshot.
    std::uint32_t max_restarts = 2;
    // Backoff before a shard is retried after all its replicas refused or
    // failed it: initial value, doubled each time up to the maximum.
    duration min_retry_backoff = milliseconds{10};
    duration max_retry_backoff = milliseconds{200};
    // Retry delay sent to the caller if a query is refused or fails.
    duration retry_after = seconds{1};
};

// Per shard, the maximum number of attempts outstanding at a time, and of leafs
// recorded as tried.
inline constexpr std::size_t max_outstanding = 3;
inline constexpr std::size_t max_tried = 12;

enum class shard_phase : std::uint8_t {
    waiting,     // for a connection
    in_flight,   // at least one attempt is outstanding
    backing_off, // until `next_action_at`, when it is retried
    covered,
    missing, // given up
};

struct shard_state {
    shard_phase phase = shard_phase::waiting;
    // The reason reported if the shard is missing from the answer.
    missing_reason reason = missing_reason::no_connection;
    bool first_attempt_sent = false;
    std::uint8_t backoffs = 0;
    std::uint8_t hedges = 0;
    small_list<attempt_id, max_outstanding> outstanding;
    small_list<targets::leaf_index, max_tried> tried;
    boot_time last_sent_at{};   // of the newest attempt
    boot_time next_action_at{}; // when a hedge or a retry is due
};

struct query {
    caller_token token{};
    caller_request request;
    // The manifests in force at the start and at the last restart; they keep
    // `service` and `pool` valid.
    manifest::manifest_pointer service_manifest;
    manifest::manifest_pointer pool_manifest;
    const manifest::service* service = nullptr;
    const manifest::pool* pool = nullptr;
    manifest::snapshot_id snapshot = 0;
    std::vector<shard_state> shards;
    std::uint32_t covered = 0; // number of shards
    std::uint32_t missing = 0; // number of shards given up
    std::uint32_t restarts = 0;
    std::uint32_t attempts = 0;
    boot_time started_at{};
    duration deadline{0};
    boot_time answer_by{};       // the latest time to send the answer
    boot_time early_answer_at{}; // from then on the service may answer early
    boot_time wakeup_at{};       // its valid entry in state::timers
    merged_lines lines;
    memory::charge held; // for `lines`
};

// An attempt that has not ended. If its answer is no longer wanted, it is kept
// until its end, so that its answer can be recognised as late.
struct sent_attempt {
    caller_token query{};
    manifest::shard_id shard = 0;
    connection_id connection{};
    targets::leaf_index leaf{};
    bool wanted = true;
};

// Identifies the queue of the queries that wait for a connection to any replica
// of the same shard.
struct wait_queue_key {
    std::string pool;
    manifest::snapshot_id snapshot = 0;
    manifest::shard_id shard = 0;

    friend bool operator<(const wait_queue_key& one,
                          const wait_queue_key& other)
    {
        return std::tie(one.pool, one.snapshot, one.shard) <
               std::tie(other.pool, other.snapshot, other.shard);
    }
};

// An element of such a queue, ordered by deadline.
struct waiter {
    boot_time answer_by{};
    caller_token query{};

    friend bool operator<(const waiter& one, const waiter& other)
    {
        return std::tie(one.answer_by, one.query) <
               std::tie(other.answer_by, other.query);
    }
};

// A timer of a query. It is ignored unless `at` equals the query's `wakeup_at`.
struct timer {
    boot_time at{};
    caller_token query{};

    friend bool operator<(const timer& one, const timer& other)
    {
        return std::tie(one.at, one.query) < std::tie(other.at, other.query);
    }
};

// Orders a std::priority_queue of timers so that the earliest is on top.
struct earliest_on_top {
    bool operator()(const timer& one, const timer& other) const
    {
        return other < one;
    }
};

struct state {
    options settings;
    manifest::manifest_pointer manifest; // in force
    std::unordered_map<std::uint64_t, query> queries;
    std::unordered_map<std::uint64_t, sent_attempt> attempts;
    std::map<wait_queue_key, std::set<waiter>> waiting; // no queue is empty
    std::size_t waiters = 0;                            // in all queues
    // `advance` first serves the queues for which a connection was freed, in
    // `freed_queues`, then some more in turn after `last_served`. It has to be
    // called again by `next_serve_at`.
    wait_queue_key last_served;
    boot_time next_serve_at{};
    std::vector<wait_queue_key> freed_queues;
    std::priority_queue<timer, std::vector<timer>, earliest_on_top> timers;
};

} // namespace bulrushspring::queries

#endif
