#ifndef BULRUSHSPRING_LIBRARIES_NODE_NODE_HPP
#define BULRUSHSPRING_LIBRARIES_NODE_NODE_HPP

#include "libraries/admission/admission.hpp"
#include "libraries/configuration/configuration.hpp"
#include "libraries/membership/membership.hpp"
#include "libraries/queries/queries.hpp"
#include "libraries/reducer/effect.hpp"
#include "libraries/requests/requests.hpp"
#include "libraries/targets/targets.hpp"

#include <optional>

// The reducer of a whole daemon, which combines the reducers of all libraries.
namespace bulrushspring::node
{

struct options {
    // How long callers may cache the answer to an address query.
    duration address_validity{seconds{10}};
    // How long a grant permits a caller to send non-idempotent requests.
    duration grant_validity{seconds{30}};
    // Maximum entries in one answer to an address query.
    std::size_t max_addresses = 4;
    // Time until every daemon has learned that an entry is shutting down and
    // has stopped giving its address to callers.
    duration departure_propagation{seconds{3}};
};

struct state {
    options settings;
    membership::state members;
    configuration::state configuration;
    targets::state targets;
    queries::state queries;
    requests::state requests;
    admission::state admission;
    manifest::manifest_pointer active_manifest;
    std::optional<boot_time> stop_requested_at;
    bool stopped = false;
    // Whether a first attempt to connect to each assigned leaf has ended.
    bool warm = false;
};

// The state of a daemon that has just started. `self` holds the addresses that
// the daemon's sockets are bound to; `readers` is the number of daemons that
// read the platform in each data centre.
state make_state(const wire::member_record& self, std::vector<endpoint> seeds,
                 const options& settings, std::size_t readers, boot_time now);

// Processes one event and all events that it causes inside this process.
// Effects are appended to the context's; raise_event is handled here.
void reduce(state& self, const event& what, context& context);

// When the next tick is due at the latest.
boot_time next_wakeup(const state& self);

// Whether callers' requests are accepted: a configuration is active and has
// been compared with the peers', and a first attempt to connect to each
// assigned leaf has ended.
bool serving(const state& self);

// The number of callers' requests in progress or waiting for admission.
std::size_t in_flight(const state& self);

} // namespace bulrushspring::node

#endif
