#ifndef BULRUSHSPRING_LIBRARIES_CLIENT_LOAD_REPORT_HPP
#define BULRUSHSPRING_LIBRARIES_CLIENT_LOAD_REPORT_HPP

#include "base/time.hpp"
#include "libraries/client/history_line.hpp"

#include <boost/histogram.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace bulrushspring::client
{

// A histogram of latencies in microseconds, from 10 µs to 100 s in bins 2%
// wide.
using latency_axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
using latency_histogram =
    decltype(boost::histogram::make_histogram(latency_axis{1, 1.0, 2.0}));
latency_histogram make_latency_histogram();

// The latency that the share of calls did not exceed. The result is the upper
// edge of a bin, so it is never too low, except that latencies above 100 s
// count as 100 s. 0 if there are no calls.
duration quantile(const latency_histogram& histogram, double share);

// The results of a load run.
struct load_report {
    std::string label;
    double rate = 0.0; // requested calls per second
    duration load_duration{0};
    std::uint64_t calls = 0;
    std::array<std::uint64_t, 5> by_status{}; // by answer_status
    std::uint64_t unreachable = 0;            // not counted in by_status
    std::uint64_t in_time = 0; // complete or partial, within the deadline
    double coverage_sum = 0.0; // over complete, partial and failed answers
    std::uint64_t coverage_count = 0;
    std::uint64_t shards = 0; // over all calls that ran
    latency_histogram latencies = make_latency_histogram(); // complete, partial
    std::optional<std::uint64_t> leaf_executions;
};

// Adds a call's outcome to the report.
void add(load_report& report, const history_line& line);

// Leaf executions per shard that the calls needed, minus one; empty if the
// leafs' executions were not read.
std::optional<double> extra_load(const load_report& report);
// The mean coverage of complete, partial and failed answers; 0 if there are
// none.
double mean_coverage(const load_report& report);

// Calls per second that were answered within their deadline.
double goodput(const load_report& report);

std::string markdown_header();
std::string markdown_row(const load_report& report);
std::string report_json(const load_report& report);

} // namespace bulrushspring::client

#endif
