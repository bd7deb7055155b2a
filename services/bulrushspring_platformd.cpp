#include "libraries/gateway_shell/runner.hpp"
#include "libraries/gateway_shell/settings_file.hpp"
#include "platform/messages.hpp"
#include "platform/settings.hpp"
#include "platform/store_client.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <csignal>
#include <cstdlib>
#include <iostream>

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

std::string settings_path()
{
    const std::string given = absl::GetFlag(FLAGS_settings);
    const char* named = std::getenv("BULRUSHSPRING_SETTINGS");
    return given.empty() && named != nullptr ? named : given;
}

std::string to_string(const platform::settings_fault& fault)
{
    return fault.key + ": expected " + fault.expected;
}

// Checks the content of the file; tells all faults.
std::optional<platform::settings> check(const std::string& path,
                                        const std::string& content)
{
    platform::settings settings;
    const auto faults = platform::parse_settings(content, settings);
    for (const auto& fault : faults) {
        std::cerr << path << ": " << to_string(fault) << '\n';
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

// What a signal to read the settings again concerns.
struct reload_target {
    gateway_shell::settings_file& file;
    gateway_shell::runner& daemon;
};

void reload_on_signal(evutil_socket_t /*signal*/, short /*what*/, void* which)
{
    const auto& target = *static_cast<reload_target*>(which);
    if (!target.file.look()) {
        target.daemon.note_settings("kept", "nothing new in the file");
    }
}

shell::event_handle watch_signal(event_base* base, int number,
                                 event_callback_fn act, void* which)
{
    shell::event_handle watch(evsignal_new(base, number, act, which));
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

// Takes a changed file if it has no fault.
void reload(gateway_shell::runner& daemon, const std::string& content)
{
    platform::settings changed;
    const auto faults = platform::parse_settings(content, changed);
    if (faults.empty()) {
        daemon.apply(shell_settings(changed));
    } else {
        daemon.note_settings("refused", to_string(faults.front()));
    }
}

gateway_shell::settings_file watch_file(gateway_shell::runner& daemon,
                                        const std::string& path,
                                        const std::string& content)
{
    return {daemon.base(),
            path,
            content,
            {[&](const std::string& changed) { reload(daemon, changed); },
             [&] { daemon.note_settings("refused", "can't be read"); }}};
}

int run(const std::string& path, const std::string& content,
        const platform::settings& settings)
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
    auto file = watch_file(running, path, content);
    reload_target reloaded{file, running};
    auto* base = running.base();
    const auto terminate =
        watch_signal(base, SIGTERM, stop_on_signal, &running);
    const auto interrupt = watch_signal(base, SIGINT, stop_on_signal, &running);
    const auto hang_up =
        watch_signal(base, SIGHUP, reload_on_signal, &reloaded);
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
    const auto path = settings_path();
    const auto content = gateway_shell::read_file(path);
    if (!content) {
        std::cerr << path << ": can't be read\n";
        return exit_usage;
    }
    const auto settings = check(path, *content);
    if (!settings) {
        return exit_usage;
    }
    return absl::GetFlag(FLAGS_check) ? 0 : run(path, *content, *settings);
}
