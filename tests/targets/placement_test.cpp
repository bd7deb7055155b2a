#include "libraries/targets/placement.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <map>
#include <set>

using namespace bulrushspring;
using namespace bulrushspring::targets;

namespace
{

struct fleet_size {
    std::uint32_t centres = 3;
    std::uint32_t vms = 18;
    std::uint32_t spare_vms = 2;
    std::uint32_t shards = 10;
    std::uint32_t replicas = 3;
    std::uint32_t connections = 65;
};

std::string centre_name(std::uint32_t i, std::uint32_t centres)
{
    return "dc-" + std::to_string(i % centres);
}

manifest::manifest make(const fleet_size& size)
{
    manifest::manifest made;
    for (std::uint32_t i = 0; i < size.centres; ++i) {
        made.entries.data_centres.push_back(
            {centre_name(i, size.centres), "region-" + std::to_string(i % 3)});
    }
    for (std::uint32_t i = 0; i < size.vms; ++i) {
        made.entries.vms.push_back(
            {"entry-" + std::to_string(i), centre_name(i, size.centres)});
    }
    made.entries.spare_vms = size.spare_vms;
    auto& pool = made.pools["index"];
    pool.name = "index";
    pool.served_snapshot = 1;
    pool.connections = size.connections;
    pool.snapshots = {{1, size.shards}};
    for (std::uint32_t i = 0; i < size.shards * size.replicas; ++i) {
        manifest::leaf leaf;
        leaf.name = "leaf-" + std::to_string(i);
        leaf.data_centre = centre_name(i / size.shards, size.centres);
        leaf.holdings = {{1, i % size.shards}};
        pool.leafs.push_back(leaf);
    }
    return made;
}

using shares = std::map<std::string, std::uint32_t>;

// The connections that each daemon may open to each leaf, computed in the same
// way as by the daemons.
std::map<std::string, shares> place_fleet(const manifest::manifest& manifest)
{
    std::map<std::string, shares> result;
    const auto& pool = manifest.pools.at("index");
    std::vector<std::vector<std::vector<std::uint32_t>>> by_shard;
    for (const auto& vm : manifest.entries.vms) {
        const auto plan = plan_pool(manifest, pool, vm.name);
        BOOST_REQUIRE(plan.has_value());
        auto& own = result[vm.name];
        if (plan->all_leafs) {
            for (const auto& leaf : pool.leafs) {
                own[leaf.name] = plan->share;
            }
            continue;
        }
        const auto slots = make_slots(manifest.entries, *plan);
        if (by_shard.empty()) {
            for (const auto& replicas :
                 replicas_by_shard(manifest.entries, pool, plan->share)) {
                by_shard.push_back(place_shard_for_all(slots, replicas));
            }
        }
        for (const auto& shard : by_shard) {
            for (const auto leaf : shard[slots.self]) {
                own[pool.leafs[leaf].name] = plan->share;
            }
        }
    }
    return result;
}

shares totals(const std::map<std::string, shares>& placed)
{
    shares sums;
    for (const auto& [vm, own] : placed) {
        for (const auto& [leaf, share] : own) {
            sums[leaf] += share;
        }
    }
    return sums;
}

// The share of the links in `after` that are not in `before`, of the daemons in
// both. A link is a daemon's connections to one leaf.
double moved(const std::map<std::string, shares>& before,
             const std::map<std::string, shares>& after)
{
    double links = 0;
    double changed = 0;
    for (const auto& [vm, own] : after) {
        const auto old = before.find(vm);
        if (old == before.end()) {
            continue;
        }
        for (const auto& [leaf, share] : own) {
            links += 1;
            changed += old->second.contains(leaf) ? 0 : 1;
        }
    }
    return changed / links;
}

// The fleet size and spare capacity expected in two years, in four data
// centres. The capacity is small: the leafs accept about two connections for
// each daemon and shard.
const fleet_size large = {4, 680, 2, 8, 21, 65};

} // namespace

RC_BOOST_PROP(placement_never_exceeds_the_connection_limit_of_a_leaf, ())
{
    fleet_size size;
    size.centres = *rc::gen::inRange(1, 5);
    size.vms = *rc::gen::inRange(1, 60);
    size.spare_vms = *rc::gen::inRange(0, 4);
    size.shards = *rc::gen::inRange(1, 8);
    size.replicas = *rc::gen::inRange(1, 6);
    size.connections = *rc::gen::inRange(1, 90);
    auto manifest = make(size);
    // A leaf that holds several shards has one connection limit for all.
    auto& first = manifest.pools.at("index").leafs.front();
    first.holdings.push_back({1, size.shards - 1});
    for (const auto& [leaf, sum] : totals(place_fleet(manifest))) {
        RC_ASSERT(sum <= size.connections);
    }
}

BOOST_AUTO_TEST_CASE(each_shard_is_held_near_and_in_another_data_centre)
{
    const auto manifest = make(large);
    std::map<std::string, const manifest::leaf*> leafs;
    for (const auto& leaf : manifest.pools.at("index").leafs) {
        leafs[leaf.name] = &leaf;
    }
    std::size_t near = 0;
    std::size_t apart = 0;
    const auto placed = place_fleet(manifest);
    for (const auto& vm : manifest.entries.vms) {
        std::map<manifest::shard_id, std::set<std::string>> centres;
        for (const auto& [name, share] : placed.at(vm.name)) {
            const auto* leaf = leafs.at(name);
            centres[leaf->holdings[0].shard].insert(leaf->data_centre);
        }
        BOOST_TEST(centres.size() == large.shards);
        for (const auto& [shard, in] : centres) {
            near += in.contains(vm.data_centre) ? 1 : 0;
            apart += in.size() == 2 ? 1 : 0;
        }
    }
    const auto pairs = large.vms * large.shards;
    BOOST_TEST(near >= pairs * 9 / 10);
    BOOST_TEST(apart >= pairs * 95 / 100);
}

BOOST_AUTO_TEST_CASE(connections_are_spread_evenly_over_leafs)
{
    // First a limit that forces an even placement, then one that does not.
    for (const std::uint32_t connections : {65, 600}) {
        auto size = large;
        size.connections = connections;
        const auto manifest = make(size);
        const auto plan = plan_pool(manifest, manifest.pools.at("index"),
                                    manifest.entries.vms[0].name);
        BOOST_REQUIRE((plan.has_value() && !plan->all_leafs));
        const auto sums = totals(place_fleet(manifest));
        const double links = 2.0 * size.vms * size.shards * plan->share;
        const double mean = links / (size.shards * size.replicas);
        BOOST_TEST(sums.size() == size.shards * size.replicas);
        for (const auto& [leaf, sum] : sums) {
            BOOST_TEST(sum <= mean * 1.17 + 2 * plan->share);
            BOOST_TEST(sum >= mean * 0.5);
        }
    }
}

BOOST_AUTO_TEST_CASE(fleet_changes_move_few_links)
{
    const auto before = place_fleet(make(large));
    auto replaced = make(large);
    replaced.entries.vms[5].name = "replacement";
    BOOST_TEST(moved(before, place_fleet(replaced)) < 0.01);
    auto grown = make(large);
    grown.entries.vms.push_back({"another", "dc-4"});
    BOOST_TEST(moved(before, place_fleet(grown)) < 0.03);
    auto shrunk = make(large);
    shrunk.entries.vms.erase(shrunk.entries.vms.begin() + 20);
    BOOST_TEST(moved(before, place_fleet(shrunk)) < 0.03);
    auto leaf_lost = make(large);
    leaf_lost.pools.at("index").leafs[40].leaving = true;
    BOOST_TEST(moved(before, place_fleet(leaf_lost)) < 0.01);
}

BOOST_AUTO_TEST_CASE(daemon_outside_the_fleet_needs_a_spare_slot)
{
    auto manifest = make({});
    const auto& pool = manifest.pools.at("index");
    BOOST_TEST(plan_pool(manifest, pool, "unknown").has_value());
    manifest.entries.spare_vms = 0;
    BOOST_TEST(!plan_pool(manifest, pool, "unknown").has_value());
    const auto crowded = make(large);
    BOOST_TEST(
        !plan_pool(crowded, crowded.pools.at("index"), "unknown").has_value());
}
