#ifndef BULRUSHSPRING_LIBRARIES_TOPOLOGY_PEERS_HPP
#define BULRUSHSPRING_LIBRARIES_TOPOLOGY_PEERS_HPP

#include "libraries/topology/topology.hpp"

// Requests to peers for records that they know and this daemon lacks. Internal
// to this library.
namespace bulrushspring::topology
{

// After a loss of power no peer can be asked: that many of them that are
// starting as well are taken for all, so that the fleet serves callers at once.
inline constexpr std::size_t enough_starting_peers = 3;

// Up to which all changes of the kinds of records of level 0 are known.
std::uint64_t basic_revision_of(const state&);

// The version of the table in use; 0: none.
std::uint64_t table_version_of(const state&);

// Notes what a peer's digest states that is not known here.
void note_digest(state&, const endpoint& peer, const record_digest&,
                 boot_time now);

// Sends the most important request that is due, if none is in progress.
void request_if_due(state&, context&);

// Ends the request in progress, which has been answered with `event`. Returns
// what to apply: the event, or the whole list of which it was the last piece,
// or nothing while further pieces have to be requested.
std::optional<records_learned> receive_answer(state&, records_learned event);

// Draws the conclusions of an answer that has been applied.
void finish_request(state&, context&);

// Logs the answer to the request in progress if it is large.
void log_received(const state&, const records_learned& event, context&);

// Ends the request in progress, which has failed.
void fail_request(state&, const error& cause, context&);

// When request_if_due is to be called again.
boot_time next_request(const state&);

// Whether changes that a peer has are missing here for too long.
bool lacks_changes(const state&, boot_time now);

} // namespace bulrushspring::topology

#endif
