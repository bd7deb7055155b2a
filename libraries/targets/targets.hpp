#ifndef BULRUSHSPRING_LIBRARIES_TARGETS_TARGETS_HPP
#define BULRUSHSPRING_LIBRARIES_TARGETS_TARGETS_HPP

#include "libraries/reducer/effect.hpp"
#include "libraries/reducer/event.hpp"
#include "libraries/targets/state.hpp"

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Manages the leafs of all targets: connections to them, their concurrency
// limits, which of them are leaving, and the choice between replicas.
namespace bulrushspring::targets
{

// `self` is this daemon's name in the manifest's fleet; `seed` seeds the random
// choices between replicas and the jitter of backoff.
state make_state(std::string self, options settings, std::uint64_t seed,
                 boot_time now);

void reduce(state& self, const tick& event, context& context);
void reduce(state& self, const manifest_changed& event, context& context);
void reduce(state& self, const vms_changed& event, context& context);
void reduce(state& self, const leaf_leaving& event, context& context);
void reduce(state& self, const connection_opened& event, context& context);
void reduce(state& self, const connection_closed& event, context& context);
void reduce(state& self, const probe_answered& event, context& context);
void reduce(state& self, const leaf_answered& event, context& context);
void reduce(state& self, const leaf_failed& event, context& context);
void reduce(state& self, const stop_requested& event, context& context);

// What a request requires of the leaf it is sent to.
struct leaf_requirements {
    const manifest::pool& pool;
    manifest::snapshot_id snapshot = 0; // 0: the one that the pool serves
    manifest::shard_id shard = 0;
    bool idempotent = true;
    std::span<const leaf_index> excluded; // leafs already tried
    duration time_left{0}; // until the request's deadline; 0: not known
};

// A connection reserved for an attempt.
struct assignment {
    leaf_index leaf;
    connection_id connection;
    attempt_id attempt;
};

// Why no leaf was assigned.
enum class unavailable_reason : std::uint8_t {
    no_replica,    // no known replica, or all are leaving or excluded
    no_connection, // no remaining replica can take a request now
};

// Chooses a leaf and reserves one of its connections for an attempt. The
// calling code emits the send_to_leaf effect. The connection becomes idle with
// leaf_answered and is removed with leaf_failed; `reduce` of this library must
// handle these events before the library that called `assign` does.
std::variant<assignment, unavailable_reason>
assign(state& self, const leaf_requirements& requirements, context& context);

// Asks the leaf, over another connection, to cancel an attempt. If the leaf has
// no idle connection, the attempt continues.
void cancel(state& self, attempt_id attempt, context& context);

// Time to wait for the answer of a leaf of the pool before a hedge is sent.
duration hedge_delay(const state& self, std::string_view pool);

// False while the whole pool is slow or overloaded, when hedges would only add
// load.
bool hedging_enabled(const state& self, std::string_view pool);

// The service's budget for extra requests to leafs: hedges and retries.
limits::retry_budget& retry_budget_of(state& self,
                                      const manifest::service& service);

std::string_view leaf_name(const state& self, leaf_index leaf);

// True once a first attempt to connect to each assigned leaf has succeeded or
// failed. Before that, requests would have to wait for connections.
bool warmed_up(const state& self);

// The state of one leaf as shown to operators.
struct leaf_status_line {
    std::string name;
    std::string pool;
    std::string data_centre;
    std::string state;  // live, leaving, unreachable, connecting or cold
    std::string reason; // reason of a state other than live
    std::uint32_t connections = 0;
    std::uint32_t share = 0;
    double limit = 0;
    std::uint32_t in_flight = 0;
    duration latency{0};
};

// The leafs to which this daemon holds or may open connections, sorted by name.
std::vector<leaf_status_line> status_of(const state& self);

// When the next tick is due.
boot_time next_wakeup(const state& self);

} // namespace bulrushspring::targets

#endif
