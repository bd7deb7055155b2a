#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_MEMBERSHIP_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_MEMBERSHIP_HPP

#include "libraries/membership/state.hpp"
#include "libraries/reducer/effect.hpp"
#include "libraries/reducer/event.hpp"

#include <string_view>
#include <vector>

// Who is in the fleet: failure detection by probes, rumours piggybacked on
// them, and rare syncs of the full view, at a cost for each daemon that does
// not grow with the fleet. docs/design/membership.md tells why.
namespace bulrushspring::membership
{

// A daemon that has just started. Its record's life must be above that of
// any earlier process of its name, and its status alive. The seeds are peers
// to ask before any is known.
state make_state(const wire::member_record& self, std::vector<endpoint> seeds,
                 const options& settings, std::uint64_t seed, boot_time now);

void reduce(state&, const tick&, context&);
void reduce(state&, const datagram_received&, context&);

// Answers a members_request; leaves other requests to others.
void reduce(state&, const peer_asked&, context&);

// Takes the reply to its own request; leaves others to others.
void reduce(state&, const peer_replied&, context&);

void reduce(state&, const manifest_changed&, context&);
void reduce(state&, const vms_changed&, context&);
void reduce(state&, const leaf_leaving&, context&);

// Tells everyone that this daemon is leaving. It still answers and probes
// until its process ends.
void reduce(state&, const stop_requested&, context&);

// The documents in force here, piggybacked on all datagrams. A change is sent
// out at once.
void set_digest(state&, const wire::digest& in_force);

// Tells everyone whether this daemon keeps callers waiting.
void set_overloaded(state&, bool overloaded, boot_time now);

// Tells everyone of another size of this daemon's VM.
void set_capacity(state&, std::uint32_t capacity, boot_time now);

const view& view_of(const state&);
const wire::member_record& self_of(const state&);

// Up to so many entries for a caller of a data centre, to be used in this
// order: of its own data centre first, then of its region, then others. Only
// entries that are believed alive and are not leaving; this daemon too.
// Entries are dealt evenly over successive calls.
std::vector<entry_address> choose_entries(state&, std::string_view data_centre,
                                          std::size_t most);

// When a tick is due.
boot_time next_wakeup(const state&);

// What operators are shown of a member.
struct member_listing {
    wire::member_record record;
    boot_time since;    // of the status
    boot_time heard_at; // boot_time::min(): never
    bool in_manifest = false;
    bool listed_live = false;
    bool listed_leaving = false;
};

// All members, this daemon first, the dead ones included. A record whose
// life is 0 was never heard of but by the manifest.
std::vector<member_listing> list_members(const state&);

// Whether any other daemon has been heard of alive.
bool joined(const state&);

} // namespace bulrushspring::membership

#endif
