#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_FLEET_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_FLEET_HPP

#include "libraries/gateway/gateway.hpp"

// What a daemon derives from its view of the fleet: its role and its shares of
// what the daemons divide.
namespace bulrushspring::gateway
{

// Decides, if due, which role this daemon has in reading the store.
void update_store_role(state&, bulrushspring::context&);

// Updates the counts of the fleet, which never decrease: a daemon that is
// not heard of may still hold connections and spend its share of the budget.
void update_fleet_summary(state&, boot_time now);

// Selects the daemons that serve callers, from those that callers can reach.
void update_serving_set(state&, boot_time now);
void update_serving_set_if_due(state&, boot_time now);

// Updates this daemon's shares of the rates that leafs have stated.
void update_rate_shares_if_due(state&, boot_time now);

// Sets this daemon's share of the site's retry budget. Large daemons divide
// the greater part, since they serve the callers. A daemon that does not know
// its fleet yet takes none, and one that has just started takes less: its
// previous incarnation may have spent some in the same window.
void update_budget(state&, boot_time now);

} // namespace bulrushspring::gateway

#endif
