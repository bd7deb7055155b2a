#ifndef BULRUSHSPRING_LIBRARIES_REDUCER_LEAF_MESSAGE_HPP
#define BULRUSHSPRING_LIBRARIES_REDUCER_LEAF_MESSAGE_HPP

#include "base/time.hpp"
#include "libraries/manifest/manifest.hpp"
#include "libraries/memory/account.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace bulrushspring
{

using shared_text = std::shared_ptr<const std::string>;

// Whether a request was executed. It is "unknown" whenever the request was sent
// and neither result is proven.
enum class execution : std::uint8_t { ran, not_run, unknown };

// One request to one leaf.
struct leaf_request {
    std::string request_id;
    std::string service;
    manifest::snapshot_id snapshot = 0; // 0: the one that the leaf serves
    manifest::shard_id shard = 0;
    std::string key;
    shared_text body;
    duration time_left{0};
    bool idempotent = true;
};

enum class leaf_status : std::uint8_t {
    answered,
    shed,           // not executed: the leaf is at its limit
    draining,       // not executed: the leaf is shutting down
    snapshot_gone,  // not executed: snapshot no longer, or not yet, held
    shard_not_held, // not executed
    cancelled,
    deadline_passed,
    failed,
};

// A leaf's answer to one attempt. The echoed request id, snapshot and shard
// identify the request that the leaf has answered.
struct leaf_answer {
    leaf_status status = leaf_status::failed;
    execution run = execution::unknown;
    std::string request_id;
    manifest::snapshot_id snapshot = 0;
    manifest::snapshot_id current_snapshot = 0;
    manifest::shard_id shard = 0;
    bool draining = false;
    std::uint32_t queued = 0; // requests queued at the leaf
    std::string body;
    memory::charge held;      // for the body
    bool same_attempt = true; // whether the echoed attempt matches
};

// A leaf's answer to a probe of a connection.
struct leaf_health {
    bool draining = false;
    bool warm = true;
    std::uint32_t queued = 0;
};

} // namespace bulrushspring

#endif
