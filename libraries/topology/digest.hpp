#ifndef BULRUSHSPRING_LIBRARIES_TOPOLOGY_DIGEST_HPP
#define BULRUSHSPRING_LIBRARIES_TOPOLOGY_DIGEST_HPP

#include "libraries/wire/message.hpp"

// What a gateway's digest states. Daemons of protocol level 0, as commit
// 23c2b44, state the revision alone and ignore the other fields, which they
// send as 0.
namespace bulrushspring::topology
{

// The protocol level of this program. A level stands for the kinds of records
// and of messages that a daemon knows:
// 0: leafs and routing tables; records_request
// 1: record_changes_request, versions of tables in digests
inline constexpr std::uint32_t protocol_level = 1;

struct record_digest {
    // All changes of the kinds of records of level 0 are known up to it.
    std::uint64_t revision = 0;
    std::uint32_t level = 0;
    // From level 1 on: the same of all kinds of records of the level.
    std::uint64_t full_revision = 0;
    std::uint64_t table_version = 0; // of the table in use; 0: none
    bool in_service = false;         // callers are served by that table
    bool reaches_store = false;      // its last call to the store succeeded

    bool operator==(const record_digest&) const = default;
};

wire::digest to_wire(const record_digest&);
record_digest from_wire(const wire::digest&);

} // namespace bulrushspring::topology

#endif
