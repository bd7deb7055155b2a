#ifndef BULRUSHSPRING_LIBRARIES_BALANCING_CHOICE_HPP
#define BULRUSHSPRING_LIBRARIES_BALANCING_CHOICE_HPP

#include "base/random.hpp"
#include "libraries/balancing/performance.hpp"

#include <optional>
#include <span>

// The choice of a leaf for a request.
namespace bulrushspring::balancing
{

// A leaf that can take a request now.
struct candidate {
    const performance* leaf = nullptr;
    std::uint32_t in_flight = 0; // requests of this daemon
    std::uint32_t slots = 1;     // as published
    bool remote = false;         // in another data centre
    bool connected = true;       // a connection is idle
    bool cold = false;
    bool unreachable = false; // the last connection to it failed
    bool suspect = false;     // it runs a request that may crash it
    bool unlisted = false;    // no longer published
    // Its load rises in steps, and this request is not among those for it.
    bool skipped = false;
    // Set by choose.
    double cost = 0;
    double stated_load = 0; // beyond that of most candidates
};

// What a request needs.
struct demand {
    // The time until its objective, as a multiple of its expected latency.
    double relative_time_left = 1e9;
    // It is a part of a query, which the slowest part decides.
    bool part_of_query = false;
};

// A choice among candidates.
struct choice {
    std::size_t index = 0;
    bool probe = false; // made to learn whether a slow leaf has recovered
};

// The expected latency of a request at a leaf as a multiple of the usual one,
// with what else speaks against the leaf.
double cost_of(const candidate&, const options&, boot_time now);

// The same for the learned model, as a logarithm. A part of a query costs more
// at a leaf that may answer too late.
double learned_cost_of(const candidate&, const demand&, const options&,
                       boot_time now);

// Chooses a candidate; nothing if there is none. Without options::learned it is
// the one with the lowest cost. Otherwise it is chosen at random with weights,
// so that many daemons that know the same don't all use the same leaf. Leafs
// that are avoided come last.
std::optional<choice> choose(std::span<candidate>, const demand&,
                             const options&, random_source&, boot_time now);

} // namespace bulrushspring::balancing

#endif
