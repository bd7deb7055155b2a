#include "libraries/gateway/serving_set.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

namespace bulrushspring::gateway::test
{

namespace
{

// A fleet with some large VMs of half a core, the others of 0.12 cores.
struct mixed_fleet {
    std::vector<wire::member_record> members;
    serving_set serving;
    boot_time now{seconds{100}};

    mixed_fleet(std::size_t large, std::size_t small)
    {
        for (std::size_t i = 0; i < large + small; ++i) {
            wire::member_record record;
            record.name = "entry-" + std::to_string(i);
            record.capacity = i < large ? 500 : 120;
            members.push_back(record);
        }
        review_after(seconds{0});
    }

    void review_after(duration span)
    {
        now += span;
        review(serving, {}, members, now);
    }

    std::size_t count(std::uint32_t capacity) const
    {
        return static_cast<std::size_t>(std::count_if(
            serving.members.begin(), serving.members.end(),
            [&](const auto& each) { return each.capacity == capacity; }));
    }
    std::size_t large() const { return count(500); }
    std::size_t small() const { return count(120); }

    void set_overloaded(bool overloaded)
    {
        for (auto& each : members) {
            each.overloaded = overloaded && serves(serving, each.name);
        }
    }
};

} // namespace

// A gather of 90 shards takes a VM of 0.12 cores about 65 ms of an objective of
// 60 ms, so the small VMs must not serve while the large ones keep up, however
// many small ones there are.
BOOST_AUTO_TEST_CASE(large_daemons_serve_alone_among_hundreds_of_small_ones)
{
    mixed_fleet fleet(15, 280);
    BOOST_TEST(fleet.large() == 15U);
    BOOST_TEST(fleet.small() == 0U);
}

BOOST_AUTO_TEST_CASE(too_few_large_daemons_are_joined_by_some_small_ones)
{
    mixed_fleet fleet(3, 297);
    BOOST_TEST(fleet.large() == 3U);
    BOOST_TEST(fleet.small() > 20U);
    BOOST_TEST(fleet.small() < 150U);
    BOOST_TEST(mixed_fleet(1, 5).serving.members.size() >= 3U);
    BOOST_TEST(mixed_fleet(1, 1).serving.members.size() == 2U);
}

BOOST_AUTO_TEST_CASE(daemons_of_equal_capacity_all_serve)
{
    BOOST_TEST(mixed_fleet(0, 300).small() == 300U);
    BOOST_TEST(mixed_fleet(15, 0).large() == 15U);
}

// All small daemons joining at once would leave each of them without a hedge
// budget and with most of its connections still to open.
BOOST_AUTO_TEST_CASE(overloaded_large_daemons_are_joined_step_by_step)
{
    mixed_fleet fleet(40, 1000);
    std::size_t last = 0;
    int steps = 0;
    while (fleet.small() < 1000U && steps < 20) {
        fleet.set_overloaded(true);
        fleet.review_after(seconds{3});
        BOOST_TEST(fleet.small() > last);
        last = fleet.small();
        ++steps;
    }
    BOOST_TEST(steps >= 2);
    BOOST_TEST(steps < 20);
}

BOOST_AUTO_TEST_CASE(one_report_of_overload_grows_the_set_once)
{
    mixed_fleet fleet(40, 1000);
    fleet.set_overloaded(true);
    fleet.review_after(milliseconds{500});
    const auto grown = fleet.small();
    fleet.review_after(milliseconds{500});
    BOOST_TEST(fleet.small() <= grown);
}

// Callers return gradually, so that the load does not move back and forth.
BOOST_AUTO_TEST_CASE(small_daemons_leave_gradually_after_an_overload)
{
    mixed_fleet fleet(40, 1000);
    fleet.set_overloaded(true);
    fleet.review_after(seconds{3});
    const auto grown = fleet.small();
    BOOST_REQUIRE(grown > 0U);
    fleet.set_overloaded(false);
    fleet.review_after(seconds{5});
    BOOST_TEST(fleet.small() > grown / 2);
    for (int i = 0; i < 60; ++i) {
        fleet.review_after(seconds{5});
    }
    BOOST_TEST(fleet.small() == 0U);
}

// The last large daemon must not get the whole load when the others are killed
// together; when all are dead, the rest serve as equals.
BOOST_AUTO_TEST_CASE(small_daemons_replace_large_ones_that_are_lost)
{
    mixed_fleet fleet(15, 280);
    std::size_t last = 0;
    for (std::size_t lost = 1; lost < 15; ++lost) {
        fleet.members.erase(fleet.members.begin());
        fleet.review_after(milliseconds{500});
        BOOST_TEST(fleet.large() == 15 - lost);
        BOOST_TEST(fleet.small() >= last);
        last = fleet.small();
    }
    BOOST_TEST(last > 0U);
    fleet.members.erase(fleet.members.begin());
    fleet.review_after(milliseconds{500});
    BOOST_TEST(fleet.small() == 280U);
}

BOOST_AUTO_TEST_CASE(all_daemons_select_the_same_ones)
{
    mixed_fleet one(3, 297);
    mixed_fleet other(3, 297);
    std::reverse(other.members.begin(), other.members.end());
    other.review_after(milliseconds{0});
    const auto names = [](const serving_set& of) {
        std::set<std::string> found;
        for (const auto& each : of.members) {
            found.insert(each.name);
        }
        return found;
    };
    BOOST_TEST((names(one.serving) == names(other.serving)));
}

} // namespace bulrushspring::gateway::test
