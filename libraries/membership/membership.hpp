#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_MEMBERSHIP_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_MEMBERSHIP_HPP

#include "libraries/membership/state.hpp"
#include "libraries/reducer/effect.hpp"
#include "libraries/reducer/event.hpp"

#include <string_view>
#include <vector>

// The membership protocol of the fleet, based on SWIM: failure detection by
// probes, updates piggybacked on them as gossip, and rare syncs of the full
// view. The cost for each daemon does not grow with the fleet. The design and
// its reasons are in docs/design/membership.md.
namespace bulrushspring::membership
{

// Returns the state of a daemon that has just started. Its record's incarnation
// must be above that of any earlier process of its name, and its status alive.
// The seeds are peers to contact while no member is known. `seed` is for the
// random source.
state make_state(const wire::member_record& self, std::vector<endpoint> seeds,
                 const options& settings, std::uint64_t seed, boot_time now);

void reduce(state&, const tick&, context&);
void reduce(state&, const datagram_received&, context&);

// Answers a members_request. Other requests are ignored.
void reduce(state&, const peer_request_received&, context&);

// Handles the reply to a members_request sent by this library. Other replies
// are ignored.
void reduce(state&, const peer_reply_received&, context&);

void reduce(state&, const manifest_changed&, context&);
void reduce(state&, const vms_changed&, context&);
void reduce(state&, const leaf_leaving&, context&);

// Announces to all members that this daemon is leaving. It still answers and
// sends probes until the process ends.
void reduce(state&, const stop_requested&, context&);

// Pings a member besides the failure detection, which takes no notice of the
// outcome. Returns the sequence number that the ack repeats.
std::uint64_t send_probe(state&, const endpoint& to, context&);

// Sets the digest of the documents in force, which all datagrams carry. A
// change is sent out at once.
void set_digest(state&, const wire::digest& in_force);

// Announces to all members whether callers wait for this daemon's processor.
void set_overloaded(state&, bool overloaded, boot_time now);

// Announces to all members whether this daemon reaches no leaf while others do.
void set_partitioned(state&, bool partitioned, boot_time now);

// Announces to all members a new size of this daemon's VM, in thousandths of a
// core.
void set_capacity(state&, std::uint32_t capacity, boot_time now);

const view& view_of(const state&);
const wire::member_record& self_of(const state&);

// Returns up to max_count entries for a caller of a data centre, in the order
// in which it should use them: those of its own data centre first, then of its
// region, then others. Only entries that are believed alive and are not leaving
// are chosen, this daemon included; an isolated daemon adds suspects at the
// end. Successive calls choose entries evenly.
std::vector<entry_address> choose_entries(state&, std::string_view data_centre,
                                          std::size_t max_count);

// The time when the next tick is due.
boot_time next_wakeup(const state&);

// A member as shown to operators.
struct member_listing {
    wire::member_record record;
    boot_time since;    // when the status or the incarnation changed
    boot_time heard_at; // boot_time::min() if never heard from
    bool in_manifest = false;
    bool listed_live = false;
    bool listed_leaving = false;
};

// Returns all members, this daemon first, including dead ones. A record whose
// incarnation is 0 is known only from the manifest.
std::vector<member_listing> list_members(const state&);

// Whether any other daemon is known that is not dead.
bool joined(const state&);

} // namespace bulrushspring::membership

#endif
