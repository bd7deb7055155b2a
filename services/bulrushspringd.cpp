#include "libraries/settings/settings.hpp"
#include "libraries/shell/runner.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <csignal>
#include <fstream>
#include <glog/logging.h>
#include <iostream>
#include <iterator>

ABSL_FLAG(std::string, settings, "",
          "Path of this daemon's INI settings file; docs/OPERATORS.md lists "
          "the keys.");
ABSL_FLAG(bool, check, false,
          "Validate the settings, report every fault, and exit without "
          "starting the daemon.");

namespace
{

using namespace bulrushspring;

constexpr int exit_usage = 2;
constexpr int exit_cannot_start = 1;

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

void print_faults(const manifest::validation_errors& faults,
                  const std::string& path)
{
    for (const auto& fault : faults) {
        std::cerr << path << ": " << manifest::to_string(fault) << '\n';
    }
}

void handle_stop_signal(evutil_socket_t /*signal*/, short /*what*/,
                        void* argument)
{
    static_cast<shell::runner*>(argument)->stop();
}

shell::event_handle add_stop_signal_event(shell::runner& daemon, int number)
{
    shell::event_handle watch(
        evsignal_new(daemon.base(), number, handle_stop_signal, &daemon));
    event_add(watch.get(), nullptr);
    return watch;
}

int run(const settings::daemon_settings& settings)
{
    const system_boot_clock clock;
    auto daemon = shell::runner::start(settings, clock);
    if (!daemon) {
        std::cerr << "bulrushspringd: " << to_string(daemon.error()) << '\n';
        return exit_cannot_start;
    }
    std::signal(SIGHUP, SIG_IGN);
    std::signal(SIGPIPE, SIG_IGN);
    const auto terminate = add_stop_signal_event(*daemon.value(), SIGTERM);
    const auto interrupt = add_stop_signal_event(*daemon.value(), SIGINT);
    daemon.value()->run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "The bulrushspring daemon; one runs on each entry VM.\n"
        "usage: bulrushspringd --settings=FILE [--check]");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("bulrushspringd 0.1.0\n"); };
    absl::SetFlagsUsageConfig(usage);
    const auto positional = absl::ParseCommandLine(argc, argv);
    const std::string path = absl::GetFlag(FLAGS_settings);
    if (positional.size() > 1 || path.empty()) {
        std::cerr << "usage: bulrushspringd --settings=FILE [--check]\n";
        return exit_usage;
    }
    const auto content = read_file(path);
    if (!content) {
        std::cerr << path << ": cannot read the settings file\n";
        return exit_usage;
    }
    const auto settings = settings::parse_settings(*content);
    if (!settings) {
        print_faults(settings.error(), path);
        return exit_usage;
    }
    if (absl::GetFlag(FLAGS_check)) {
        return 0;
    }
    FLAGS_logtostderr = true; // The VMs have no disks.
    google::InitGoogleLogging(argv[0]);
    return run(settings.value());
}
