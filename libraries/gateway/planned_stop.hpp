#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_PLANNED_STOP_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_PLANNED_STOP_HPP

#include "libraries/gateway/gateway.hpp"

// What a daemon still takes and when it ends, once it has been told to stop.
// Internal to gateway.cpp.
namespace bulrushspring::gateway
{

// When all requests in progress at a planned stop get their final answer.
// Requires that a stop has been requested.
boot_time stop_deadline(const state&);

// Whether a planned stop leaves no time for a further request. Callers that can
// still cache this daemon's address are served for most of the stop.
bool refuses_requests(const state&, boot_time now);

// Ends a planned stop once no caller can still cache this daemon's address and
// nothing is in progress, or at the latest shortly before the stop grace
// period ends.
void finish_stop_if_due(state&, context&);

} // namespace bulrushspring::gateway

#endif
