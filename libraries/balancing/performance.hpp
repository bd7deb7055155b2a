#ifndef BULRUSHSPRING_LIBRARIES_BALANCING_PERFORMANCE_HPP
#define BULRUSHSPRING_LIBRARIES_BALANCING_PERFORMANCE_HPP

#include "libraries/balancing/latency_model.hpp"
#include "libraries/balancing/load_statement.hpp"
#include "libraries/limits/concurrency_limit.hpp"

// What a daemon knows of a leaf's performance from its answers and refusals.
// It decays over time.
namespace bulrushspring::balancing
{

struct options {
    // Cost factor of a leaf in another data centre, whose traffic is charged.
    double remote_cost_factor = 1.3;
    // Half-lives of a leaf's statistics. Without new samples they decay, so
    // that a leaf that was slow or refused requests is tried again.
    duration latency_half_life = seconds{4};
    duration refusal_half_life = seconds{3};
    // Upper bound of a leaf's concurrency limit in one daemon. An overloaded
    // leaf is reduced to one request of each daemon.
    double max_in_flight = 8;
    // An answer that took this many times the expected latency indicates
    // queueing at the leaf.
    double queueing_latency_ratio = 3.0;
    // Cost added, as a factor, for a leaf that refuses every request.
    double refusal_weight = 12.0;

    // Leafs are chosen by the learned model: at random, with weights that fall
    // with the cost. Otherwise the leaf with the least cost is chosen.
    bool learned = false;
    // The weight of a leaf is its cost to the power of minus this.
    double selection_exponent = 16.0;
    // The cost grows with this power of one more than the requests in flight:
    // with less, daemons notice too late that a leaf slows down under load.
    double busy_weight = 1.0;
    // Cost added, as an exponent, for the share of a leaf's slots in use beyond
    // busy_share. Of what leafs state, only what is beyond the median of the
    // candidates counts: a leaf that states less than the others gains nothing.
    double overload_weight = 2.0;
    double busy_share = 0.5;
    // Cost added, as an exponent, for a leaf that certainly answers too late.
    double late_weight = 1.0;
    // Half-life of what a leaf states of its load.
    duration statement_half_life = milliseconds{150};
    // A leaf is slow from the first ratio on, until it is below the second.
    double slow_ratio = 1.8;
    double recovered_ratio = 1.3;
    // One request in so many probes a leaf that was slow, at most one request
    // in each interval, if the leaf is expected to answer in time.
    std::uint64_t probe_period = 32;
    std::uint64_t gather_probe_period = 256;
    duration probe_interval = milliseconds{500};
};

// How an attempt at a leaf was answered.
enum class answer_kind : std::uint8_t {
    success,
    refusal, // not run, as stated by the leaf
    expiry,  // its time at the leaf ran out
    failure,
};

// An answered attempt.
struct sample {
    answer_kind kind = answer_kind::success;
    duration seen{0};            // its latency
    duration expected{0};        // usual for the route; 0: not known
    std::uint32_t in_flight = 0; // others of this daemon at the leaf
};

struct performance {
    // Moving average of observed over expected latency; 1 is as expected.
    double latency_ratio = 1.0;
    boot_time sampled_at{};
    // Moving average of the requests that it refused or failed, 0 to 1.
    double refusal_rate = 0.0;
    boot_time refusals_at{};
    limits::concurrency_limit limit; // of this daemon's requests in flight
    boot_time avoid_until{};
    // With options::learned, in place of latency_ratio:
    latency_model latency;
    // The share of its slots that it has stated to be in use, with the waiting
    // requests, and the logarithm of how many times as long its work takes.
    double stated_load = 0.0;
    double stated_slowness = 0.0;
    boot_time stated_at{};
    bool slow = false; // as last logged
    boot_time slow_since{};
};

// What a sample has changed in the judgement of a leaf.
enum class change : std::uint8_t { none, became_slow, recovered };

// The ratio of observed to expected latency; 1 is as expected.
double latency_ratio_at(const options&, const performance&, boot_time now);

// The share of recent requests that the leaf refused or failed, 0 to 1.
double refusal_rate_at(const options&, const performance&, boot_time now);

// Adds an answered attempt: its latency, unless that tells nothing (of a
// refusal or failure, or where the expected latency is not known), and its
// outcome. The concurrency limit rises after an answer if it is nearly used up,
// and is lowered by a refusal or an answer whose latency indicates queueing.
// Below one request it is lowered by refusals only: a leaf that is slow or
// fails may have slots left.
change learn(performance&, const sample&, const options&, boot_time now);

// Adds that an attempt is unanswered after this time, where `expected` is
// usual.
void learn_silence(performance&, duration waited, duration expected,
                   const options&, boot_time now);

// Adopts what a leaf states of its load. It counts for a fraction of a second,
// and only against the leaf.
void learn_load(performance&, const load_statement&, boot_time now);

// The logarithm of the latency ratio to be expected of the learned model: what
// the leaf states can only raise it.
double expected_latency(const performance&, const options&, boot_time now);

// Gives the leaf low priority until the time.
void avoid(performance&, boot_time until);

} // namespace bulrushspring::balancing

#endif
