#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_SERVING_SET_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_SERVING_SET_HPP

#include "base/time.hpp"
#include "libraries/wire/message.hpp"

#include <span>
#include <vector>

// Which daemons of the fleet serve callers.
//
// Load pattern: a query with many shards occupies a small VM's processor for
// much of its latency objective, so the daemons with the largest VMs serve
// alone while they can. When they are overloaded or lost, as many of the next
// largest join them as the load requires.
//
// Capacities are in thousandths of a core. A daemon's effective capacity is
// its capacity times its capacity relative to the largest VM of the fleet: the
// slower a VM handles one request, the lower its utilization must be for the
// same latency.
namespace bulrushspring::gateway
{

struct serving_options {
    // A daemon is large if it has at least this share of the capacity of the
    // largest one. All large daemons serve.
    double large_capacity_share = 0.5;
    // Daemons that serve at least, if the fleet has as many.
    std::size_t min_serving = 3;
    // Effective capacity that serves at least, as a share of the capacity of
    // the fleet, and of the effective capacity of all large daemons before
    // some of them were lost.
    double min_fleet_share = 0.1;
    double min_large_share = 0.25;
    // The required capacity is multiplied by this factor, at most once per
    // interval, while daemons with half of the serving capacity are
    // overloaded. The interval covers the time in which callers follow a
    // change of the entries.
    double growth_factor = 2.0;
    duration growth_interval = seconds{3};
    // Half-life of a requirement that is no longer observed, so that callers
    // return to the large daemons gradually.
    duration half_life = seconds{60};
    duration review_interval = milliseconds{500};
};

struct serving_set {
    // The daemons that serve callers, in descending order of capacity.
    std::vector<wire::member_record> members;
    // Effective capacity that has to serve, learned from overloads.
    double grown_requirement = 0;
    // Effective capacity of all large daemons: a decaying maximum.
    double large_capacity = 0;
    boot_time reviewed_at = boot_time::min();
    boot_time grown_at = boot_time::min();
};

// Whether a daemon is large in a fleet whose largest member has the capacity
// `largest`, in thousandths of a core. Daemons of unknown capacity (0) are
// large if no capacity is known.
bool is_large(const serving_options&, const wire::member_record&,
              std::uint32_t largest);

// The largest capacity in the fleet, in thousandths of a core.
std::uint32_t largest_capacity(std::span<const wire::member_record>);

// Selects the daemons that serve, from those that callers can reach. Daemons
// of equal capacity are ordered by a hash of their names, so that all daemons
// with the same view of the fleet select the same ones.
void review(serving_set&, const serving_options&,
            std::span<const wire::member_record> candidates, boot_time now);

// Whether the daemon of this name is selected.
bool serves(const serving_set&, std::string_view name);

} // namespace bulrushspring::gateway

#endif
