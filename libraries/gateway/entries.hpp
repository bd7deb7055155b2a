#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_ENTRIES_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_ENTRIES_HPP

#include "base/random.hpp"
#include "libraries/membership/membership.hpp"

#include <span>
#include <string_view>
#include <vector>

// Which daemons callers are sent to.
namespace bulrushspring::gateway
{

struct entry_options {
    // Callers keep no more of an answer.
    std::size_t most = 64;
    // Callers of a data centre are kept in it while it has so many daemons.
    std::size_t enough_near = 3;
    // Large daemons have at least this share of the largest one's capacity.
    double large = 0.5;
    // They serve all callers if so many of them live, with this share of the
    // fleet's capacity: a query that fans out takes a small VM's processor
    // for a large part of its objective.
    std::size_t enough_large = 3;
    double large_share = 0.2;
};

// Whether a daemon is large in a fleet whose largest has that capacity. All
// are where capacities are not told.
bool is_large(const entry_options&, const wire::member_record&,
              std::uint32_t largest);

// The largest capacity in the fleet, in thousandths of a core.
std::uint32_t largest_capacity(std::span<const wire::member_record>);

// The daemons that callers of a data centre are to use, in random order:
// large ones, not overloaded ones, near ones, each as far as enough are left.
std::vector<endpoint> choose_entries(const entry_options&,
                                     std::span<const wire::member_record> live,
                                     std::string_view data_centre,
                                     random_source&);

} // namespace bulrushspring::gateway

#endif
