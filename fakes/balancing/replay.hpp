#ifndef BULRUSHSPRING_FAKES_BALANCING_REPLAY_HPP
#define BULRUSHSPRING_FAKES_BALANCING_REPLAY_HPP

#include "libraries/balancing/choice.hpp"

#include <string>
#include <vector>

// Replays of a load on libraries/balancing: several daemons, the leafs of some
// services, and requests with hedges, under one simulated clock. The same
// scenario and seed give the same result.
namespace bulrushspring::balancing_replay
{

enum class policy : std::uint8_t {
    fixed_weights, // at random, by the leafs' slots
    least_cost,    // libraries/balancing without the learned model
    learned,
};

// The work of some leafs of each service takes `factor` times as long.
struct slow_spell {
    std::size_t first_leaf = 0;
    std::size_t leafs = 1;
    double factor = 1.0;
    duration from{0};
    duration span{0};
};

struct scenario {
    std::size_t daemons = 15;
    std::size_t services = 1; // a request has a part at each
    std::size_t leafs = 3;    // of each service
    std::size_t slots = 8;
    std::size_t queue = 8;
    // Factors of the time that the work takes at the leafs of a service, in
    // turn; and the leafs that are in another data centre.
    std::vector<double> speeds = {1.0};
    std::vector<bool> remote = {false};
    duration remote_latency = milliseconds{2}; // added to both ways
    // From this share of its slots on, a leaf's work takes longer, linearly up
    // to full_factor times with all slots in use.
    double knee = 1.0;
    double full_factor = 1.0;
    duration work = milliseconds{20}; // half fixed, half exponential
    duration objective = milliseconds{100};
    double requests_per_second = 300;
    duration warm_up = seconds{5};
    duration span = seconds{20};
    std::vector<slow_spell> spells; // times from the start of the warm-up
    // Each leaf is slow by this factor for this share of the time, in spells
    // of this mean length that begin at random.
    double random_share = 0.0;
    double random_factor = 1.0;
    duration random_spell = seconds{3};
    bool states_load = false;      // leafs send Server-Load
    std::size_t liar = SIZE_MAX;   // this leaf always states that it is idle
    bool shared_knowledge = false; // daemons share all they learn, at once
    balancing::options settings = {};
};

struct result {
    std::size_t requests = 0;
    std::size_t failed = 0;
    double in_time = 0; // share answered within the objective
    double mean_ms = 0;
    double median_ms = 0;
    double p99_ms = 0;
    double remote = 0;            // share of the attempts
    double attempts = 0;          // for each part
    double refusals = 0;          // for each part
    std::vector<double> per_leaf; // share of the attempts, over all services
    // Attempts at the first leaf of each service in each 250 ms from the start
    // of the warm-up, as a share of all at its service.
    std::vector<double> first_leaf;
    // The highest share that a leaf had in 250 ms, averaged over these,
    // relative to its share over the whole replay: 1 is a steady distribution.
    double surge = 0;
};

result play(const scenario&, policy, std::uint64_t seed);

// One line of figures.
std::string to_string(const result&);

} // namespace bulrushspring::balancing_replay

#endif
