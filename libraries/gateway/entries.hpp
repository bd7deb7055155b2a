#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_ENTRIES_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_ENTRIES_HPP

#include "base/random.hpp"
#include "libraries/membership/membership.hpp"

#include <span>
#include <string_view>
#include <vector>

// Selection of the daemons that callers connect to (entries).
namespace bulrushspring::gateway
{

struct entry_options {
    // Callers keep at most this many addresses of an answer.
    std::size_t max_entries = 64;
    // Callers stay within their data centre while it has this many daemons.
    std::size_t min_local = 3;
    // A daemon is large if it has at least this share of the capacity of the
    // largest one.
    double large_capacity_share = 0.5;
    // Large daemons alone serve all callers if at least this many are alive
    // and have at least this share of the fleet's capacity: a query with many
    // shards would occupy a small VM's processor for much of its latency
    // objective.
    std::size_t min_large = 3;
    double min_large_capacity_share = 0.2;
};

// Whether a daemon is large in a fleet whose largest member has the capacity
// `largest`, in thousandths of a core. Daemons of unknown capacity (0) are
// large if no capacity is known.
bool is_large(const entry_options&, const wire::member_record&,
              std::uint32_t largest);

// The largest capacity in the fleet, in thousandths of a core.
std::uint32_t largest_capacity(std::span<const wire::member_record>);

// The entries for callers of a data centre, in random order. Prefers large
// daemons, then those that are not overloaded, then those of the data centre;
// a preference is dropped if too few daemons would remain.
std::vector<endpoint> choose_entries(const entry_options&,
                                     std::span<const wire::member_record> live,
                                     std::string_view data_centre,
                                     random_source&);

} // namespace bulrushspring::gateway

#endif
