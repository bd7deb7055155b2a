#include "libraries/gateway/entries.hpp"
#include "libraries/gateway/leaf_pool.hpp"
#include "libraries/gateway/load.hpp"
#include "libraries/gateway/serving_set.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

namespace bulrushspring::gateway::test
{

namespace
{

constexpr std::uint32_t small = 84;
constexpr std::uint32_t large = 500;

struct fleet {
    std::vector<wire::member_record> members;
    random_source random;

    void add(std::size_t count, std::uint32_t capacity,
             const std::string& data_centre, bool overloaded = false)
    {
        for (std::size_t i = 0; i < count; ++i) {
            wire::member_record record;
            record.name = "entry-" + std::to_string(members.size());
            record.data_centre = data_centre;
            record.capacity = capacity;
            record.overloaded = overloaded;
            record.caller.port = static_cast<std::uint16_t>(members.size());
            members.push_back(record);
        }
    }

    std::set<std::size_t> chosen(const std::string& data_centre = "dc-1")
    {
        std::set<std::size_t> numbers;
        serving_set serving;
        review(serving, {}, members, boot_time{seconds{100}});
        for (const auto& each :
             choose_entries({}, serving.members, data_centre, random)) {
            numbers.insert(each.port);
        }
        return numbers;
    }
};

bool all_below(const std::set<std::size_t>& numbers, std::size_t limit)
{
    return !numbers.empty() && *numbers.rbegin() < limit;
}

} // namespace

BOOST_AUTO_TEST_CASE(large_daemons_serve_all_callers)
{
    fleet all;
    all.add(8, large, "dc-2");
    all.add(50, small, "dc-1");
    BOOST_TEST(all.chosen().size() == 8U);
    BOOST_TEST(all_below(all.chosen(), 8));
}

BOOST_AUTO_TEST_CASE(overloaded_large_daemons_are_excluded)
{
    fleet all;
    all.add(6, large, "dc-1");
    all.add(2, large, "dc-1", true);
    all.add(50, small, "dc-1");
    BOOST_TEST(all.chosen().size() == 6U);
    BOOST_TEST(all_below(all.chosen(), 6));
}

BOOST_AUTO_TEST_CASE(small_daemons_serve_if_the_large_ones_are_overloaded)
{
    fleet all;
    all.add(50, small, "dc-1");
    all.add(8, large, "dc-1", true);
    BOOST_TEST(all.chosen().size() == 50U);
    BOOST_TEST(all_below(all.chosen(), 50));
}

BOOST_AUTO_TEST_CASE(all_daemons_serve_if_most_are_overloaded)
{
    fleet all;
    all.add(8, 0, "dc-1", true);
    all.add(7, 0, "dc-1");
    BOOST_TEST(all.chosen().size() == 15U);
}

BOOST_AUTO_TEST_CASE(callers_stay_within_their_data_centre)
{
    fleet all;
    all.add(5, 170, "dc-1");
    all.add(2, 170, "dc-2");
    all.add(5, 170, "dc-3");
    BOOST_TEST(all.chosen("dc-1").size() == 5U);
    BOOST_TEST(all.chosen("dc-2").size() == 12U);
}

BOOST_AUTO_TEST_CASE(timer_lag_indicates_overload)
{
    load_state load;
    boot_time now{seconds{100}};
    const auto run = [&](duration lag, int times) {
        int changes = 0;
        for (int i = 0; i < times; ++i) {
            now += milliseconds{50};
            changes += record_lag(load, lag, now) ? 1 : 0;
        }
        return changes;
    };
    BOOST_TEST(run(milliseconds{1}, 100) == 0);
    // A single pause of the process is no overload.
    now += seconds{5};
    record_lag(load, seconds{5}, now);
    BOOST_TEST(run(milliseconds{1}, 10) == 0);
    BOOST_TEST(run(milliseconds{30}, 100) == 1);
    BOOST_TEST(load.overloaded);
    // The overload is held for a while, so that callers do not move back and
    // forth.
    BOOST_TEST(run(milliseconds{1}, 50) == 0);
    BOOST_TEST(run(milliseconds{1}, 100) == 1);
    BOOST_TEST(!load.overloaded);
}

BOOST_AUTO_TEST_CASE(large_daemons_divide_the_greater_part_of_a_limit)
{
    fleet_summary fleet;
    fleet.size = 118;
    fleet.large = 8;
    BOOST_TEST(daemon_share(fleet, 0.8) == 0.1,
               boost::test_tools::tolerance(1e-9));
    fleet.self_is_large = false;
    BOOST_TEST(daemon_share(fleet, 0.8) == 0.2 / 110,
               boost::test_tools::tolerance(1e-9));
    fleet.large = 118;
    fleet.self_is_large = true;
    BOOST_TEST(daemon_share(fleet, 0.8) == 1.0 / 118,
               boost::test_tools::tolerance(1e-9));
}

} // namespace bulrushspring::gateway::test
