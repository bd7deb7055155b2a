#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_MEMBERS_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_MEMBERS_HPP

#include "libraries/membership/state.hpp"

#include <optional>
#include <string_view>

// Operations on the table of members that keep the rotations, groups and view
// consistent with it. Each takes amortised constant time.
namespace bulrushspring::membership
{

// Whether the first of two records of the same member is the newer one.
bool newer(const wire::member_record& first, const wire::member_record& second);

// Whether a member is alive or suspect, and so part of the view.
bool is_live(const wire::member_record& record);

std::optional<member_index> find(const state&, const std::string& name);

// Adds a member. If the table is full, the next dead member of the rotation is
// evicted for it; returns none if there is none or the manifest names it.
std::optional<member_index> add_member(state&, const wire::member_record&,
                                       boot_time now);

// Replaces the record of a member. The name must stay the same.
void set_record(state&, member_index, const wire::member_record&,
                boot_time now);

// Sets whether the platform's list of VMs shows the member as leaving.
void set_listed_leaving(state&, member_index, bool leaving);

// Removes a dead member from the table.
void remove_member(state&, member_index);

// Whether a member is dead, named by neither the manifest nor the VM list, and
// past its retention period or never heard from.
bool may_be_removed(const state&, member_index, boot_time now);

// The number of members that are not dead, including this daemon.
std::size_t live_count(const state&);

// Returns a random live member other than this daemon, weighted by location.
std::optional<member_index> pick_random_live(state&);

// Takes the next live member to probe: a disputed one if there is any, else one
// from the rotations with the same weights.
std::optional<member_index> take_next_live(state&);

} // namespace bulrushspring::membership

#endif
