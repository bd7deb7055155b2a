#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_CLAIMS_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_CLAIMS_HPP

#include "libraries/membership/state.hpp"
#include "libraries/reducer/effect.hpp"

#include <string_view>

// Applies claims about members: records received from other daemons, and the
// results of this daemon's own probes.
namespace bulrushspring::membership
{

enum class claim_source : std::uint8_t {
    subject,   // the member itself
    gossip,    // an update piggybacked on a datagram
    full_view, // a sync over TCP
};

enum class claim_outcome : std::uint8_t { ignored, added, changed };

// Applies a record received from another daemon if it is newer than the one
// known. A failure of a live member that is only reported by a full view is not
// applied; the member is probed instead. The log names the reporter as source.
claim_outcome apply_claim(state&, const wire::member_record& claimed,
                          claim_source, std::string_view reporter, context&);

// Sets a member's status as found by this daemon's own probes. The log names
// the reason as source.
void set_status(state&, member_index, wire::member_status,
                std::string_view reason, context&);

// Announces this daemon's own record to all others with the given refutation,
// which must be above that of any claim to be overridden.
void announce_self(state&, std::uint32_t refutation, boot_time now);

// How long a suspect has to refute, at the present size of the fleet and
// awareness of this daemon.
duration suspicion_time(const state&);

// Declares the suspects dead that have not refuted in time.
void expire_suspicions(state&, context&);

// Queues an update with a member's record for gossip.
void enqueue_member_update(state&, member_index, boot_time now);

} // namespace bulrushspring::membership

#endif
