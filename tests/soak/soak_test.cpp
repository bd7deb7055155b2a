#define BOOST_TEST_MODULE soak
#include "fakes/site/soak.hpp"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>

using namespace bulrushspring;

namespace
{

site::soak_report soak(std::uint64_t seed, duration faults_for)
{
    std::signal(SIGPIPE, SIG_IGN);
    site::soak_options options;
    const auto folder = std::filesystem::temp_directory_path() /
                        ("bulrushspring-test-soak-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    options.site.program =
        std::string(BULRUSHSPRING_BINARY_FOLDER) + "/bulrushspring-platformd";
    options.site.folder = folder.string();
    options.site.seed = seed;
    options.faults_for = faults_for;
    return site::run_soak(options);
}

void check(const site::soak_report& report)
{
    for (const auto& each : report.violations) {
        BOOST_ERROR(each);
    }
    for (const auto& each : report.faults) {
        BOOST_TEST_MESSAGE(each);
    }
    BOOST_TEST(report.tally.succeeded > 0U);
}

} // namespace

// The real daemons, without faults: everything is served.
BOOST_AUTO_TEST_CASE(a_calm_installation_is_served_whole)
{
    const auto report = soak(1, seconds{0});
    check(report);
    BOOST_TEST(report.tally.failed == 0U);
    BOOST_TEST(report.tally.cut == 0U);
}

BOOST_AUTO_TEST_CASE(faults_break_no_promise)
{
    check(soak(2, seconds{8}));
}
