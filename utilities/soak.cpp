#include "fakes/site/soak.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <filesystem>
#include <iostream>

ABSL_FLAG(std::uint64_t, seed, 1, "Decides which faults are injected, when.");
ABSL_FLAG(std::uint64_t, runs, 1, "Runs, each with the next seed.");
ABSL_FLAG(std::size_t, daemons, 4, "Daemon processes.");
ABSL_FLAG(std::size_t, shards, 4, "Shards of the index.");
ABSL_FLAG(std::size_t, callers, 12, "Callers, each with one request a time.");
ABSL_FLAG(std::uint64_t, seconds, 20, "How long faults are injected.");
ABSL_FLAG(std::string, program, "bulrushspring-platformd",
          "The daemon's program; a bare name is looked for beside this one.");
ABSL_FLAG(std::string, folder, "",
          "For settings and logs; kept. Default: one under the system's "
          "temporary folder.");

namespace
{

using namespace bulrushspring;

std::string program_path(const std::string& own)
{
    const std::string given = absl::GetFlag(FLAGS_program);
    if (given.find('/') != std::string::npos) {
        return given;
    }
    return (std::filesystem::absolute(own).parent_path() / given).string();
}

site::soak_options options_for(std::uint64_t seed, const std::string& own)
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
    options.site.program = program_path(own);
    options.site.folder = folder;
    options.site.daemons = absl::GetFlag(FLAGS_daemons);
    options.site.shards = absl::GetFlag(FLAGS_shards);
    options.site.seed = seed;
    options.callers = absl::GetFlag(FLAGS_callers);
    options.faults_for = seconds{absl::GetFlag(FLAGS_seconds)};
    return options;
}

bool run_one(std::uint64_t seed, const std::string& own)
{
    const auto options = options_for(seed, own);
    const auto report = site::run_soak(options);
    const auto& tally = report.tally;
    std::cout << "seed " << seed << ": " << report.violations.size()
              << " violations; " << tally.asked << " asked, " << tally.succeeded
              << " succeeded, " << tally.refused << " refused, " << tally.failed
              << " failed, " << tally.cut << " cut; " << report.faults.size()
              << " faults; " << report.store_calls << " store calls\n";
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
        "callers and leafs see; docs/SOAK.md tells more.");
    if (absl::ParseCommandLine(argc, argv).size() > 1) {
        std::cerr << "usage: bulrushspring-soak [--seed=N] [--runs=N] ...\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    bool well = true;
    const auto first = absl::GetFlag(FLAGS_seed);
    for (std::uint64_t i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
        well = run_one(first + i, argv[0]) && well;
    }
    return well ? 0 : 1;
}
