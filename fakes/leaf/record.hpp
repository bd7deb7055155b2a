#ifndef BULRUSHSPRING_FAKES_LEAF_RECORD_HPP
#define BULRUSHSPRING_FAKES_LEAF_RECORD_HPP

#include "base/error.hpp"
#include "base/time.hpp"
#include "libraries/manifest/manifest.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace bulrushspring::fakes
{

// One execution of a work request. It counts as executed from its start.
struct execution_record {
    std::string leaf;
    std::string request_id;
    std::string attempt;
    std::string service;
    std::string key;
    manifest::snapshot_id snapshot = 0;
    manifest::shard_id shard = 0;
    bool idempotent = true;
    boot_time started;
};

// Formats an execution as a JSON object on one line, without a line feed.
std::string to_json(const execution_record& record);

// Parses the output of to_json. Errors: malformed.
result<execution_record> parse_execution(std::string_view text);

// The newest executions. Non-idempotent ones are stored separately, so that a
// large number of queries does not evict them.
struct execution_log {
    std::size_t max_idempotent = 20'000;
    std::size_t max_others = 100'000;
    std::deque<execution_record> idempotent;
    std::deque<execution_record> others;
    std::uint64_t total = 0;
    std::uint64_t total_others = 0;
    std::uint64_t dropped = 0; // evicted
    std::uint64_t dropped_others = 0;
};

inline void append_bounded(std::deque<execution_record>& records,
                           std::size_t max_size, std::uint64_t& dropped,
                           execution_record record)
{
    if (records.size() >= max_size) {
        records.pop_front();
        ++dropped;
    }
    records.push_back(std::move(record));
}

inline void append(execution_log& log, execution_record record)
{
    ++log.total;
    if (record.idempotent) {
        append_bounded(log.idempotent, log.max_idempotent, log.dropped,
                       std::move(record));
        return;
    }
    ++log.total_others;
    append_bounded(log.others, log.max_others, log.dropped_others,
                   std::move(record));
}

// Counters of a leaf.
struct leaf_counts {
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t shed = 0;
    std::uint64_t refused_draining = 0;
    std::uint64_t refused_snapshot = 0;
    std::uint64_t refused_shard = 0;
    std::uint64_t cancelled_queued = 0;
    std::uint64_t cancelled_running = 0;
    std::uint64_t deadline_passed = 0;
    std::uint64_t unsent = 0; // answers on closed or silent connections
    std::uint64_t probes = 0;
    std::uint64_t malformed = 0;
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_refused = 0;
    std::uint64_t most_connections = 0; // largest number open at once
};

} // namespace bulrushspring::fakes

#endif
