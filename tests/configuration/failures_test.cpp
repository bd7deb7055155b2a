#include "fleet.hpp"

#include "libraries/configuration/events.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::configuration;
using namespace bulrushspring::configuration::test;

namespace
{

// Returns a fleet that has version 1 in force everywhere.
simulated_fleet make_converged_fleet(std::size_t size, std::uint64_t seed,
                                     const options& settings = {})
{
    simulated_fleet fleet(size, seed, settings);
    fleet.publish_valid(make_manifest(1, size, 0));
    fleet.publish_vms("[vm entry-0]\nstate=live\n[vm entry-1]\nstate=live\n");
    fleet.start_all();
    fleet.run(seconds{15});
    BOOST_TEST_REQUIRE(fleet.converged());
    return fleet;
}

std::size_t count_log_events(const simulated_fleet& fleet,
                             const event_definition& definition)
{
    return static_cast<std::size_t>(std::count_if(
        fleet.log.begin(), fleet.log.end(),
        [&](const auto& line) { return line.definition == &definition; }));
}

void require_in_force(const simulated_fleet& fleet, const published& what)
{
    BOOST_TEST(fleet.count_in_force(document_id_of(what)) ==
               fleet.members.size());
    BOOST_TEST(fleet.converged());
    for (const auto& text : fleet.violations) {
        BOOST_ERROR(text);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(a_change_is_in_force_everywhere_within_6_s)
{
    auto fleet = make_converged_fleet(60, 1);
    fleet.loss = 0.1;
    const auto next = make_manifest(2, 60, 7);
    fleet.publish_valid(next);
    fleet.run(seconds{6});
    require_in_force(fleet, next);
}

BOOST_AUTO_TEST_CASE(digests_suffice_if_all_updates_are_lost)
{
    options settings;
    settings.update_fan_out = 0;
    auto fleet = make_converged_fleet(20, 2, settings);
    const auto next = make_manifest(2, 20, 7);
    fleet.publish_valid(next);
    fleet.run(seconds{20});
    require_in_force(fleet, next);
}

BOOST_AUTO_TEST_CASE(updates_reach_most_of_the_fleet_within_500_ms)
{
    auto fleet = make_converged_fleet(60, 3);
    const auto next = make_manifest(2, 60, 7);
    fleet.publish_valid(next);
    fleet.run(milliseconds{500});
    BOOST_TEST(fleet.count_in_force(document_id_of(next)) > 50U);
}

BOOST_AUTO_TEST_CASE(an_invalid_manifest_is_refused_and_read_once)
{
    auto fleet = make_converged_fleet(9, 4);
    const auto before = make_manifest(1, 9, 0);
    const auto invalid = make_manifest(2, 9, 7, false);
    const auto calls = fleet.platform_call_count("section/");
    fleet.publish_everywhere(invalid);
    fleet.run(seconds{300});
    require_in_force(fleet, before);
    // Two sections changed, and at most six readers fetch each of them once.
    BOOST_TEST(fleet.platform_call_count("section/") - calls <= 2 * 6);
    BOOST_TEST(count_log_events(fleet, manifest_refused) <= 6U);

    // A daemon that starts after the invalid manifest was published refuses it
    // too.
    fleet.start(4);
    fleet.run(seconds{10});
    require_in_force(fleet, before);
    bool reported = false;
    for (const auto& one : fleet.members) {
        for (const auto& refusal : status_of(*one.node).refusals) {
            reported = reported ||
                       refusal.reason.find("data_centre") != std::string::npos;
        }
    }
    BOOST_TEST(reported);
    const auto next = make_manifest(3, 9, 8);
    fleet.publish_valid(next);
    fleet.run(seconds{6});
    require_in_force(fleet, next);
}

BOOST_AUTO_TEST_CASE(truncated_and_oversized_indexes_change_nothing)
{
    auto fleet = make_converged_fleet(6, 5);
    const auto before = make_manifest(1, 6, 0);
    auto malformed = make_manifest(2, 6, 7);
    const std::string complete = malformed.index;
    const std::string contents[] = {complete.substr(0, complete.size() / 2), "",
                                    complete +
                                        std::string(2UL * 1024 * 1024, ';')};
    for (const auto& content : contents) {
        malformed.index = content;
        fleet.publish_everywhere(malformed);
        fleet.run(seconds{5});
        require_in_force(fleet, before);
    }
    BOOST_TEST(count_log_events(fleet, manifest_refused) > 0U);
}

BOOST_AUTO_TEST_CASE(a_damaged_section_is_read_again)
{
    auto fleet = make_converged_fleet(6, 6);
    const auto next = make_manifest(2, 6, 7);
    auto damaged = next;
    for (auto& [key, text] : damaged.sections) {
        text = text.substr(0, text.size() / 2);
    }
    fleet.publish_everywhere(damaged);
    fleet.run(seconds{5});
    require_in_force(fleet, make_manifest(1, 6, 0));
    BOOST_TEST(count_log_events(fleet, manifest_refused) > 0U);
    fleet.publish_valid(next);
    fleet.run(seconds{70});
    require_in_force(fleet, next);
}

BOOST_AUTO_TEST_CASE(a_version_conflict_is_resolved_alike_everywhere)
{
    auto fleet = make_converged_fleet(30, 7);
    const auto one = make_manifest(2, 30, 1);
    const auto other = make_manifest(2, 30, 2);
    fleet.valid.insert(document_id_of(one).hash);
    fleet.valid.insert(document_id_of(other).hash);
    fleet.publish(0, one);
    fleet.publish(1, other);
    fleet.run(seconds{15});
    const bool first = is_newer(document_id_of(one), document_id_of(other));
    require_in_force(fleet, first ? one : other);
    BOOST_TEST(count_log_events(fleet, manifest_race) > 0U);
    // Publishing the other manifest again has no effect.
    fleet.publish_everywhere(first ? other : one);
    fleet.run(seconds{15});
    require_in_force(fleet, first ? one : other);
}

BOOST_AUTO_TEST_CASE(restarts_with_a_stale_platform_keep_the_newer_manifest)
{
    auto fleet = make_converged_fleet(12, 8);
    const auto next = make_manifest(2, 12, 7);
    fleet.publish_valid(next);
    fleet.run(seconds{6});
    fleet.publish_everywhere(make_manifest(1, 12, 0));
    for (std::size_t i = 0; i < fleet.members.size(); ++i) {
        fleet.start(i);
        fleet.run(seconds{8});
    }
    require_in_force(fleet, next);
    BOOST_TEST(count_log_events(fleet, manifest_backwards) > 0U);
}

BOOST_AUTO_TEST_CASE(a_starting_daemon_fetches_the_newest_manifest_of_its_peers)
{
    auto fleet = make_converged_fleet(12, 15);
    const auto next = make_manifest(2, 12, 7);
    fleet.publish_valid(next);
    fleet.run(seconds{6});
    fleet.publish_everywhere(make_manifest(1, 12, 0));
    // It gets no digests of others, and the platform answers immediately.
    fleet.pings = false;
    for (auto& one : fleet.members) {
        one.node->settings.max_first_call_delay = duration{0};
    }
    for (std::size_t i = 0; i < fleet.members.size(); ++i) {
        fleet.start(i);
        fleet.members[i].node->settings.max_first_call_delay = duration{0};
        fleet.run(seconds{4});
    }
    require_in_force(fleet, next);
}

BOOST_AUTO_TEST_CASE(one_running_daemon_restores_all_that_restarted)
{
    auto fleet = make_converged_fleet(12, 16);
    const auto next = make_manifest(2, 12, 7);
    fleet.publish_valid(next);
    fleet.run(seconds{6});
    fleet.publish_everywhere(make_manifest(1, 12, 0));
    for (std::size_t i = 1; i < fleet.members.size(); ++i) {
        fleet.start(i);
    }
    for (int i = 0; i < 400; ++i) {
        fleet.run(milliseconds{20});
        for (const auto& one : fleet.members) {
            BOOST_TEST_REQUIRE((!ready(*one.node) ||
                                one.node->in_force.id == document_id_of(next)));
        }
    }
    require_in_force(fleet, next);
}

BOOST_AUTO_TEST_CASE(restarts_while_the_platform_is_down_keep_the_manifest)
{
    auto fleet = make_converged_fleet(12, 9);
    fleet.replicas[0].up = fleet.replicas[1].up = false;
    for (std::size_t i = 0; i < fleet.members.size(); ++i) {
        fleet.start(i);
        fleet.run(seconds{8});
    }
    require_in_force(fleet, make_manifest(1, 12, 0));
    BOOST_TEST(status_of(*fleet.members[3].node).relied_on == "peers");
}

BOOST_AUTO_TEST_CASE(no_daemon_is_ready_in_a_cold_start_without_the_platform)
{
    simulated_fleet fleet(9, 10);
    const auto first = make_manifest(1, 9, 0);
    fleet.replicas[0].up = fleet.replicas[1].up = false;
    fleet.publish_valid(first);
    fleet.start_all();
    fleet.run(seconds{30});
    const auto calls = fleet.platform_calls.size();
    fleet.run(seconds{30});
    // Six readers, each with at most one call per half of max_backoff.
    BOOST_TEST(fleet.platform_calls.size() - calls <= 6 * 7U);
    for (const auto& one : fleet.members) {
        BOOST_TEST(!ready(*one.node));
    }
    fleet.replicas[0].up = fleet.replicas[1].up = true;
    fleet.run(seconds{16});
    require_in_force(fleet, first);
}

BOOST_AUTO_TEST_CASE(first_reads_of_isolated_daemons_are_spread)
{
    simulated_fleet fleet(60, 14);
    for (std::size_t i = 0; i < fleet.members.size(); ++i) {
        fleet.members[i].partition = i;
    }
    fleet.publish_valid(make_manifest(1, 60, 0));
    fleet.start_all();
    for (int i = 0; i < 8; ++i) {
        const auto calls = fleet.platform_calls.size();
        fleet.run(milliseconds{500});
        BOOST_TEST(fleet.platform_calls.size() - calls <= 2 * 20U);
    }
    BOOST_TEST(fleet.platform_call_count("manifest") >= 60U);
}

BOOST_AUTO_TEST_CASE(a_single_daemon_relies_on_the_platform)
{
    simulated_fleet fleet(1, 11);
    const auto first = make_manifest(1, 1, 0);
    fleet.publish_valid(first);
    fleet.start_all();
    fleet.run(milliseconds{2900});
    BOOST_TEST(!ready(*fleet.members[0].node));
    fleet.run(seconds{4});
    require_in_force(fleet, first);
    BOOST_TEST(status_of(*fleet.members[0].node).relied_on == "platform");
}

BOOST_AUTO_TEST_CASE(a_resumed_daemon_is_not_ready_until_it_is_up_to_date)
{
    auto fleet = make_converged_fleet(9, 12);
    auto& suspended_member = fleet.members[5];
    fleet.freeze(5, seconds{30});
    const auto next = make_manifest(2, 9, 7);
    fleet.publish_valid(next);
    fleet.run(seconds{30} - milliseconds{20});
    BOOST_TEST((suspended_member.node->in_force.id.version == 1));
    // The first event after the wake, of whatever kind, must make the member
    // not ready.
    while (suspended_member.node->in_force.id.version == 1) {
        fleet.run(milliseconds{20});
        BOOST_TEST_REQUIRE((!ready(*suspended_member.node) ||
                            suspended_member.node->in_force.id.version == 2));
    }
    fleet.run(seconds{3});
    require_in_force(fleet, next);
}

BOOST_AUTO_TEST_CASE(a_partitioned_fleet_converges_when_it_is_joined_again)
{
    auto fleet = make_converged_fleet(12, 13);
    for (std::size_t i = 0; i < fleet.members.size(); ++i) {
        fleet.members[i].partition = i % 2;
    }
    const auto next = make_manifest(2, 12, 7);
    fleet.valid.insert(document_id_of(next).hash);
    fleet.publish(0, next);
    fleet.run(seconds{60});
    BOOST_TEST(fleet.count_in_force(document_id_of(next)) == 6U);
    for (auto& one : fleet.members) {
        one.partition = 0;
    }
    fleet.run(seconds{10});
    require_in_force(fleet, next);
}
