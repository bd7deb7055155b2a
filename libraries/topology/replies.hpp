#ifndef BULRUSHSPRING_LIBRARIES_TOPOLOGY_REPLIES_HPP
#define BULRUSHSPRING_LIBRARIES_TOPOLOGY_REPLIES_HPP

#include "libraries/topology/topology.hpp"

// Answers to peers that ask for records. Internal to this library.
namespace bulrushspring::topology
{

// The bytes of records after which a piece of an answer ends. A record is not
// divided, so that a piece may be longer by one.
inline constexpr std::size_t piece_bytes = 512UL * 1024;

// The records that a peer lacks which knows all changes up to `after`, or the
// oldest changes of them: the reply's revision is that up to which they reach,
// and the peer asks again from there.
// Only kinds of records of protocol level 0 are sent: a daemon of that level
// takes any other for a leaf that can't be read.
wire::records_reply records_after(const state&, std::uint64_t after);

// The same for a peer of a higher level. A complete list is sent in pieces too,
// which the peer puts together.
wire::record_changes_reply changes_for(const state&,
                                       const wire::record_changes_request&);

} // namespace bulrushspring::topology

#endif
