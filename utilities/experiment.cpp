#include "fakes/experiment/report.hpp"
#include "fakes/http/server.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <filesystem>
#include <iostream>

ABSL_FLAG(std::uint64_t, seed, 1, "Random seed of the first run.");
ABSL_FLAG(std::size_t, runs, 5, "Runs of each pattern; each has a new seed.");
ABSL_FLAG(std::string, format, "text", "Report format: text, csv or json.");

namespace
{

using namespace bulrushspring;

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

int report_error(std::string_view message, int code)
{
    std::cerr << message << '\n';
    return code;
}

int run_patterns(std::span<char* const> paths)
{
    std::vector<experiment::summary> summaries;
    for (const std::string path : paths) {
        const auto content = fakes::read_file(path);
        if (content.has_error()) {
            return report_error(to_string(content.error()), exit_usage);
        }
        const auto plan = experiment::parse_pattern(content.value());
        if (plan.has_error()) {
            for (const auto& each : plan.error()) {
                std::cerr << path << ": " << to_string(each) << '\n';
            }
            return exit_usage;
        }
        std::vector<experiment::run_result> runs;
        for (std::size_t i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
            runs.push_back(
                experiment::play(plan.value(), absl::GetFlag(FLAGS_seed) + i));
            std::cerr << path << ": run " << i + 1 << " of "
                      << absl::GetFlag(FLAGS_runs) << '\n';
        }
        summaries.push_back(experiment::summarize(
            std::filesystem::path(path).stem().string(), runs));
    }
    const auto format = absl::GetFlag(FLAGS_format);
    if (format == "json") {
        std::cout << experiment::as_json(summaries).dump(2) << '\n';
    } else if (format == "csv") {
        std::cout << experiment::as_csv(summaries);
    } else {
        std::cout << experiment::as_text(summaries);
    }
    return 0;
}

int compare_reports(std::span<char* const> paths)
{
    std::vector<std::vector<experiment::summary>> reports;
    for (const std::string path : paths) {
        const auto content = fakes::read_file(path);
        if (content.has_error()) {
            return report_error(to_string(content.error()), exit_failed);
        }
        const auto report = experiment::parse_summaries(content.value());
        if (report.has_error()) {
            return report_error(to_string(report.error()), exit_failed);
        }
        reports.push_back(report.value());
    }
    std::cout << experiment::compare(reports[0], reports[1]);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "plays load patterns on a model of the fleet; see docs/EXPERIMENTS.md\n"
        "  run PATTERN...        play patterns and print their results\n"
        "  compare BEFORE AFTER  compare two saved JSON reports");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    const std::string verb = arguments.size() > 1 ? arguments[1] : "";
    const auto operands = std::span<char* const>(arguments).subspan(
        std::min<std::size_t>(arguments.size(), 2));
    const auto format = absl::GetFlag(FLAGS_format);
    if (format != "text" && format != "csv" && format != "json") {
        return report_error("--format: expected text, csv or json, found '" +
                                format + "'",
                            exit_usage);
    }
    if (verb == "run" && !operands.empty()) {
        return run_patterns(operands);
    }
    if (verb == "compare" && operands.size() == 2) {
        return compare_reports(operands);
    }
    return report_error("expected 'run PATTERN...' or 'compare BEFORE AFTER'; "
                        "see --help",
                        exit_usage);
}
