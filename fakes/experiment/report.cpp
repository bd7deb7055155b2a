#include "fakes/experiment/report.hpp"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <cmath>

namespace bulrushspring::experiment
{
namespace
{

struct column {
    std::string_view name;
    spread summary::*value;
};

constexpr std::array<column, 8> columns = {{
    {"in_time", &summary::in_time},
    {"late", &summary::late},
    {"refused", &summary::refused},
    {"failed", &summary::failed},
    {"coverage", &summary::coverage},
    {"leaf_requests", &summary::leaf_requests},
    {"median_ms", &summary::median_ms},
    {"p99_ms", &summary::p99_ms},
}};

// The first column of a text report.
constexpr int name_width = 28;

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

double quantile_ms(const run_result& run, double fraction)
{
    if (run.latencies.empty()) {
        return 0.0;
    }
    const auto last = static_cast<double>(run.latencies.size() - 1);
    const auto rank = static_cast<std::size_t>(fraction * last);
    return static_cast<double>(run.latencies[rank].count()) / 1e6;
}

template <typename Measure>
spread over_runs(std::span<const run_result> runs, Measure measure)
{
    namespace acc = boost::accumulators;
    acc::accumulator_set<double, acc::stats<acc::tag::mean, acc::tag::variance>>
        values;
    for (const auto& run : runs) {
        values(measure(run));
    }
    const auto count = static_cast<double>(runs.size());
    // Of a sample rather than of the whole population.
    const double variance =
        count > 1 ? acc::variance(values) * count / (count - 1) : 0.0;
    return {acc::mean(values), std::sqrt(variance)};
}

} // namespace

summary summarize(std::string pattern, std::span<const run_result> runs)
{
    const auto share = [&](std::uint64_t run_result::*part,
                           std::uint64_t run_result::*whole) {
        return over_runs(runs, [=](const run_result& run) {
            return ratio(run.*part, run.*whole);
        });
    };
    const auto latency = [&](double fraction) {
        return over_runs(runs, [=](const run_result& run) {
            return quantile_ms(run, fraction);
        });
    };
    summary made;
    made.pattern = std::move(pattern);
    made.seeds = runs.size();
    made.in_time = share(&run_result::in_time, &run_result::asked);
    made.late = share(&run_result::late, &run_result::asked);
    made.refused = share(&run_result::refused, &run_result::asked);
    made.failed = share(&run_result::failed, &run_result::asked);
    made.coverage =
        share(&run_result::covered_parts, &run_result::answered_parts);
    made.leaf_requests = share(&run_result::leaf_requests, &run_result::parts);
    made.median_ms = latency(0.5);
    made.p99_ms = latency(0.99);
    return made;
}

std::string as_text(std::span<const summary> summaries)
{
    std::string text = absl::StrFormat("%-*s", name_width, "pattern");
    for (const auto& column : columns) {
        text += absl::StrFormat(" %16s", column.name);
    }
    text += '\n';
    for (const auto& each : summaries) {
        text += absl::StrFormat("%-*s", name_width, each.pattern);
        for (const auto& column : columns) {
            const auto& value = each.*column.value;
            text +=
                absl::StrFormat(" %9.3f ±%5.3f", value.mean, value.deviation);
        }
        text += '\n';
    }
    return text;
}

std::string as_csv(std::span<const summary> summaries)
{
    std::string text = "pattern,seeds";
    for (const auto& column : columns) {
        text += absl::StrFormat(",%s,%s_deviation", column.name, column.name);
    }
    text += '\n';
    for (const auto& each : summaries) {
        text += absl::StrFormat("%s,%d", each.pattern, each.seeds);
        for (const auto& column : columns) {
            const auto& value = each.*column.value;
            text += absl::StrFormat(",%.6f,%.6f", value.mean, value.deviation);
        }
        text += '\n';
    }
    return text;
}

nlohmann::json as_json(std::span<const summary> summaries)
{
    auto all = nlohmann::json::array();
    for (const auto& each : summaries) {
        nlohmann::json one{{"pattern", each.pattern}, {"seeds", each.seeds}};
        for (const auto& column : columns) {
            const auto& value = each.*column.value;
            one[std::string{column.name}] = {{"mean", value.mean},
                                             {"deviation", value.deviation}};
        }
        all.push_back(std::move(one));
    }
    return all;
}

result<std::vector<summary>> parse_summaries(std::string_view json)
{
    const error malformed{errc::malformed, "read a saved report", "",
                          "expected a JSON array of summaries"};
    const auto document = nlohmann::json::parse(json, nullptr, false);
    if (!document.is_array()) {
        return malformed;
    }
    std::vector<summary> parsed;
    try {
        for (const auto& one : document) {
            summary each;
            each.pattern = one.at("pattern").get<std::string>();
            each.seeds = one.at("seeds").get<std::size_t>();
            for (const auto& column : columns) {
                const auto& value = one.at(std::string{column.name});
                each.*column.value = {value.at("mean").get<double>(),
                                      value.at("deviation").get<double>()};
            }
            parsed.push_back(std::move(each));
        }
    } catch (const nlohmann::json::exception& failure) {
        return error{errc::malformed, "read a saved report", "",
                     failure.what()};
    }
    return parsed;
}

std::string compare(std::span<const summary> before,
                    std::span<const summary> after)
{
    constexpr double significant_errors = 2.0;
    std::string text;
    for (const auto& one : before) {
        const auto other =
            std::find_if(after.begin(), after.end(), [&](const auto& each) {
                return each.pattern == one.pattern;
            });
        if (other == after.end() || one.seeds == 0 || other->seeds == 0) {
            continue;
        }
        text += one.pattern + '\n';
        for (const auto& column : columns) {
            const auto& from = one.*column.value;
            const auto& to = *other.*column.value;
            const double difference = to.mean - from.mean;
            const double standard_error =
                std::sqrt(from.deviation * from.deviation /
                              static_cast<double>(one.seeds) +
                          to.deviation * to.deviation /
                              static_cast<double>(other->seeds));
            const bool significant =
                std::abs(difference) > significant_errors * standard_error;
            text += absl::StrFormat("  %-14s %9.3f -> %9.3f  %+9.3f ±%5.3f%s\n",
                                    column.name, from.mean, to.mean, difference,
                                    standard_error, significant ? " *" : "");
        }
    }
    return text;
}

} // namespace bulrushspring::experiment
