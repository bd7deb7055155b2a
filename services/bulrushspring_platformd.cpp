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
          "Path of the platform's settings file; defaults to the environment "
          "variable BULRUSHSPRING_SETTINGS. docs/PLATFORM-DAEMON.md lists the "
          "keys.");
ABSL_FLAG(std::uint16_t, metrics_port, 9790,
          "Port that serves /metrics, on the address of the peer listener.");
ABSL_FLAG(bool, check, false,
          "Validate the settings, report every fault, and exit without "
          "starting the daemon.");

namespace
{

using namespace bulrushspring;

constexpr int exit_usage = 2;
constexpr int exit_cannot_start = 1;

std::string requested_settings_path()
{
    const std::string given = absl::GetFlag(FLAGS_settings);
    const char* from_environment = std::getenv("BULRUSHSPRING_SETTINGS");
    return given.empty() && from_environment != nullptr ? from_environment
                                                        : given;
}

std::string to_string(const platform::settings_fault& fault)
{
    return fault.key + ": expected " + fault.expected;
}

// Parses the settings and prints every fault to standard error; nullopt if
// there is any.
std::optional<platform::settings> parse_and_report(const std::string& path,
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

// Signals that are handled once the daemon's event loop exists.
sigset_t handled_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int each : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, each);
    }
    return signals;
}

void handle_stop_signal(evutil_socket_t /*signal*/, short /*what*/,
                        void* argument)
{
    static_cast<gateway_shell::runner*>(argument)->stop();
}

// Argument of the SIGHUP handler.
struct reload_context {
    gateway_shell::settings_file& file;
    gateway_shell::runner& daemon;
};

void handle_reload_signal(evutil_socket_t /*signal*/, short /*what*/,
                          void* argument)
{
    const auto& context = *static_cast<reload_context*>(argument);
    if (!context.file.check()) {
        context.daemon.log_settings_outcome("kept",
                                            "settings file is unchanged");
    }
}

shell::event_handle add_signal_event(event_base* base, int number,
                                     event_callback_fn act, void* argument)
{
    shell::event_handle watch(evsignal_new(base, number, act, argument));
    event_add(watch.get(), nullptr);
    return watch;
}

gateway_shell::settings to_gateway_settings(const platform::settings& from)
{
    const endpoint metrics{from.peers.address,
                           absl::GetFlag(FLAGS_metrics_port)};
    return {from.name,      from.data_centre, from.region,      from.callers,
            from.readiness, from.peers,       from.directory,   metrics,
            from.seeds,     from.gateway,     from.memory_bytes};
}

// Applies the changed settings, or logs the first fault and keeps the settings
// in force.
void reload(gateway_shell::runner& daemon, const std::string& content)
{
    platform::settings changed;
    const auto faults = platform::parse_settings(content, changed);
    if (faults.empty()) {
        daemon.apply(to_gateway_settings(changed));
    } else {
        daemon.log_settings_outcome("refused", to_string(faults.front()));
    }
}

gateway_shell::settings_file watch_settings_file(gateway_shell::runner& daemon,
                                                 const std::string& path,
                                                 const std::string& content)
{
    return {daemon.base(),
            path,
            content,
            {[&](const std::string& changed) { reload(daemon, changed); },
             [&] {
                 daemon.log_settings_outcome("refused",
                                             "cannot read the settings file");
             }}};
}

int run(const std::string& path, const std::string& content,
        const platform::settings& settings)
{
    const system_boot_clock clock;
    memory::account account;
    auto daemon = gateway_shell::runner::start(
        to_gateway_settings(settings), platform::make_protocol(),
        platform::make_store(settings.store, &account), clock, account);
    if (!daemon) {
        std::cerr << "bulrushspring-platformd: " << to_string(daemon.error())
                  << '\n';
        return exit_cannot_start;
    }
    std::signal(SIGPIPE, SIG_IGN);
    auto& running = *daemon.value();
    auto file = watch_settings_file(running, path, content);
    reload_context reload_argument{file, running};
    auto* base = running.base();
    const auto terminate =
        add_signal_event(base, SIGTERM, handle_stop_signal, &running);
    const auto interrupt =
        add_signal_event(base, SIGINT, handle_stop_signal, &running);
    const auto hang_up =
        add_signal_event(base, SIGHUP, handle_reload_signal, &reload_argument);
    const auto handled = handled_signals();
    sigprocmask(SIG_UNBLOCK, &handled, nullptr);
    running.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    // The sockets are open before the handlers are set: a signal that arrives
    // in between stays pending.
    const auto handled = handled_signals();
    sigprocmask(SIG_BLOCK, &handled, nullptr);
    absl::SetProgramUsageMessage(
        "The bulrushspring daemon for the users' platform; one runs on each "
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
    const auto path = requested_settings_path();
    const auto content = gateway_shell::read_file(path);
    if (!content) {
        std::cerr << path << ": cannot read the settings file\n";
        return exit_usage;
    }
    const auto settings = parse_and_report(path, *content);
    if (!settings) {
        return exit_usage;
    }
    return absl::GetFlag(FLAGS_check) ? 0 : run(path, *content, *settings);
}
