#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_POOL_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_POOL_HPP

#include "base/random.hpp"
#include "libraries/balancing/performance.hpp"
#include "libraries/evacuation/warm_up.hpp"
#include "libraries/gateway/effect.hpp"
#include "libraries/gateway/rate_share.hpp"

#include <map>
#include <optional>
#include <span>
#include <unordered_map>

// The leafs of all services, what is known of them, and the connections kept to
// them.
namespace bulrushspring::gateway
{

// Identifies one attempt: one request that is sent to one leaf.
enum class attempt_id : std::uint64_t {};

// The outcome of an attempt.
enum class attempt_outcome : std::uint8_t {
    pending,
    succeeded,
    refused,     // not run, as stated by the leaf
    misdirected, // not run: another server has the address
    failed,      // may have run: it was answered with a failure
    broke_off,   // may have run: the connection ended without an answer
    expired,     // may have run: its time at the leaf, less than the caller's
                 // time, ran out
};

// After this many failed opens in a row a leaf is considered unreachable.
inline constexpr std::uint32_t max_failed_opens = 2;

struct pool_options {
    // A record that is missing from the store may have expired while the
    // store was unavailable, and returns about two seconds later: until then
    // its leaf is used as a last resort.
    duration unlisted_grace = milliseconds{2000};
    // Connections being opened at a time, so that preconnecting does not
    // delay requests.
    std::uint32_t max_opening = 16;
    // Limit for establishing a connection; a round trip within a region takes
    // a few milliseconds.
    duration open_timeout = milliseconds{250};
    // Limit for answering a health check.
    duration health_check_timeout = milliseconds{500};
    // Connections of one daemon to one leaf, whatever the leaf's limit.
    std::uint32_t max_connections = 4;
    // Where only some daemons are large: the share of a leaf's connections
    // that the large daemons take together, and the most that one of them
    // takes. They serve the callers as long as they are alive; the others
    // need some connections to be ready.
    double large_connection_share = 0.25;
    std::uint32_t max_connections_of_large = 2;
    // Share of a leaf's connection limit that the fleet uses. The rest
    // absorbs differing membership views and connections that the leaf has
    // not closed yet.
    double connection_limit_share = 0.85;
    // Exponential backoff between connections to a leaf that fail.
    duration min_backoff = milliseconds{50};
    duration max_backoff = milliseconds{2000};
    // How long a leaf is avoided after it refused a request, failed, or
    // neither answered before the hedge nor accepted a connection in time.
    duration refusal_penalty = milliseconds{100};
    duration failure_penalty = milliseconds{500};
    duration hedged_penalty = milliseconds{200};
    balancing::options balancing;
    // A leaf that states a lower limit is sent this many requests a second by
    // all daemons, to learn whether it still holds.
    double min_rate_limit = 0.1;
    gateway::cold_bound cold_bound;
};

struct leaf_connection {
    std::string leaf;
    std::uint32_t incarnation = 0; // leaf_state::incarnations when opened
    bool open = false;
    bool answered = false;             // at least one answer was received on it
    std::optional<attempt_id> attempt; // that uses it or waits for it
    bool health_check = false;         // one was sent and is not answered
    bool unread = false;      // the leaf has not read all that was sent on it
    boot_time since{};        // opened, or last used
    duration idle_timeout{0}; // at the leaf; 0: not known
};

// What was learned of a leaf's process, and is forgotten when it restarts.
struct leaf_process : balancing::performance {
    bool misdirected = false; // another server answers at its address
    // It has stated in an answer that it is leaving.
    bool leaving = false;
    // It has stated with a refusal that it wants no request before this time.
    boot_time paused_until{};
    // The requests a second that it takes from all daemons together, as it has
    // stated last, and the time of that statement.
    std::optional<double> rate_limit;
    boot_time rate_stated_at{};
    bool rate_unreadable = false; // its last statement, which is logged once
    rate_gate rate;               // this daemon's part, while there is a limit
    evacuation::warm_up_state warm_up;
    // This daemon's part of what the leaf tolerates while it is cold, and what
    // that was computed of: requests a second, rate_sharers::generation.
    rate_gate cold_rate;
    std::pair<double, std::uint64_t> cold_rate_of;
    std::uint32_t unanswered_hedges = 0; // since its last answer
    // Connections in a row that ended before any answer, and of those the
    // ones in a row that were never established.
    std::uint32_t failed_connections = 0;
    std::uint32_t failed_opens = 0;
    boot_time connection_failed_at{}; // the last of those
    boot_time given_up_at{};          // an attempt, without an answer in time
    boot_time backoff_until{};        // no connection is opened before
};

struct leaf_state : leaf_process {
    routing::leaf published;
    bool listed = false; // its record is in the store
    boot_time unlisted_at{};
    std::uint32_t incarnations = 0; // changes of its published incarnation
    std::uint32_t in_flight = 0;
    std::uint32_t suspects = 0;   // of those, requests that may crash it
    boot_time preconnect_after{}; // no connection is opened in advance before
    std::vector<connection_id> idle; // the most recently used at the back
    std::uint32_t connections = 0;   // opening, idle and busy
    std::uint32_t established = 0;   // of those, idle and busy
    std::uint32_t unread = 0; // of those, with bytes that it has not read
    // Rendezvous hash of the daemon and the leaf: selects the daemons that
    // connect to a leaf with fewer connections than daemons.
    std::uint64_t placement_hash = 0;
};

// Counts of the daemons that share the leafs. Each count is the maximum
// observed so far.
struct fleet_summary {
    std::size_t size = 1;
    std::size_t near = 1;               // in this daemon's data centre
    std::size_t large = 1;              // with the largest VMs
    std::uint32_t largest_capacity = 0; // in thousandths of a core
    bool self_is_large = true;
    // Whether callers are directed to this daemon. The others open connections
    // only for requests that reach them nevertheless.
    bool self_serves = true;
    bool known = false; // until then no connection is opened in advance
    // Not all other daemons have been discovered yet. Until then the quota is
    // the least that any daemon may have.
    bool recently_started = true;
};

// This daemon's fraction of a limit that the fleet divides, where the large
// daemons together take share_of_large of it.
double daemon_share(const fleet_summary&, double share_of_large);

struct leaf_pool {
    pool_options settings;
    random_source random;
    std::string name;                        // of this daemon
    std::string data_centre;                 // of this daemon
    std::map<std::string, leaf_state> leafs; // by id
    std::map<std::string, std::vector<std::string>> by_service;
    std::unordered_map<std::uint64_t, leaf_connection> connections;
    routing::table_pointer table;
    std::uint32_t opening = 0; // connections being opened
    fleet_summary fleet;
    rate_sharers sharers;
    evacuation::state evacuations;
    std::vector<std::string> changed_rates; // leafs, for other daemons
    boot_time maintain_at{};
    boot_time slowness_logged_at{}; // a slow leaf, the last time
};

// Delays the first connection to a leaf that may be used from now on.
void delay_preconnect(leaf_pool&, leaf_state&, boot_time now);

void apply(leaf_pool&, const topology::leaf_changed&, context&);
void apply(leaf_pool&, const topology::leaf_gone&, context&);

// Whether the concurrency limit of a leaf of the service admits a request now.
bool admits_requests(const leaf_pool&, const std::string& service,
                     boot_time now);

// Records whether the leaf has read all that was sent on the connection.
void set_unread(leaf_pool&, connection_id, bool unread);

// Whether the leaf may be sent a request now, as far as it has stated and reads
// what it was sent.
bool accepts_requests(const leaf_state&, boot_time now);

// Adopts what the answer to an attempt sent at `sent_at` states about its leaf:
// that it is leaving, wants no request for a time, or takes only so many a
// second. A leaf that is leaving is not used again before it is published with
// a new incarnation.
void apply_leaf_state(leaf_pool&, connection_id, const leaf_reply&,
                      boot_time sent_at, context&);

// The earliest time at which a leaf of the service may be sent a request:
// `now` if one accepts requests, although it may be busy; the end of the
// backoff for a leaf without a connection; boot_time::max() if there is no
// leaf that can be used.
boot_time available_at(const leaf_pool&, const std::string& service,
                       boot_time now);

// Whether all leafs of the service are unreachable: none has an established
// connection, and the last connects to each have failed. While further ones are
// made, no answer is to be expected.
bool is_unreachable(const leaf_pool&, const std::string& service,
                    boot_time now);

// Removes a connection that has ended. `failed`: no answer was ever received
// on it, which starts or extends the backoff.
void remove_connection(leaf_pool&, connection_id, bool failed, context&);

// Lets connections be opened again to leafs that could not be reached, because
// the fault was in this daemon's own path.
void forget_failures(leaf_pool&, boot_time now);

// Closes a connection and removes it, without a backoff.
void close_connection(leaf_pool&, connection_id, context&);

leaf_state* find_leaf(leaf_pool&, const std::string& id);

// The ids of a service's leafs; none if the service is not known.
std::span<const std::string> leafs_of(const leaf_pool&,
                                      const std::string& service);

// Opens the first connections to leafs without any, closes idle connections
// shortly before the leaf would, aborts connects and health checks that time
// out, and erases unused leafs that are no longer published.
void maintain(leaf_pool&, context&);
boot_time next_wakeup(const leaf_pool&);

} // namespace bulrushspring::gateway

#endif
