#include "tests/membership/fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <map>

using namespace bulrushspring;
using namespace bulrushspring::testing;

namespace
{

std::unique_ptr<simulated_fleet> joined_fleet(const layout& shape)
{
    auto simulation = start_fleet(shape, 11, {});
    run_until_views_agree(*simulation, seconds{60});
    return simulation;
}

manifest::manifest_pointer make_manifest(const layout& shape)
{
    auto result = std::make_shared<manifest::manifest>();
    result->version = 1;
    std::map<std::string, std::string> regions;
    for (std::size_t i = 0; i < shape.members; ++i) {
        const auto record = make_record(shape, i, 1);
        result->entries.vms.push_back({record.name, record.data_centre,
                                       record.caller, record.peer,
                                       record.operators});
        regions[record.data_centre] = record.region;
    }
    for (const auto& [name, region] : regions) {
        result->entries.data_centres.push_back({name, region});
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(entries_are_chosen_evenly)
{
    auto simulation = joined_fleet({15, 3, 1});
    constexpr int calls = 3000;
    std::map<std::string, int> chosen;
    std::map<std::string, int> first;
    for (int i = 0; i < calls; ++i) {
        const auto entries =
            membership::choose_entries(*simulation->states[0], "dc-1", 3);
        BOOST_REQUIRE(entries.size() == 3U);
        ++first[entries[0].name];
        for (const auto& entry : entries) {
            BOOST_TEST(entry.data_centre == "dc-1");
            ++chosen[entry.name];
        }
    }
    BOOST_TEST(chosen.size() == 5U);
    for (const auto& [name, count] : chosen) {
        BOOST_TEST(std::abs(count - calls * 3 / 5) <= 3, name);
        BOOST_TEST(std::abs(first[name] - calls / 5) < calls / 25, name);
    }
}

BOOST_AUTO_TEST_CASE(own_data_centre_comes_first_then_own_region)
{
    auto simulation = joined_fleet({24, 6, 2});
    const auto entries =
        membership::choose_entries(*simulation->states[1], "dc-2", 24);
    BOOST_REQUIRE(entries.size() == 24U);
    const auto rank = [](const entry_address& entry) {
        const int data_centre = entry.data_centre.back() - '0';
        return data_centre == 2 ? 0 : 1 + data_centre % 2;
    };
    BOOST_TEST(std::is_sorted(
        entries.begin(), entries.end(),
        [&](const auto& a, const auto& b) { return rank(a) < rank(b); }));
    std::set<std::string> names;
    for (const auto& entry : entries) {
        names.insert(entry.name);
    }
    BOOST_TEST(names.size() == 24U);
}

BOOST_AUTO_TEST_CASE(callers_of_an_unknown_data_centre_get_entries)
{
    auto simulation = joined_fleet({9, 3, 1});
    BOOST_TEST(
        membership::choose_entries(*simulation->states[0], "", 4).size() == 4U);
}

BOOST_AUTO_TEST_CASE(entries_listed_as_leaving_are_not_chosen)
{
    auto simulation = joined_fleet({9, 3, 1});
    auto& state = *simulation->states[0];
    const vms_changed listed{{entry_name(0)}, {entry_name(4), entry_name(12)}};
    simulation->network.handle(0, listed);
    // An entry that joins after the list was read is left out too.
    wire::gossip message;
    message.from = make_record({15, 3, 1}, 12, 1);
    simulation->network.handle(0,
                               datagram_received{message.from.peer, message});
    for (const auto& entry : membership::choose_entries(state, "dc-1", 20)) {
        BOOST_TEST(entry.name != entry_name(4));
        BOOST_TEST(entry.name != entry_name(12));
    }
    simulation->network.handle(0, vms_changed{{entry_name(4)}, {}});
    BOOST_TEST(membership::choose_entries(state, "dc-1", 20).size() == 10U);
}

BOOST_AUTO_TEST_CASE(a_fleet_without_seeds_converges_from_the_manifest)
{
    const layout shape{12, 3, 1};
    auto simulation = make_fleet(shape, 12, {});
    simulation->seeds = 0;
    for (std::size_t i = 0; i < shape.members; ++i) {
        start(*simulation, i, 1);
        simulation->network.handle(i, manifest_changed{make_manifest(shape)});
    }
    run_until_views_agree(*simulation, seconds{60});
    BOOST_TEST(views_agree(*simulation));
}

RC_BOOST_PROP(a_rotation_takes_each_member_once_before_any_again, ())
{
    random_source random(*rc::gen::arbitrary<std::uint64_t>());
    membership::member_rotation rotation;
    std::set<membership::member_index> contained;
    std::set<membership::member_index> taken;
    const auto steps = *rc::gen::inRange(1, 300);
    for (int i = 0; i < steps; ++i) {
        const auto which = *rc::gen::inRange<membership::member_index>(0, 12);
        const auto action = *rc::gen::inRange(0, 4);
        if (action == 0 && contained.insert(which).second) {
            membership::insert(rotation, which, random);
        } else if (action == 1 && contained.erase(which) == 1) {
            membership::remove(rotation, which);
            taken.erase(which);
        } else if (!contained.empty()) {
            if (taken == contained) {
                taken.clear();
            }
            const auto next = membership::take_next(rotation, random);
            RC_ASSERT(next.has_value());
            RC_ASSERT(contained.count(*next) == 1U);
            RC_ASSERT(taken.insert(*next).second);
        }
    }
}
