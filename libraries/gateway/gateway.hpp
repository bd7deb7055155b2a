#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_GATEWAY_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_GATEWAY_HPP

#include "libraries/gateway/entries.hpp"
#include "libraries/gateway/exchange.hpp"
#include "libraries/gateway/load.hpp"
#include "libraries/gateway/rate_spread.hpp"
#include "libraries/gateway/reachability.hpp"
#include "libraries/gateway/reader_check.hpp"
#include "libraries/gateway/serving_set.hpp"
#include "libraries/membership/membership.hpp"
#include "libraries/poison/spread.hpp"

#include <optional>

// Combines the reducers of one gateway daemon, which routes the requests of
// callers that use plain HTTP.
namespace bulrushspring::gateway
{

struct options {
    pool_options pool;
    exchange_options exchanges;
    topology::options topology;
    membership::options membership;
    serving_options serving;
    entry_options entries;
    load_options load;
    reachability_options reachability;
    reader_check_options reader_check;
    membership::gossip_options rates; // gossip of what leafs state
    poison::spread_options spread;
    // Processor share of this VM, in thousandths of a core; 0: unknown.
    std::uint32_t capacity = 0;
    // Site-wide slack of extra requests to one service in a window, which the
    // daemons divide between them.
    double budget_slack = 0.0;
    // Share of the site's retry budget that the fleet uses. The rest absorbs
    // differing membership views and windows that are not aligned.
    double budget_share = 0.95;
    // Share of the slack that large daemons take where only some are large.
    double large_slack_share = 0.8;
    // How long callers may cache the list of daemons.
    duration entries_ttl = seconds{1};
    // Some callers cache it longer, by this many times the TTL.
    std::uint32_t max_ttl_multiple = 3;
    // From the stop signal until the process is killed.
    duration stop_grace = seconds{6};
    // Subtracted from stop_grace to send the last answers.
    duration stop_reserve = milliseconds{700};
    // Subtracted from stop_grace: the process has exited by then, even if an
    // answer is not completely sent.
    duration exit_reserve = milliseconds{250};
    // A stopping daemon takes no further requests after this share of the time
    // until it finishes them all, so that those in progress can complete.
    double stop_serving_share = 0.75;
    // Daemons of each data centre that read the store; the others learn from
    // them. More than one, since a reader may be killed or refused by the
    // store.
    std::size_t readers = 3;
    // A daemon that has heard of no peer within this time may be the only one.
    // One that has just started serves callers after it has asked a peer for
    // its table, and no later than this.
    duration peer_timeout = milliseconds{1000};
    // How long a new routing table may wait for connections to the services
    // that it names: part of the time that the site allows for a change.
    duration table_timeout = milliseconds{500};
    // After this time a daemon has discovered the whole fleet.
    duration fleet_discovery_time = seconds{3};
    // Retry-After of a daemon that is still starting, or is stopping.
    duration unready_retry_after = milliseconds{50};
    // Retry-After while the process's memory is exhausted by responses that
    // callers or leafs still have to read or send.
    duration memory_retry_after = milliseconds{500};
};

struct state {
    options settings;
    membership::state members;
    topology::state topology;
    leaf_pool pool;
    exchanges_state exchanges;
    poison::spread_state spread; // of exchanges.poison
    load_state load;
    gateway::reachability reachability;
    gateway::reader_check reader_check;
    rate_spread rates; // of pool
    serving_set serving;
    random_source random;
    std::uint64_t fleet_generation = 0; // of the membership view last counted
    routing::table_pointer table;       // in force
    // Accepted, and put in force once its services have connections or its
    // deadline has passed.
    routing::table_pointer pending_table;
    boot_time pending_table_deadline{};
    boot_time started{};
    boot_time store_role_due_at{}; // when the store role is decided again
    bool ready = false;            // a routing table has been in force
    bool memory_exhausted = false; // see memory_exceeded
    std::optional<boot_time> stop_requested_at;
    bool stopped = false;
};

state make_state(const wire::member_record& self, std::vector<endpoint> seeds,
                 const options& settings, boot_time now);

// Handles one event and emits its effects.
void reduce(state&, const any_event&, context&);

// When the next tick is due.
boot_time next_wakeup(const state&);

// Whether new callers should connect to this daemon.
bool accepts_callers(const state&);

// The number of exchanges in progress.
std::size_t in_progress(const state&);

} // namespace bulrushspring::gateway

#endif
