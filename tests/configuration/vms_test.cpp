#include "fleet.hpp"

#include "libraries/configuration/events.hpp"
#include "libraries/wire/frame.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::configuration;
using namespace bulrushspring::configuration::test;

namespace
{

// Returns a list of so many VMs, one of which is leaving.
std::string list_text(std::size_t vms, std::size_t leaving)
{
    manifest::vm_list list;
    for (std::size_t i = 0; i < vms; ++i) {
        (i == leaving ? list.leaving : list.live)
            .push_back("vm-" + std::to_string(10000 + i));
    }
    return to_text(list);
}

simulated_fleet make_fleet_with_list(const std::string& text)
{
    simulated_fleet fleet(12, 20);
    fleet.publish_valid(make_manifest(1, 12, 0));
    fleet.publish_vms(text);
    fleet.start_all();
    fleet.run(seconds{20});
    BOOST_TEST_REQUIRE(fleet.converged());
    return fleet;
}

void require_list(const simulated_fleet& fleet, const std::string& text)
{
    for (const auto& one : fleet.members) {
        BOOST_TEST((digest_of(*one.node).vms_hash == hash_content(text)));
        BOOST_TEST((to_text(one.node->vms.list) == text));
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(only_the_changes_of_a_list_are_sent)
{
    auto fleet = make_fleet_with_list(list_text(2000, 5));
    require_list(fleet, list_text(2000, 5));
    for (auto& one : fleet.members) {
        one.bytes_received = 0;
    }
    fleet.publish_vms(list_text(2000, 6));
    fleet.run(seconds{6});
    require_list(fleet, list_text(2000, 6));
    for (const auto& one : fleet.members) {
        BOOST_TEST(one.bytes_received < 500U);
    }
}

BOOST_AUTO_TEST_CASE(a_late_daemon_gets_the_merged_changes_or_the_whole_list)
{
    auto fleet = make_fleet_with_list(list_text(300, 0));
    for (const std::size_t steps : {5, 100}) {
        // Partitioned and frozen, so that the member misses these changes.
        fleet.members[4].partition = 1;
        fleet.replicas[0].up = fleet.replicas[1].up = true;
        fleet.run(seconds{1});
        for (std::size_t i = 1; i <= steps; ++i) {
            fleet.members[4].frozen_until = fleet.now + seconds{2};
            fleet.publish_vms(list_text(300, i % 300));
            fleet.run(seconds{1});
        }
        fleet.members[4].partition = 0;
        fleet.members[4].bytes_received = 0;
        fleet.run(seconds{15});
        require_list(fleet, list_text(300, steps));
    }
}

BOOST_AUTO_TEST_CASE(invalid_lists_are_refused)
{
    const auto before = list_text(20, 5);
    auto fleet = make_fleet_with_list(before);
    for (const char* content : {"[vm vm-10001]\nstate = gone\n", "[vm a", ""}) {
        fleet.publish_vms(content);
        fleet.run(seconds{3});
    }
    // The empty list is valid; the others are refused.
    require_list(fleet, "");
    fleet.publish_vms(before);
    fleet.run(seconds{5});
    require_list(fleet, before);
}

BOOST_AUTO_TEST_CASE(the_list_of_a_rebuilt_platform_is_accepted_once_it_changes)
{
    auto fleet = make_fleet_with_list(list_text(20, 1));
    for (std::size_t i = 2; i < 9; ++i) {
        fleet.publish_vms(list_text(20, i));
        fleet.run(seconds{2});
    }
    for (auto& replica : fleet.replicas) {
        replica.up = false;
        replica.values["vms"] = {1, list_text(20, 15)};
    }
    fleet.run(seconds{10});
    fleet.replicas[0].up = fleet.replicas[1].up = true;
    fleet.run(seconds{90});
    // The revision is lower but has not increased since: the platform may just
    // be stale.
    require_list(fleet, list_text(20, 8));
    fleet.publish_vms(list_text(20, 16));
    fleet.run(seconds{30});
    require_list(fleet, list_text(20, 16));
    fleet.publish_vms(list_text(20, 17));
    fleet.run(seconds{6});
    require_list(fleet, list_text(20, 17));
}

BOOST_AUTO_TEST_CASE(the_base_hash_of_changes_is_encoded)
{
    wire::documents_request request;
    request.vms = true;
    request.vms_base = {1, 2};
    const auto asked = wire::decode_request(
        wire::encode(wire::peer_request{request}).value(), "peer");
    BOOST_TEST((std::get<wire::documents_request>(asked.value()).vms_base ==
                content_hash{1, 2}));
    wire::documents_reply reply;
    reply.vms_base = {3, 4};
    const auto replied = wire::decode_reply(
        wire::encode(wire::peer_reply{reply}).value(), "peer");
    BOOST_TEST((std::get<wire::documents_reply>(replied.value()).vms_base ==
                content_hash{3, 4}));
}
