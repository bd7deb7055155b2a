#include "libraries/membership/member_rotation.hpp"

#include <algorithm>

namespace bulrushspring::membership
{
namespace
{

void set_position(member_rotation& rotation, std::size_t position,
                  member_index member)
{
    rotation.members[position] = member;
    rotation.positions[member] = static_cast<std::uint32_t>(position);
}

void swap_positions(member_rotation& rotation, std::size_t first,
                    std::size_t second)
{
    const auto member = rotation.members[first];
    set_position(rotation, first, rotation.members[second]);
    set_position(rotation, second, member);
}

void reshuffle(member_rotation& rotation, random_source& random)
{
    shuffle(std::span(rotation.members), random);
    for (std::size_t i = 0; i < rotation.members.size(); ++i) {
        set_position(rotation, i, rotation.members[i]);
    }
    rotation.taken = 0;
}

} // namespace

void insert(member_rotation& rotation, member_index member,
            random_source& random)
{
    if (rotation.positions.size() <= member) {
        rotation.positions.resize(member + std::size_t{1});
    }
    const auto last = rotation.members.size();
    rotation.members.push_back(member);
    set_position(rotation, last, member);
    const auto waiting = rotation.members.size() - rotation.taken;
    swap_positions(rotation, last,
                   rotation.taken + random_below(random, waiting));
}

void remove(member_rotation& rotation, member_index member)
{
    std::size_t position = rotation.positions[member];
    if (position < rotation.taken) {
        --rotation.taken;
        swap_positions(rotation, position, rotation.taken);
        position = rotation.taken;
    }
    swap_positions(rotation, position, rotation.members.size() - 1);
    rotation.members.pop_back();
}

std::optional<member_index> take_next(member_rotation& rotation,
                                      random_source& random,
                                      std::span<const member_index> excluded)
{
    if (rotation.taken >= rotation.members.size()) {
        reshuffle(rotation, random);
    }
    const auto waiting =
        rotation.members.begin() + static_cast<std::ptrdiff_t>(rotation.taken);
    const auto next =
        std::find_if(waiting, rotation.members.end(), [&](member_index member) {
            return std::find(excluded.begin(), excluded.end(), member) ==
                   excluded.end();
        });
    if (next == rotation.members.end()) {
        return std::nullopt;
    }
    swap_positions(rotation, rotation.taken,
                   static_cast<std::size_t>(next - rotation.members.begin()));
    return rotation.members[rotation.taken++];
}

std::optional<member_index> pick_random(const member_rotation& rotation,
                                        random_source& random)
{
    if (rotation.members.empty()) {
        return std::nullopt;
    }
    return rotation.members[random_below(random, rotation.members.size())];
}

void move_to_next(member_rotation& rotation, member_index member)
{
    std::size_t position = rotation.positions[member];
    if (position < rotation.taken) {
        --rotation.taken;
        swap_positions(rotation, position, rotation.taken);
        return;
    }
    swap_positions(rotation, position, rotation.taken);
}

} // namespace bulrushspring::membership
