#ifndef BULRUSHSPRING_TESTS_SOAK_SITE_FIXTURE_HPP
#define BULRUSHSPRING_TESTS_SOAK_SITE_FIXTURE_HPP

#include "fakes/site/site.hpp"

#include <csignal>
#include <filesystem>

// An installation of real daemons in a folder of its own.
namespace bulrushspring::test
{

// Options with the daemon of this build and a new folder, of which `name` is a
// part.
inline site::site_options make_site_options(std::string_view name)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto directory = std::filesystem::temp_directory_path() /
                           ("bulrushspring-test-" + std::string(name) + "-" +
                            std::to_string(getpid()));
    std::filesystem::create_directories(directory);
    site::site_options options;
    options.program =
        std::string(BULRUSHSPRING_BINARY_FOLDER) + "/bulrushspring-platformd";
    options.folder = directory.string();
    return options;
}

// Runs the loop, and calls `after_turn` every few milliseconds.
template <typename Callable>
void run_loop(event_base* base, duration span, const Callable& after_turn)
{
    const system_boot_clock clock;
    for (const auto end = clock.now() + span; clock.now() < end;) {
        const auto turn = shell::to_timeval(milliseconds{5});
        event_base_loopexit(base, &turn);
        event_base_dispatch(base);
        after_turn();
    }
}

} // namespace bulrushspring::test

#endif
