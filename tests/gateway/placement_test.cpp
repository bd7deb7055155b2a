#include "tests/gateway/gateway_fixture.hpp"

#include <set>

namespace bulrushspring::gateway::test
{

namespace
{

constexpr std::uint32_t connection_limit = 106;

// The leafs that a daemon of a fleet connects to, of a service with one leaf
// in each of three data centres.
std::set<std::string> connected_leafs(const std::string& name,
                                      const std::string& data_centre,
                                      std::size_t fleet, std::size_t near)
{
    std::vector<effect> effects;
    std::vector<bulrushspring::effect> shared;
    std::uint64_t last = 0;
    boot_time now{seconds{100}};
    leaf_pool pool;
    pool.name = name;
    pool.data_centre = data_centre;
    pool.fleet.size = fleet;
    pool.fleet.near = near;
    pool.fleet.large = fleet;
    pool.fleet.known = true;
    pool.fleet.recently_started = false;
    auto table = std::make_shared<routing::table>();
    table->services["s"] = {"s", "/health", connection_limit};
    pool.table = table;
    const auto step = [&](auto act) {
        bulrushspring::context shared_context{now, shared, last};
        gateway::context context{now, effects, shared_context};
        act(context);
    };
    for (int i = 0; i < 3; ++i) {
        auto leaf = gateway_fixture::leaf("leaf-" + std::to_string(i), "s");
        leaf.data_centre = "dc-" + std::to_string(i);
        step([&](auto& context) {
            apply(pool, topology::leaf_changed{leaf}, context);
        });
    }
    now += seconds{2};
    step([&](auto& context) { maintain(pool, context); });
    std::set<std::string> chosen;
    for (const auto& [id, connection] : pool.connections) {
        chosen.insert(connection.leaf);
    }
    return chosen;
}

} // namespace

// With more daemons than a leaf has connections, each daemon connects to some
// of the leafs only: two, so that it can hedge. No leaf's connection limit may
// be exceeded.
BOOST_AUTO_TEST_CASE(a_large_fleet_stays_within_the_connection_limits)
{
    const std::array<std::size_t, 3> sizes = {37, 42, 30};
    std::map<std::string, std::uint32_t> connections;
    for (std::size_t centre = 0; centre < sizes.size(); ++centre) {
        for (std::size_t i = 0; i < sizes[centre]; ++i) {
            const auto data_centre = "dc-" + std::to_string(centre);
            const auto chosen =
                connected_leafs(data_centre + "-" + std::to_string(i),
                                data_centre, 109, sizes[centre]);
            BOOST_TEST(chosen.size() == 2U);
            BOOST_TEST(chosen.count("leaf-" + std::to_string(centre)) == 1U);
            for (const auto& leaf : chosen) {
                ++connections[leaf];
            }
        }
    }
    for (const auto& [leaf, count] : connections) {
        BOOST_TEST(count <= connection_limit, leaf << " has " << count);
    }
}

BOOST_AUTO_TEST_CASE(a_small_fleet_connects_to_all_leafs)
{
    BOOST_TEST(connected_leafs("entry-1", "dc-0", 15, 7).size() == 3U);
}

// If all daemons are in one data centre, preferring its only leaf would exceed
// the leaf's connection limit.
BOOST_AUTO_TEST_CASE(
    daemons_of_one_data_centre_stay_within_the_limit_of_its_leaf)
{
    std::uint32_t on_near = 0;
    for (int i = 0; i < 200; ++i) {
        on_near += static_cast<std::uint32_t>(
            connected_leafs("entry-" + std::to_string(i), "dc-0", 200, 200)
                .count("leaf-0"));
    }
    BOOST_TEST(on_near <= connection_limit);
}

} // namespace bulrushspring::gateway::test
