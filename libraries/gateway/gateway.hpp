#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_GATEWAY_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_GATEWAY_HPP

#include "libraries/gateway/entries.hpp"
#include "libraries/gateway/exchange.hpp"
#include "libraries/gateway/load.hpp"
#include "libraries/membership/membership.hpp"

#include <optional>

// The join of the gateway's reducers: one daemon's decisions on the requests
// of callers that speak plain HTTP.
namespace bulrushspring::gateway
{

struct options {
    pool_options pool;
    exchange_options exchanges;
    topology::options topology;
    membership::options membership;
    entry_options entries;
    load_options load;
    // Of this VM's processor, in thousandths of a core; 0: not told.
    std::uint32_t capacity = 0;
    // The site's limit on extra requests to one service in a window; the
    // daemons divide it.
    double budget_slack = 0.0;
    // Share of that limit that the fleet uses, for views that differ and
    // clocks of windows that don't agree.
    double budget_share = 0.95;
    // Share of the slack that is for large daemons where not all are.
    double slack_of_large = 0.8;
    // How long callers may keep the list of daemons.
    duration entries_hold = seconds{1};
    // Some callers keep it this many times as long.
    std::uint32_t hold_overrun = 3;
    // From a stop's signal until the process is killed.
    duration stop_grace = seconds{6};
    // Kept back of that for the last answers.
    duration stop_reserve = milliseconds{700};
    // Daemons of each data centre that read the store; others learn from
    // them. Several, since a reader may be killed or turned away.
    std::size_t readers = 3;
    // A daemon that has heard of no peer after this time may be alone.
    duration peer_patience = milliseconds{1000};
    // How long a new routing table may wait until there are connections to
    // the services that it names: a share of the time that the site allows
    // for a change.
    duration table_patience = milliseconds{500};
    // After this time a daemon has heard of the whole fleet.
    duration youth = seconds{3};
    // What a caller is told to wait before it asks a daemon that starts.
    duration start_retry_after = milliseconds{50};
};

struct state {
    options settings;
    membership::state members;
    topology::state topology;
    leaf_pool pool;
    exchanges_state exchanges;
    load_state load;
    random_source random;
    std::uint64_t fleet_measured = 0; // generation of the view
    routing::table_pointer table;     // in force
    // Accepted, and in force as soon as its services can be reached.
    routing::table_pointer coming;
    boot_time coming_by{};
    boot_time started{};
    boot_time review_at{}; // of who reads the store
    bool ready = false;    // a routing table is known
    std::optional<boot_time> stop_asked;
    bool stopped = false;
};

state make_state(const wire::member_record& self, std::vector<endpoint> seeds,
                 const options& settings, boot_time now);

// Takes one event in, with all that follows from it inside this process.
void reduce(state&, const any_event&, context&);

// When the next tick is due at the latest.
boot_time next_wakeup(const state&);

// Whether callers should be sent here.
bool accepts_callers(const state&);

std::size_t in_progress(const state&);

} // namespace bulrushspring::gateway

#endif
