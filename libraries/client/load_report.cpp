#include "libraries/client/load_report.hpp"

#include "libraries/client/answer.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

namespace bulrushspring::client
{
namespace
{

constexpr double min_latency_us = 10.0;
constexpr double max_latency_us = 1e8;
constexpr double bin_ratio = 1.02;

double milliseconds_of(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

std::uint64_t count_of(const load_report& report, answer_status status)
{
    return report.by_status.at(static_cast<std::size_t>(status));
}

std::string fixed(double value, int digits)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return text.data();
}

std::string quantile_cell(const load_report& report, double share)
{
    return fixed(milliseconds_of(quantile(report.latencies, share)), 1);
}

bool counts_coverage(answer_status status)
{
    return status == answer_status::answered ||
           status == answer_status::partial || status == answer_status::failed;
}

} // namespace

latency_histogram make_latency_histogram()
{
    const auto bins = static_cast<unsigned>(std::ceil(
        std::log(max_latency_us / min_latency_us) / std::log(bin_ratio)));
    return boost::histogram::make_histogram(
        latency_axis{bins, min_latency_us, max_latency_us});
}

duration quantile(const latency_histogram& histogram, double share)
{
    const double total =
        std::accumulate(histogram.begin(), histogram.end(), 0.0);
    const double wanted = std::max(1.0, std::ceil(share * total));
    double seen = 0.0;
    if (total == 0.0) {
        return duration{0};
    }
    const auto& axis = histogram.axis(0);
    for (int bin = -1; bin <= axis.size(); ++bin) {
        seen += static_cast<double>(histogram.at(bin));
        if (seen >= wanted) {
            const double edge = std::min(axis.value(bin + 1), max_latency_us);
            return std::chrono::duration_cast<duration>(
                std::chrono::duration<double, std::micro>(edge));
        }
    }
    return duration{0};
}

void add(load_report& report, const history_line& line)
{
    const auto& answer = line.outcome.answer;
    ++report.calls;
    if (!line.outcome.reached) {
        ++report.unreachable;
        return;
    }
    ++report.by_status.at(static_cast<std::size_t>(answer.status));
    if (counts_coverage(answer.status)) {
        report.coverage_sum += coverage_of(answer);
        ++report.coverage_count;
    }
    if (answer.run == execution::ran) {
        report.shards += std::max<std::uint32_t>(1, answer.shards);
    }
    const bool useful = answer.status == answer_status::answered ||
                        answer.status == answer_status::partial;
    if (!useful) {
        return;
    }
    const auto latency = line.ended - line.invoked;
    report.latencies(
        std::chrono::duration<double, std::micro>(latency).count());
    report.in_time += latency <= line.what.deadline ? 1 : 0;
}

std::optional<double> extra_load(const load_report& report)
{
    if (!report.leaf_executions || report.shards == 0) {
        return std::nullopt;
    }
    return static_cast<double>(*report.leaf_executions) /
               static_cast<double>(report.shards) -
           1.0;
}

double mean_coverage(const load_report& report)
{
    return report.coverage_count == 0
               ? 0.0
               : report.coverage_sum /
                     static_cast<double>(report.coverage_count);
}

double goodput(const load_report& report)
{
    const double length =
        std::chrono::duration<double>(report.load_duration).count();
    return length > 0.0 ? static_cast<double>(report.in_time) / length : 0.0;
}

std::string markdown_header()
{
    return "| run | calls/s | p50 ms | p95 ms | p99 ms | p99.9 ms | answered |"
           " partial | refused | unknown | failed | unreachable | coverage |"
           " goodput/s | extra load |\n"
           "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

std::string markdown_row(const load_report& report)
{
    const auto extra = extra_load(report);
    std::string row = "| " + report.label + " | " + fixed(report.rate, 0);
    for (const double share : {0.5, 0.95, 0.99, 0.999}) {
        row += " | " + quantile_cell(report, share);
    }
    for (const auto status :
         {answer_status::answered, answer_status::partial,
          answer_status::refused, answer_status::outcome_unknown,
          answer_status::failed}) {
        row += " | " + std::to_string(count_of(report, status));
    }
    row += " | " + std::to_string(report.unreachable);
    row += " | " + fixed(100.0 * mean_coverage(report), 3) + "%";
    row += " | " + fixed(goodput(report), 1);
    row += " | " + (extra ? fixed(100.0 * *extra, 2) + "%" : "-") + " |\n";
    return row;
}

std::string report_json(const load_report& report)
{
    const auto latency = [&](double share) {
        return milliseconds_of(quantile(report.latencies, share));
    };
    nlohmann::json object = {
        {"label", report.label},
        {"rate", report.rate},
        {"calls", report.calls},
        {"p50_ms", latency(0.5)},
        {"p95_ms", latency(0.95)},
        {"p99_ms", latency(0.99)},
        {"p99_9_ms", latency(0.999)},
        {"answered", count_of(report, answer_status::answered)},
        {"partial", count_of(report, answer_status::partial)},
        {"refused", count_of(report, answer_status::refused)},
        {"unknown", count_of(report, answer_status::outcome_unknown)},
        {"failed", count_of(report, answer_status::failed)},
        {"unreachable", report.unreachable},
        {"coverage", mean_coverage(report)},
        {"goodput", goodput(report)}};
    if (const auto extra = extra_load(report)) {
        object["leaf_executions"] = *report.leaf_executions;
        object["extra_load"] = *extra;
    }
    return object.dump();
}

} // namespace bulrushspring::client
