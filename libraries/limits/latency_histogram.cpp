#include "libraries/limits/latency_histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace bulrushspring::limits
{
namespace
{

// Computes the bucket from the integral part of the binary logarithm and the
// next two bits, which avoids a call to log.
std::size_t bucket_of(duration value)
{
    const auto units = static_cast<std::uint64_t>(
        std::max<duration::rep>(value / latency_histogram::min_latency, 0));
    if (units == 0) {
        return 0;
    }
    const auto octave = static_cast<std::size_t>(std::bit_width(units) - 1);
    const auto quarter = octave >= 2 ? (units >> (octave - 2)) & 3U
                                     : (units << (2 - octave)) & 3U;
    const auto bucket = octave * latency_histogram::buckets_per_octave +
                        static_cast<std::size_t>(quarter);
    return std::min(bucket, latency_histogram::buckets - 1);
}

duration upper_bound_of(std::size_t bucket)
{
    const auto octave = bucket / latency_histogram::buckets_per_octave;
    const auto quarter = bucket % latency_histogram::buckets_per_octave;
    const auto quarters = (std::uint64_t{4} + quarter + 1) << octave;
    return latency_histogram::min_latency *
           static_cast<duration::rep>(quarters) / 4;
}

void halve_counts(latency_histogram& histogram)
{
    histogram.added = 0;
    histogram.total = 0;
    for (auto& count : histogram.counts) {
        count /= 2;
        histogram.total += count;
    }
}

} // namespace

void add(latency_histogram& histogram, duration value)
{
    histogram.counts[bucket_of(value)] += 1;
    histogram.total += 1;
    if (++histogram.added >= latency_histogram::halving_interval) {
        halve_counts(histogram);
    }
}

duration quantile(const latency_histogram& histogram, double fraction)
{
    if (histogram.total <= 0) {
        return duration{0};
    }
    const auto target = static_cast<float>(fraction) * histogram.total;
    float cumulative = 0;
    for (std::size_t i = 0; i < latency_histogram::buckets; ++i) {
        cumulative += histogram.counts[i];
        if (histogram.counts[i] > 0 && cumulative >= target) {
            return upper_bound_of(i);
        }
    }
    return upper_bound_of(latency_histogram::buckets - 1);
}

} // namespace bulrushspring::limits
