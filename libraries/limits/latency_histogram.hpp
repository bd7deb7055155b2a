#ifndef BULRUSHSPRING_LIBRARIES_LIMITS_LATENCY_HISTOGRAM_HPP
#define BULRUSHSPRING_LIBRARIES_LIMITS_LATENCY_HISTOGRAM_HPP

#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace bulrushspring::limits
{

// A histogram of recent latencies with exponential bucket sizes. Older values
// lose weight: all counts are halved each time `halving_interval` values have
// been added.
struct latency_histogram {
    static constexpr std::size_t buckets_per_octave = 4;
    static constexpr std::size_t octaves = 20; // 64 us to 67 s
    static constexpr std::size_t buckets = buckets_per_octave * octaves;
    static constexpr duration min_latency = std::chrono::microseconds{64};
    static constexpr std::uint32_t halving_interval = 4096;

    std::array<float, buckets> counts{};
    float total = 0;
    std::uint32_t added = 0; // values since the counts were last halved
};

void add(latency_histogram& histogram, duration value);

// Returns the upper bound of the bucket that holds the quantile; 0 if the
// histogram is empty. The quantile is given as a fraction from 0 to 1.
duration quantile(const latency_histogram& histogram, double fraction);

} // namespace bulrushspring::limits

#endif
