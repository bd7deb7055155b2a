#ifndef BULRUSHSPRING_LIBRARIES_METRICS_REGISTRY_HPP
#define BULRUSHSPRING_LIBRARIES_METRICS_REGISTRY_HPP

#include "base/time.hpp"
#include "libraries/metrics/names.hpp"

#include <array>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace bulrushspring::metrics
{

// A histogram of latencies in seconds, with logarithmic bins.
using latency_axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using latency_histogram =
    boost::histogram::histogram<std::tuple<latency_axis>,
                                boost::histogram::dense_storage<std::uint64_t>>;

// Returns an empty histogram from 10 microseconds to 100 seconds, with bins
// that are 3% wide.
latency_histogram make_latency_histogram();

// An upper bound of a quantile: the smallest bin edge below which at least the
// given fraction (0 to 1) of the values lie. Zero if there are no values.
duration quantile(const latency_histogram& values, double fraction);

// The number of recorded values.
std::uint64_t count_of(const latency_histogram& values);

// All metrics of one daemon.
struct registry {
    std::array<std::uint64_t, counter_names.size()> counters{};
    std::vector<latency_histogram> histograms{histogram_names.size(),
                                              make_latency_histogram()};
    std::array<double, histogram_names.size()> sums{}; // seconds
};

void add(registry& all, counter which, std::uint64_t amount = 1);
void record(registry& all, histogram which, duration value);
std::uint64_t value_of(const registry& all, counter which);

// Renders the registry in the Prometheus text format. Each name gets the prefix
// "bulrushspring_".
std::string prometheus_text(const registry& all);

} // namespace bulrushspring::metrics

#endif
