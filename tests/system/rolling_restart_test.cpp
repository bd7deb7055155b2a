#include "tests/support/system_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using test::system_fleet;

namespace
{

test::process start_load(const system_fleet& fleet, const std::string& service,
                         const std::string& kind)
{
    return test::process({"bulrushspring-load",
                          "--entries=" + fleet.caller_addresses(),
                          "--service=" + service, "--kind=" + kind, "--rate=20",
                          "--duration_s=45", "--deadline_ms=3000", "--seed=7",
                          "--history=" + fleet.path(service + ".history"),
                          "--data_centres=dc-1,dc-2,dc-3"},
                         fleet.path(service + ".load"));
}

// Number of calls in a history file by status and reason, as STATUS:REASON.
std::map<std::string, int> count_outcomes(const std::string& history)
{
    std::map<std::string, int> calls_by_outcome;
    std::istringstream lines(test::read_text(history));
    for (std::string line; std::getline(lines, line);) {
        const auto answer = test::json::parse(line)["answer"];
        ++calls_by_outcome[answer["status"].get<std::string>() + ":" +
                           answer["reason"].get<std::string>()];
    }
    return calls_by_outcome;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_rolling_restart_of_all_daemons_fails_no_call)
{
    system_fleet fleet;
    fleet.start_daemons();
    auto find_load = start_load(fleet, "find", "query");
    auto order_load = start_load(fleet, "order", "request");
    for (int number = 1; number <= system_fleet::daemons; ++number) {
        BOOST_TEST(fleet.stop_daemon(number) == 0);
        fleet.start_daemon(number);
        fleet.wait_for_version(1);
    }
    BOOST_TEST(find_load.wait() == 0);
    BOOST_TEST(order_load.wait() == 0);
    for (const auto* service : {"find", "order"}) {
        const auto calls_by_outcome =
            count_outcomes(fleet.path(service) + ".history");
        for (const auto& [outcome, calls] : calls_by_outcome) {
            BOOST_TEST(outcome == "answered:", calls << " calls of " << service
                                                     << " ended " << outcome);
        }
    }
    test::process checker({"bulrushspring-check-history",
                           "--calls=" + fleet.path("order.history"),
                           "--other_callers",
                           "--leafs=" + fleet.leaf_admin_addresses()},
                          fleet.path("check.log"));
    BOOST_TEST(checker.wait() == 0);
}
