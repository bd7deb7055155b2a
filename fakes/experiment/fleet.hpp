#ifndef BULRUSHSPRING_FAKES_EXPERIMENT_FLEET_HPP
#define BULRUSHSPRING_FAKES_EXPERIMENT_FLEET_HPP

#include "fakes/experiment/pattern.hpp"

#include <cstdint>
#include <vector>

// Plays a load pattern on a model: the real reducers of all daemons under one
// simulated clock, with modelled leafs, network and callers. The same pattern
// and seed give the same result.
namespace bulrushspring::experiment
{

// What callers and leafs saw in one second, or in a whole run.
struct tally {
    std::uint64_t asked = 0;
    std::uint64_t in_time = 0; // answered within the objective
    std::uint64_t late = 0;    // answered later
    std::uint64_t refused = 0; // with "not run"
    std::uint64_t failed = 0;
    std::uint64_t parts = 0;            // of all queries
    std::uint64_t answered_parts = 0;   // of the answered queries
    std::uint64_t covered_parts = 0;    // of those
    std::uint64_t leaf_requests = 0;    // that reached a leaf
    std::uint64_t leaf_refusals = 0;    // for want of a place in the queue
    std::uint64_t leaf_expirations = 0; // queued or running at their deadline
};

void add(tally& to, const tally& other);

struct run_result {
    std::vector<tally> seconds;      // without the warm-up
    std::vector<duration> latencies; // of the answers, ascending
};

// Sums up the seconds of a run.
tally total(const run_result&);

// Plays a pattern once; the seed determines arrivals, work times and the
// daemons' random choices.
run_result play(const pattern&, std::uint64_t seed);

} // namespace bulrushspring::experiment

#endif
