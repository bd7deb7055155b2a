#include "libraries/configuration/readers.hpp"
#include "tests/http/loop.hpp"
#include "tests/soak/site_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;

namespace
{

// bounds.configApplyMs of the users' small deployments.
constexpr milliseconds apply_time{3000};
constexpr std::size_t readers_of_data_centre = 3;

// The daemons that read the store while all run.
std::vector<site::daemon*> readers_of(site::installation& site)
{
    std::vector<wire::member_record> members;
    for (const auto& each : site.daemons) {
        members.emplace_back();
        members.back().name = each.name;
        members.back().data_centre = each.data_centre;
    }
    std::vector<site::daemon*> readers;
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (configuration::select_readers({members, members[i]},
                                          readers_of_data_centre)
                .reading) {
            readers.push_back(&site.daemons[i]);
        }
    }
    return readers;
}

// The status of the daemon's answer to a GET request.
std::string status_of(event_base* base, site::installation& site,
                      const site::daemon& node, const std::string& target)
{
    http_test::raw_socket caller(
        http_test::connect_to(site.callers_address(node)));
    caller.send("GET " + target +
                " HTTP/1.1\r\nHost: site.example\r\nDeadline-Ms: "
                "2000\r\nAttempt-Id: r\r\n\r\n");
    http_test::run_until(base, [&] {
        caller.receive();
        return !caller.received.empty() || caller.ended;
    });
    return caller.received.substr(0, caller.received.find("\r\n"));
}

} // namespace

// CONFIG: review/9. The other daemons read the store only once membership had
// declared the readers dead, which takes longer than a change may take.
BOOST_AUTO_TEST_CASE(a_change_is_followed_though_all_readers_are_lost_at_once)
{
    auto options = test::make_site_options("readers");
    options.daemons = 5;
    options.data_centres = 1;
    options.shards = 1;
    const auto base = client::make_event_base();
    site::installation site(base.get(), options);
    for (auto& each : site.daemons) {
        site.start(each);
    }
    const auto run_for = [&](duration span) {
        test::run_loop(base.get(), span, [&] { site.reap(); });
    };
    run_for(seconds{8});
    const auto readers = readers_of(site);
    BOOST_REQUIRE(!readers.empty());
    BOOST_REQUIRE(readers.size() < site.daemons.size());
    for (const auto* each : readers) {
        site.signal(*each, SIGKILL);
    }
    run_for(milliseconds{100});
    site.publish_table();
    run_for(apply_time);
    const auto added = "/n" + std::to_string(site.version()) + "/x";
    for (const auto& each : site.daemons) {
        if (std::find(readers.begin(), readers.end(), &each) == readers.end()) {
            BOOST_TEST(status_of(base.get(), site, each, added) ==
                       "HTTP/1.1 200 OK");
        }
    }
}
