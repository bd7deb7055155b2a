#include "tests/membership/fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace bulrushspring;
using namespace bulrushspring::testing;

BOOST_AUTO_TEST_CASE(a_fleet_converges_from_its_seeds)
{
    auto simulation = start_fleet({15, 3, 1}, 1, {});
    const auto elapsed = run_until_views_agree(*simulation, seconds{30});
    BOOST_TEST_MESSAGE("joined in " << to_milliseconds(elapsed) << " ms");
    BOOST_TEST(views_agree(*simulation));
    BOOST_TEST(to_milliseconds(elapsed) < 5000);
}

BOOST_AUTO_TEST_CASE(a_killed_daemon_is_declared_dead_within_10_s)
{
    auto simulation = start_fleet({15, 3, 1}, 2, {});
    run_until_views_agree(*simulation, seconds{30});
    simulation->network.run_for(seconds{5});
    simulation->network.nodes[7].up = false;
    const auto elapsed = run_until_views_agree(*simulation, seconds{30});
    BOOST_TEST_MESSAGE("detected in " << to_milliseconds(elapsed) << " ms");
    BOOST_TEST(views_agree(*simulation));
    BOOST_TEST(to_milliseconds(elapsed) < 10000);
}
