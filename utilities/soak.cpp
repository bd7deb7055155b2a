#include "fakes/site/soak.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <filesystem>
#include <iostream>

ABSL_FLAG(std::uint64_t, seed, 1,
          "Random seed that determines which faults are injected, and when.");
ABSL_FLAG(std::uint64_t, runs, 1, "Number of runs; each uses the next seed.");
ABSL_FLAG(std::size_t, daemons, 4, "Number of daemon processes.");
ABSL_FLAG(std::size_t, shards, 4, "Number of shards of the index.");
ABSL_FLAG(std::size_t, callers, 12,
          "Number of callers; each has one request outstanding at a time.");
ABSL_FLAG(std::size_t, late_callers, 40,
          "Number of callers of each daemon that keep connections idle and use "
          "them until the process is gone.");
ABSL_FLAG(bool, planned_only, false,
          "Inject only planned stops, SIGHUPs and changes of configuration.");
ABSL_FLAG(bool, evacuate, false,
          "Evacuate data centres, one after the other; with --planned_only.");
ABSL_FLAG(double, cold_per_s, 0,
          "Restart leafs, which are cold for some seconds and then tolerate "
          "this many requests a second; 0: none.");
ABSL_FLAG(std::uint64_t, seconds, 20,
          "Duration of the fault injection in seconds.");
ABSL_FLAG(std::string, program, "bulrushspring-platformd",
          "Daemon executable; a name without a slash is resolved in the "
          "directory of this program.");
ABSL_FLAG(std::string, second_program, "",
          "Another daemon executable, such as an earlier version, with which "
          "every second daemon starts. These daemons are replaced by --program "
          "one after the other during the run.");
ABSL_FLAG(std::string, folder, "",
          "Folder for settings and logs, which is not removed afterwards; "
          "defaults to a new one in the system's temporary folder.");

namespace
{

using namespace bulrushspring;

std::string resolve_program(const std::string& given,
                            const std::string& own_path)
{
    if (given.empty() || given.find('/') != std::string::npos) {
        return given;
    }
    return (std::filesystem::absolute(own_path).parent_path() / given).string();
}

site::soak_options make_options(std::uint64_t seed, const std::string& own_path)
{
    site::soak_options options;
    auto folder = absl::GetFlag(FLAGS_folder);
    if (folder.empty()) {
        folder = (std::filesystem::temp_directory_path() /
                  ("bulrushspring-soak-" + std::to_string(getpid())))
                     .string();
    }
    folder += "/seed-" + std::to_string(seed);
    std::filesystem::create_directories(folder);
    options.site.program =
        resolve_program(absl::GetFlag(FLAGS_program), own_path);
    options.site.second_program =
        resolve_program(absl::GetFlag(FLAGS_second_program), own_path);
    options.site.folder = folder;
    options.site.daemons = absl::GetFlag(FLAGS_daemons);
    options.site.shards = absl::GetFlag(FLAGS_shards);
    options.site.seed = seed;
    options.site.cold_per_second = absl::GetFlag(FLAGS_cold_per_s);
    options.callers = absl::GetFlag(FLAGS_callers);
    options.late_callers = absl::GetFlag(FLAGS_late_callers);
    options.planned_only = absl::GetFlag(FLAGS_planned_only);
    options.evacuate = absl::GetFlag(FLAGS_evacuate);
    options.fault_duration = seconds{absl::GetFlag(FLAGS_seconds)};
    return options;
}

bool run_one(std::uint64_t seed, const std::string& own_path)
{
    const auto options = make_options(seed, own_path);
    const auto report = site::run_soak(options);
    const auto& tally = report.tally;
    std::cout << "seed " << seed << ": " << report.violations.size()
              << " violations; " << tally.sent << " asked, " << tally.succeeded
              << " succeeded, " << tally.refused << " refused, " << tally.failed
              << " failed, " << tally.interrupted
              << " cut; late: " << report.late.sent << " asked, "
              << report.late.answered << " answered, " << report.late.cut
              << " cut; " << report.cold_starts << " cold starts, at most "
              << report.cold_arrivals << " requests in a second; "
              << report.faults.size() << " faults; " << report.store_calls
              << " store calls" << std::endl; // visible while later seeds run
    if (report.violations.empty()) {
        return true;
    }
    for (const auto& each : report.faults) {
        std::cout << "  fault: " << each << '\n';
    }
    for (const auto& each : report.violations) {
        std::cout << "  violation: " << each << '\n';
    }
    std::cout << "  logs: " << options.site.folder << std::endl;
    return false;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Runs daemons on loopback under injected faults and checks what "
        "callers and leafs see; see docs/SOAK.md.");
    if (absl::ParseCommandLine(argc, argv).size() > 1) {
        std::cerr << "usage: bulrushspring-soak [--seed=N] [--runs=N] ...\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    bool all_passed = true;
    const auto first_seed = absl::GetFlag(FLAGS_seed);
    for (std::uint64_t i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
        all_passed = run_one(first_seed + i, argv[0]) && all_passed;
    }
    return all_passed ? 0 : 1;
}
