#include "libraries/metrics/registry.hpp"

#include <boost/histogram/algorithm/sum.hpp>
#include <cmath>
#include <sstream>

namespace bulrushspring::metrics
{
namespace
{

constexpr double min_latency_seconds = 1e-5;
constexpr double max_latency_seconds = 100.0;
constexpr unsigned latency_bins = 545; // ln(100 / 1e-5) = 16.1, in steps of 3%

// Upper bounds, in seconds, of the buckets that are exported to Prometheus.
constexpr std::array<double, 13> exported_bucket_bounds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.15,  0.25,   0.5,   1.0,  2.5,   10.0};

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

std::uint64_t count_below(const latency_histogram& values, double bound)
{
    const int last = values.axis(0).index(bound);
    std::uint64_t count = values.at(-1);
    for (int bin = 0; bin < last; ++bin) {
        count += values.at(bin);
    }
    return count;
}

void write_histogram(std::ostream& out, std::string_view name,
                     const latency_histogram& values, double sum)
{
    const std::string full = "bulrushspring_" + std::string(name);
    out << "# TYPE " << full << " histogram\n";
    for (const double bound : exported_bucket_bounds) {
        out << full << "_bucket{le=\"" << bound << "\"} "
            << count_below(values, bound) << '\n';
    }
    const std::uint64_t count = count_of(values);
    out << full << "_bucket{le=\"+Inf\"} " << count << '\n';
    out << full << "_sum " << sum << '\n';
    out << full << "_count " << count << '\n';
}

} // namespace

latency_histogram make_latency_histogram()
{
    return latency_histogram(std::make_tuple(
        latency_axis(latency_bins, min_latency_seconds, max_latency_seconds)));
}

std::uint64_t count_of(const latency_histogram& values)
{
    std::uint64_t count = 0;
    for (const std::uint64_t bin : values) {
        count += bin;
    }
    return count;
}

duration quantile(const latency_histogram& values, double fraction)
{
    const std::uint64_t count = count_of(values);
    if (count == 0) {
        return duration{0};
    }
    const auto target_count = static_cast<std::uint64_t>(
        std::ceil(fraction * static_cast<double>(count)));
    std::uint64_t cumulative_count = values.at(-1);
    const auto& axis = values.axis(0);
    int bin = 0;
    while (cumulative_count < target_count && bin < axis.size()) {
        cumulative_count += values.at(bin);
        ++bin;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(axis.value(bin)));
}

void add(registry& all, counter which, std::uint64_t amount)
{
    all.counters[static_cast<std::size_t>(which)] += amount;
}

std::uint64_t value_of(const registry& all, counter which)
{
    return all.counters[static_cast<std::size_t>(which)];
}

void record(registry& all, histogram which, duration value)
{
    const auto index = static_cast<std::size_t>(which);
    all.histograms[index](to_seconds(value));
    all.sums[index] += to_seconds(value);
}

std::string prometheus_text(const registry& all)
{
    std::ostringstream out;
    for (std::size_t i = 0; i < counter_names.size(); ++i) {
        out << "# TYPE bulrushspring_" << counter_names[i] << " counter\n"
            << "bulrushspring_" << counter_names[i] << ' ' << all.counters[i]
            << '\n';
    }
    for (std::size_t i = 0; i < histogram_names.size(); ++i) {
        write_histogram(out, histogram_names[i], all.histograms[i],
                        all.sums[i]);
    }
    return out.str();
}

} // namespace bulrushspring::metrics
