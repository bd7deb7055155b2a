#ifndef BULRUSHSPRING_LIBRARIES_BALANCING_LATENCY_MODEL_HPP
#define BULRUSHSPRING_LIBRARIES_BALANCING_LATENCY_MODEL_HPP

#include "base/time.hpp"

// How long a leaf's answers take compared with what is usual for their routes.
namespace bulrushspring::balancing
{

// All values are logarithms of observed over expected latency: 0 is as
// expected, and a leaf that is twice as slow is as far from it as one that is
// twice as fast.
struct latency_model {
    double usual = 0.0;     // average of the samples
    double weight = 0.0;    // the number of samples behind it, which decays
    double recent = 0.0;    // average of the last few samples
    double deviation = 0.3; // mean absolute deviation of a sample
    // Samples in a row that were well above (positive) or below (negative) the
    // usual ones.
    int outliers_in_row = 0;
    boot_time sampled_at{};
};

// Samples lose half of their weight in this time.
inline constexpr duration sample_half_life = seconds{5};

// Adds the logarithm of an observed latency over the expected one. Several
// samples in a row that differ from the usual ones replace these.
void add_sample(latency_model&, double value, boot_time now);

// Adds that an attempt has taken at least this long and is unanswered. Its
// answer is added as a sample of its own, if it still arrives.
void add_lower_bound(latency_model&, double value, boot_time now);

// The expected value of the next sample. The less is known, or the longer ago
// it was learned, the nearer it is to 0. The recent samples count as much as
// the usual ones, so that small changes are followed too.
double expected_value(const latency_model&, boot_time now);

// The chance that the next sample, of which `expected` is expected, exceeds the
// value.
double chance_above(const latency_model&, double expected, double value);

} // namespace bulrushspring::balancing

#endif
