#ifndef BULRUSHSPRING_LIBRARIES_REDUCER_CALLER_MESSAGE_HPP
#define BULRUSHSPRING_LIBRARIES_REDUCER_CALLER_MESSAGE_HPP

#include "libraries/reducer/leaf_message.hpp"

#include <string>
#include <vector>

namespace bulrushspring
{

// A request from a caller, as parsed from HTTP.
struct caller_request {
    manifest::service_kind kind = manifest::service_kind::query;
    std::string service;
    std::string key;   // selects the shard of a read or a request
    std::string id;    // unique, chosen by the caller
    std::string grant; // non-idempotent only: permission to send here
    // Number of the caller's attempt, from 1; 0 if not given.
    std::uint32_t caller_attempt = 0;
    std::string caller;    // identity of the caller, for fair queueing
    duration time_left{0}; // 0: the service's deadline applies
    shared_text body;
};

// Whether a request may have been executed if no attempt for it was sent to a
// target this time. The caller may have sent it before, through this entry or
// another one, and that attempt may have been executed. A non-idempotent
// request without the caller's attempt number counts as a possible repeat.
execution execution_if_not_sent(const caller_request& request);

enum class missing_reason : std::uint8_t {
    timed_out,     // no replica answered before the deadline
    no_replica,    // no live replica is known
    no_connection, // no connection to a replica became free in time
    shed,          // every replica refused
    snapshot_gone, // no replica holds the answer's snapshot
    failed,        // a replica reported a failure
};

std::string_view to_string(missing_reason reason);

struct missing_shard {
    manifest::shard_id shard = 0;
    missing_reason reason = missing_reason::timed_out;

    bool operator==(const missing_shard&) const = default;
};

enum class answer_status : std::uint8_t {
    answered, // complete
    partial,  // with shards missing
    refused,  // not executed
    failed,   // executed and failed, or a query below its minimum coverage
    outcome_unknown, // sent, and it is unknown whether it was executed
};

std::string_view to_string(answer_status status);

// The final answer to a caller's request.
struct caller_answer {
    answer_status status = answer_status::failed;
    execution run = execution::unknown;
    std::string request_id;
    manifest::snapshot_id snapshot = 0;
    std::uint32_t shards = 0; // of the snapshot
    std::vector<missing_shard> missing;
    std::string leaf; // of a read or a request
    std::string body;
    duration retry_after{0}; // 0: a retry would not help
    std::string reason;      // one of the reasons listed in docs/CALLERS.md
    std::string grant;       // a new one if the caller needs it
};

// An entry that callers may use.
struct entry_address {
    std::string name;
    std::string data_centre;
    endpoint caller;
};

// The answer to an address query: the entries that a caller should use.
struct address_answer {
    std::vector<entry_address> entries;
    duration validity{0}; // how long the caller may cache the answer
    std::string grant;    // permission to send non-idempotent requests here
    duration grant_validity{0};
};

} // namespace bulrushspring

#endif
