#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_POOL_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_POOL_HPP

#include "base/random.hpp"
#include "libraries/gateway/effect.hpp"
#include "libraries/limits/concurrency_limit.hpp"

#include <map>
#include <optional>
#include <span>
#include <unordered_map>

// The leafs of all services: what is believed of each, the connections kept
// to it, and the choice between them.
namespace bulrushspring::gateway
{

// One sending of a request to one leaf.
enum class sending_id : std::uint64_t {};

struct pool_options {
    // An entry that vanished may have lapsed while the store was away, and is
    // back about two seconds later: until then its leaf is a last resort.
    duration lapse_hold = milliseconds{2000};
    // Connections opening at a time, so that warming does not crowd out work.
    std::uint32_t most_opening = 16;
    // A connection attempt that takes longer is given up: a round trip within
    // a region takes a few milliseconds.
    duration open_timeout = milliseconds{250};
    // What one daemon holds at most to a leaf, whatever its limit.
    std::uint32_t most_connections = 4;
    // Share of the fleet's connections that large daemons take where not all
    // are, and what one of them holds at most to a leaf. They serve callers
    // while they live; the others need some to be ready.
    double connections_of_large = 0.25;
    std::uint32_t most_connections_of_large = 2;
    // Share of a leaf's connection limit that the fleet uses, so that views
    // that differ and connections that linger at the leaf fit too.
    double connection_share = 0.85;
    duration least_backoff = milliseconds{50};
    duration most_backoff = milliseconds{2000};
    // How long a leaf is avoided after it refused, failed or fell silent.
    duration refusal_penalty = milliseconds{100};
    duration failure_penalty = milliseconds{500};
    duration silence_penalty = milliseconds{200};
    // How much worse a leaf of another data centre is, for its bytes cost.
    double remote_factor = 1.3;
    // Latency factors forget: half of a deviation is gone after this time
    // without a new sample, so that a leaf that was slow is tried again.
    duration deviation_half_life = seconds{4};
    duration refusal_half_life = seconds{3};
    // The most that one daemon has in flight at a leaf that keeps up. One
    // that does not is left with one request of each daemon.
    double most_in_flight = 8;
    // An answer that took this many times the expected latency says that
    // requests queue at the leaf.
    double queueing_factor = 3.0;
    // How much worse a leaf is that refuses everything.
    double refusal_weight = 12.0;
};

struct leaf_connection {
    std::string leaf;
    bool open = false;
    bool answered = false;             // the leaf answered on it at least once
    std::optional<sending_id> sending; // that uses it or waits for it
    boot_time since{};                 // opened, or last used
    duration idle_timeout{0};          // at the leaf; 0: not known
};

struct leaf_state {
    routing::leaf published;
    bool listed = false;
    boot_time unlisted_at{};
    bool misdirected = false; // another server answers at its address
    // Observed latency over the expected one; 1 is as expected.
    double slowness = 1.0;
    boot_time sampled_at{};
    // Share of recent requests that it refused or failed, 0 to 1.
    double refusals = 0.0;
    boot_time refusals_at{};
    std::uint32_t in_flight = 0;
    limits::concurrency_limit limit; // of in_flight
    std::uint32_t silences = 0;      // overtaken in a row, without an answer
    boot_time avoid_until{};
    std::uint32_t failures = 0;      // connections in a row that never served
    std::uint32_t unreachable = 0;   // of those, in a row, that never opened
    boot_time open_after{};          // no connection before, after failures
    boot_time warm_after{};          // none ahead of requests before
    std::vector<connection_id> idle; // the one used last is at the back
    std::uint32_t connections = 0;   // opening, idle and busy
    boot_time cold_until{};
    // Where this daemon stands among those that want a connection to it.
    std::uint64_t placement = 0;
};

// What is known of the daemons that share the leafs.
struct fleet_shape {
    std::size_t size = 1;      // most daemons ever seen
    std::size_t near = 1;      // of those, in this daemon's data centre
    std::size_t large = 1;     // of those, with the largest VMs
    std::uint32_t largest = 0; // capacity ever seen
    bool self_large = true;
    bool known = false; // until then no connection is opened ahead
    // A young daemon has not heard of all others yet, and keeps to what any
    // daemon may have.
    bool young = true;
};

// This daemon's share of what the fleet divides, if the large ones take that
// share of it among themselves.
double share_of_fleet(const fleet_shape&, double share_of_large);

struct leaf_pool {
    pool_options settings;
    random_source random;
    std::string name;        // this daemon's
    std::string data_centre; // this daemon's
    std::map<std::string, leaf_state> leafs;
    std::map<std::string, std::vector<std::string>> by_service;
    std::unordered_map<std::uint64_t, leaf_connection> connections;
    routing::table_pointer table;
    std::uint32_t opening = 0;
    fleet_shape fleet;
    boot_time warm_at{};
};

void apply(leaf_pool&, const topology::leaf_changed&, context&);
void apply(leaf_pool&, const topology::leaf_gone&, context&);

// The best leaf of a service that is not among the excluded ones; null if
// there is none. Leafs that are avoided come last.
leaf_state* choose(leaf_pool&, const std::string& service,
                   std::span<const std::string> excluded, boot_time now);

// Takes an idle connection to the leaf for a sending, or opens one that will
// be the sending's; nothing if the leaf can have no further connection.
std::optional<connection_id> acquire(leaf_pool&, leaf_state&, sending_id,
                                     bool idempotent, context&);

// The connection has answered and may be used again.
void release(leaf_pool&, connection_id, const leaf_reply&, context&);

// Forgets a connection that is gone; `failed` if it never served, which keeps
// the next one back for a while.
void forget(leaf_pool&, connection_id, bool failed, context&);

// Closes a connection of this daemon's own accord.
void drop(leaf_pool&, connection_id, context&);

// Takes the limits of a table, and opens connections to the services that it
// names without delay.
void prepare_for(leaf_pool&, const routing::table_pointer&, context&);

// Whether each service that the table routes to can be reached at once, or
// has no leaf to connect to.
bool prepared_for(const leaf_pool&, const routing::table&, boot_time now);

leaf_state* find_leaf(leaf_pool&, const std::string& id);

// Opens the first connections of leafs that have none, closes idle ones that
// the leaf is about to close, and gives up connecting that takes too long.
void maintain(leaf_pool&, context&);
boot_time next_wakeup(const leaf_pool&);

} // namespace bulrushspring::gateway

#endif
