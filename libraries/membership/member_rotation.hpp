#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_MEMBER_ROTATION_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_MEMBER_ROTATION_HPP

#include "base/random.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bulrushspring::membership
{

// An index into the table of members.
using member_index = std::uint32_t;

// A randomised round-robin order of members. Each member is taken once before
// any is taken again; then the order is shuffled anew. Insertion, removal and
// taking run in amortised constant time.
struct member_rotation {
    std::vector<member_index> members;

    // The position in `members`, by member. Valid only for contained members.
    std::vector<std::uint32_t> positions;

    // The number of members taken in this round, which are at the front.
    std::size_t taken = 0;
};

// Inserts a member, which must not be contained, at a random position among
// those that have not been taken in this round.
void insert(member_rotation&, member_index, random_source&);

// Removes a member, which must be contained.
void remove(member_rotation&, member_index);

// Takes the next member that is not excluded, or returns none if there is no
// such member. Excluded members keep their turn; they are searched linearly, so
// there should be few.
std::optional<member_index>
take_next(member_rotation&, random_source&,
          std::span<const member_index> excluded = {});

// Returns a random member, whether taken in this round or not, or none if the
// rotation is empty. The order and the members taken stay as they are.
std::optional<member_index> pick_random(const member_rotation&, random_source&);

// Makes a contained member the next one to be taken.
void move_to_next(member_rotation&, member_index);

} // namespace bulrushspring::membership

#endif
