#include "tests/support/system_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using test::system_fleet;

namespace
{

// The text of section service.find with a new result limit.
std::string changed_section(const system_fleet& fleet)
{
    return fleet.section("service.find") + "result_limit = 2\n";
}

} // namespace

BOOST_AUTO_TEST_CASE(
    a_restarted_daemon_keeps_the_version_when_the_platform_reverts)
{
    system_fleet fleet;
    fleet.start_daemons();
    fleet.inject_platform_faults("stale=0");
    fleet.publish(2, "service.find", changed_section(fleet));
    fleet.wait_for_version(2);

    fleet.inject_platform_faults("down=1");
    fleet.kill_daemon(3);
    fleet.start_daemon(3);
    fleet.wait_for_version(2);
    BOOST_TEST(fleet.status(3)["configuration"]["relied_on"] == "peers");
}

BOOST_AUTO_TEST_CASE(a_stale_platform_does_not_revert_a_new_daemon)
{
    system_fleet fleet;
    fleet.start_daemons();
    // Models a platform that is still at version 1 although version 2 has
    // already reached the fleet.
    fleet.publish(2, "service.find", changed_section(fleet));
    fleet.wait_for_version(2);
    fleet.publish(1, "service.find", fleet.section("service.find"));
    fleet.kill_daemon(4);
    fleet.start_daemon(4);
    fleet.wait_for_version(2);
    for (int number = 1; number <= system_fleet::daemons; ++number) {
        BOOST_TEST(fleet.served_version(number) == 2);
    }
}

BOOST_AUTO_TEST_CASE(
    an_invalid_manifest_is_refused_and_the_last_one_stays_in_force)
{
    system_fleet fleet;
    fleet.start_daemons();
    const auto valid = fleet.section("service.find");
    fleet.publish(2, "service.find", "[service]\nkind = poem\n");
    test::wait_until([&] {
        for (int number = 1; number <= system_fleet::daemons; ++number) {
            const auto status = fleet.status(number);
            if (status["configuration"]["reading"] == true &&
                status["configuration"]["refusals"].empty()) {
                return false;
            }
        }
        return true;
    });
    fleet.kill_daemon(5);
    fleet.start_daemon(5); // starts after the invalid manifest was published
    fleet.wait_for_version(1);
    fleet.publish(3, "service.find", valid);
    fleet.wait_for_version(3);
}

BOOST_AUTO_TEST_CASE(a_frozen_daemon_catches_up_before_it_serves_again)
{
    system_fleet fleet;
    fleet.start_daemons();
    fleet.daemon(6).send(SIGSTOP);
    const auto member_status = [&] {
        const auto status = fleet.status(1);
        for (const auto& member : status["members"]) {
            if (member["name"] == "entry-6") {
                return member["status"].get<std::string>();
            }
        }
        return std::string();
    };
    test::wait_until([&] { return member_status() == "dead"; });
    for (int number = 1; number < 6; ++number) {
        const auto addresses = test::json::parse(system_fleet::http_get(
            fleet.caller_address(number), "/v1/addresses"));
        for (const auto& entry : addresses["entries"]) {
            BOOST_TEST(entry["name"] != "entry-6");
        }
    }
    fleet.publish(2, "service.find", changed_section(fleet));
    for (int number = 1; number < 6; ++number) {
        test::wait_until([&] { return fleet.served_version(number) == 2; });
    }
    fleet.daemon(6).send(SIGCONT);
    // While the daemon still has the old version, it must not report that it
    // serves.
    std::uint64_t version = 0;
    test::wait_until([&] {
        version = fleet.served_version(6);
        return version != 0;
    });
    BOOST_TEST(version == 2);
    test::wait_until([&] { return member_status() == "alive"; });
}
