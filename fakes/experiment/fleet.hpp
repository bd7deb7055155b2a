#ifndef BULRUSHSPRING_FAKES_EXPERIMENT_FLEET_HPP
#define BULRUSHSPRING_FAKES_EXPERIMENT_FLEET_HPP

#include "fakes/experiment/pattern.hpp"
#include "libraries/topology/topology.hpp"

#include <cstdint>
#include <vector>

// Plays a load pattern on a model: the real reducers of all daemons under one
// simulated clock, with modelled leafs, network and callers. The same pattern
// and seed give the same result.
namespace bulrushspring::experiment
{

// What callers and leafs saw after the warm-up.
struct run_result {
    std::uint64_t asked = 0;
    std::uint64_t in_time = 0; // answered within the objective
    std::uint64_t late = 0;    // answered later
    std::uint64_t refused = 0; // with "not run"
    std::uint64_t failed = 0;
    std::uint64_t parts = 0;          // of all queries
    std::uint64_t answered_parts = 0; // of the answered queries
    std::uint64_t covered_parts = 0;  // of those
    std::uint64_t leaf_requests = 0;  // that reached a leaf
    // First tries from the users' grace time after a partition has begun until
    // it ends, at the partitioned daemons and at the others.
    std::uint64_t asked_in_partition = 0;
    std::uint64_t served_in_partition = 0;
    std::uint64_t asked_at_others = 0;
    std::uint64_t served_at_others = 0;
    // The most requests that a leaf got beyond the rate that it states.
    std::size_t over_limit = 0;
    std::vector<duration> latencies; // of the answers, ascending
};

// The records of a store that holds the pattern's route and leafs.
topology::records_learned records_of(const pattern&);

// Plays a pattern once; the seed determines arrivals, work times and the
// daemons' random choices.
run_result play(const pattern&, std::uint64_t seed);

} // namespace bulrushspring::experiment

#endif
