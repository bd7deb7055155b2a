#ifndef BULRUSHSPRING_LIBRARIES_TOPOLOGY_ERA_HPP
#define BULRUSHSPRING_LIBRARIES_TOPOLOGY_ERA_HPP

#include <cstdint>

// The store may be restored from a backup that is some seconds old. What it had
// acknowledged since is lost, its revisions are given out again, and its era
// rises. Revisions are therefore ordered by (era, revision), packed into one
// number: all revisions in the libraries and between daemons are such numbers.
// A store without eras has era 0, so that its revisions are unchanged.
namespace bulrushspring::topology
{

inline constexpr unsigned revision_bits = 40;
inline constexpr std::uint64_t max_store_revision =
    (std::uint64_t{1} << revision_bits) - 1;
inline constexpr std::uint64_t max_era =
    (std::uint64_t{1} << (64 - revision_bits)) - 1;

// Both arguments must not exceed their maximum.
constexpr std::uint64_t revision_in_era(std::uint64_t era,
                                        std::uint64_t store_revision)
{
    return (era << revision_bits) | store_revision;
}

constexpr std::uint64_t era_of(std::uint64_t revision)
{
    return revision >> revision_bits;
}

// The revision as the store counts it within its era.
constexpr std::uint64_t store_revision_of(std::uint64_t revision)
{
    return revision & max_store_revision;
}

} // namespace bulrushspring::topology

#endif
