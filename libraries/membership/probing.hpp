#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_PROBING_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_PROBING_HPP

#include "libraries/membership/state.hpp"
#include "libraries/reducer/effect.hpp"

// Failure detection as in SWIM. One live member is probed per interval, through
// helpers if it does not answer directly. Dead members and seeds are probed
// less often.
namespace bulrushspring::membership
{

// Advances the probe in progress, and starts the next one if it is due.
void probe_live(state&, context&);

// Probes a dead member or a seed if that is due. A dead member past its
// retention period is removed instead.
void probe_dead(state&, context&);

// Handles the ack of a ping that this daemon sent for itself or for another
// daemon.
void handle_ack(state&, const wire::ack&, context&);

// Pings a member on behalf of the requester.
void handle_ping_request(state&, const wire::ping_request&, endpoint requester,
                         context&);

// The time when probe_live must next be called.
boot_time next_probe_step(const state&);

} // namespace bulrushspring::membership

#endif
