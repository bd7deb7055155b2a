#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_SYNC_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_SYNC_HPP

#include "libraries/membership/state.hpp"
#include "libraries/reducer/effect.hpp"

// Anti-entropy: daemons exchange full views of the members over TCP, at the
// start and then rarely, to repair what gossip missed.
namespace bulrushspring::membership
{

// Asks a random member or a seed for its view if a sync is due.
void sync(state&, context&);

// Replies with the records that the requester lacks, and applies those that it
// sent.
void handle_sync_request(state&, const peer_request_received&,
                         const wire::members_request&, context&);

// Applies the reply to the sync in progress, or schedules a retry if it failed.
// Other replies are ignored.
void handle_sync_reply(state&, const peer_reply_received&, context&);

} // namespace bulrushspring::membership

#endif
