#include "tests/gateway/bench.hpp"

#include <set>

namespace bulrushspring::gateway::test
{

namespace
{

constexpr std::uint32_t connection_limit = 106;

// The leafs of one service that a daemon of a large fleet connects to.
std::set<std::string> chosen_by(const std::string& name,
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
    pool.fleet.young = false;
    auto table = std::make_shared<routing::table>();
    table->services["s"] = {"s", "/health", connection_limit};
    pool.table = table;
    const auto step = [&](auto act) {
        bulrushspring::context shared_context{now, shared, last};
        gateway::context context{now, effects, shared_context};
        act(context);
    };
    for (int i = 0; i < 3; ++i) {
        auto leaf = bench::leaf("leaf-" + std::to_string(i), "s");
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

// More daemons than a leaf has connections: each daemon holds some of the
// leafs, at least two for a second chance, and no leaf's limit is passed.
BOOST_AUTO_TEST_CASE(a_large_fleet_keeps_to_the_limits_of_leafs)
{
    const std::array<std::size_t, 3> sizes = {37, 42, 30};
    std::map<std::string, std::uint32_t> connections;
    for (std::size_t centre = 0; centre < sizes.size(); ++centre) {
        for (std::size_t i = 0; i < sizes[centre]; ++i) {
            const auto data_centre = "dc-" + std::to_string(centre);
            const auto chosen = chosen_by(data_centre + "-" + std::to_string(i),
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

BOOST_AUTO_TEST_CASE(a_small_fleet_connects_to_all)
{
    BOOST_TEST(chosen_by("entry-1", "dc-0", 15, 7).size() == 3U);
}

// All daemons in one data centre must not crowd its one leaf.
BOOST_AUTO_TEST_CASE(near_leafs_are_shared_where_all_daemons_are_near)
{
    std::uint32_t on_near = 0;
    for (int i = 0; i < 200; ++i) {
        on_near += static_cast<std::uint32_t>(
            chosen_by("entry-" + std::to_string(i), "dc-0", 200, 200)
                .count("leaf-0"));
    }
    BOOST_TEST(on_near <= connection_limit);
}

} // namespace bulrushspring::gateway::test
