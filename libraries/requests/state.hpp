#ifndef BULRUSHSPRING_LIBRARIES_REQUESTS_STATE_HPP
#define BULRUSHSPRING_LIBRARIES_REQUESTS_STATE_HPP

#include "base/random.hpp"
#include "libraries/reducer/caller_message.hpp"
#include "libraries/requests/grant.hpp"
#include "libraries/requests/ledger.hpp"
#include "libraries/targets/state.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bulrushspring::requests
{

struct options {
    duration grant_validity = seconds{30};
    // A record outlives its grant by this, or by the service's deadline if
    // that is longer: a request that began just before the grant expired may
    // still be repeated.
    duration max_deadline = seconds{10};
    ledger_options ledger;
    std::size_t max_joined = 4; // repeats that may wait for one request
    duration retry_after =
        milliseconds{200}; // minimum; jitter adds up to as much
    // Maximum number of queues, one per shard, that are tried again after one
    // event.
    std::size_t max_queues_per_event = 32;
};

// A read or a non-idempotent request that has no final answer yet.
struct pending_request {
    caller_request request;
    bool idempotent = true;
    manifest::manifest_pointer manifest;
    boot_time begun;
    boot_time deadline;
    boot_time timer_at; // its entry in state::timers

    // Where it is to run, by the manifest in force at the last dispatch.
    manifest::snapshot_id snapshot = 0;
    manifest::shard_id shard = 0;
    bool waiting = false;       // queued until a connection is free
    bool budget_earned = false; // its first attempt was credited to the budget

    std::vector<targets::leaf_index> tried;
    std::vector<attempt_id> open_attempts; // sent, and not answered yet
    std::string_view last_reason;          // of the last attempt that failed
    bool ran = false;                      // an attempt ran and failed
    bool may_have_run = false;             // an attempt's outcome is unknown

    // For reads only.
    boot_time hedge_at = boot_time::max();

    // For non-idempotent requests only.
    content_hash identity;
    boot_time grant_expires;
    std::vector<caller_token> joined; // repeats that wait for it
};

// One request that was sent to one leaf. That of a non-idempotent request is
// kept until its record expires, since an answer may arrive after the request
// has ended.
struct attempt_state {
    caller_token token{};
    content_hash identity; // for non-idempotent requests only
    bool idempotent = true;
    std::string request_id;
    targets::leaf_index leaf{};
    std::string leaf_name;
    manifest::snapshot_id snapshot = 0;
    manifest::shard_id shard = 0;
};

// Key of the queue of requests that wait for a connection to a shard.
struct shard_key {
    std::string pool;
    manifest::shard_id shard = 0;

    bool operator<(const shard_key& other) const
    {
        return std::tie(pool, shard) < std::tie(other.pool, other.shard);
    }
};

struct state {
    options settings;
    grant_issuer issuer;
    random_source random;
    manifest::manifest_pointer
        manifest; // in force; null before the first arrives
    ledger request_ledger;
    std::unordered_map<caller_token, pending_request> pending;
    std::unordered_map<caller_token, caller_token> joined; // repeat to request
    std::unordered_map<attempt_id, attempt_state> attempts;
    std::set<std::pair<boot_time, caller_token>> timers;
    std::map<shard_key, std::deque<caller_token>> queues; // oldest first
    shard_key next_queue; // the first to be tried by advance()
};

} // namespace bulrushspring::requests

#endif
