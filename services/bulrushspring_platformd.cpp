#include "libraries/gateway_shell/runner.hpp"
#include "platform/messages.hpp"
#include "platform/settings.hpp"
#include "platform/store_client.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

ABSL_FLAG(std::string, settings, "",
          "The platform's settings file; without it, the path in the variable "
          "BULRUSHSPRING_SETTINGS. docs/PLATFORM-DAEMON.md lists the keys.");
ABSL_FLAG(std::uint16_t, metrics_port, 9790,
          "The port on which /metrics is served, on the daemon's own address.");
ABSL_FLAG(bool, check, false,
          "Check the settings, tell all faults, and end without starting.");

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

std::string settings_path()
{
    const std::string given = absl::GetFlag(FLAGS_settings);
    const char* named = std::getenv("BULRUSHSPRING_SETTINGS");
    return given.empty() && named != nullptr ? named : given;
}

// Reads and checks the file; tells all faults.
std::optional<platform::settings> load(const std::string& path)
{
    const auto content = read_file(path);
    if (!content) {
        std::cerr << path << ": can't be read\n";
        return std::nullopt;
    }
    platform::settings settings;
    const auto faults = platform::parse_settings(*content, settings);
    for (const auto& fault : faults) {
        std::cerr << path << ": " << fault.key << ": expected "
                  << fault.expected << '\n';
    }
    if (!faults.empty()) {
        return std::nullopt;
    }
    return settings;
}

void stop_on_signal(evutil_socket_t /*signal*/, short /*what*/, void* which)
{
    static_cast<gateway_shell::runner*>(which)->stop();
}

void reload_on_signal(evutil_socket_t /*signal*/, short /*what*/, void* which)
{
    const bool readable = load(settings_path()).has_value();
    static_cast<gateway_shell::runner*>(which)->note_settings(
        readable ? "in force at the next start" : "faults");
}

shell::event_handle watch_signal(gateway_shell::runner& daemon, int number,
                                 event_callback_fn act)
{
    shell::event_handle watch(
        evsignal_new(daemon.base(), number, act, &daemon));
    event_add(watch.get(), nullptr);
    return watch;
}

gateway_shell::settings shell_settings(const platform::settings& from)
{
    const endpoint metrics{from.peers.address,
                           absl::GetFlag(FLAGS_metrics_port)};
    return {from.name,      from.data_centre, from.region,    from.callers,
            from.readiness, from.peers,       from.directory, metrics,
            from.seeds,     from.gateway};
}

int run(const platform::settings& settings)
{
    const machine_clock clock;
    auto daemon = gateway_shell::runner::start(
        shell_settings(settings), platform::make_protocol(),
        platform::make_store(settings.store), clock);
    if (!daemon) {
        std::cerr << "bulrushspring-platformd: " << to_string(daemon.error())
                  << '\n';
        return exit_cannot_start;
    }
    std::signal(SIGPIPE, SIG_IGN);
    auto& running = *daemon.value();
    const auto terminate = watch_signal(running, SIGTERM, stop_on_signal);
    const auto interrupt = watch_signal(running, SIGINT, stop_on_signal);
    const auto reload = watch_signal(running, SIGHUP, reload_on_signal);
    running.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "The daemon of bulrushspring on the users' platform, one on each "
        "entry VM.\n"
        "usage: bulrushspring-platformd [--settings=FILE] [--check]");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("bulrushspring-platformd 0.1.0\n");
    };
    absl::SetFlagsUsageConfig(usage);
    if (absl::ParseCommandLine(argc, argv).size() > 1) {
        std::cerr << "usage: bulrushspring-platformd [--settings=FILE] "
                     "[--check]\n";
        return exit_usage;
    }
    const auto settings = load(settings_path());
    if (!settings) {
        return exit_usage;
    }
    return absl::GetFlag(FLAGS_check) ? 0 : run(*settings);
}
