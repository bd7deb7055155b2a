#include "libraries/poison/trials.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

namespace bulrushspring::poison::test
{

namespace
{

constexpr fingerprint suspect{1};
constexpr boot_time start{seconds{1000}};

boot_time at(int ms)
{
    return start + milliseconds{ms};
}

// A request that five daemons sent within 200 ms, and that crashed a leaf for
// each of them 400 ms later.
state crashed_together()
{
    state table;
    for (int i = 0; i < 5; ++i) {
        add_crash(
            table, suspect,
            {static_cast<std::uint64_t>(i) + 1, at(50 * i), at(50 * i + 400)},
            at(50 * i + 400));
    }
    return table;
}

std::vector<wire::member_record> members(std::size_t count)
{
    std::vector<wire::member_record> made(count);
    for (std::size_t i = 0; i < count; ++i) {
        made[i].name = "entry-" + std::to_string(i);
    }
    return made;
}

} // namespace

// BUDGET: crashes at one moment count once, so that every daemon sent such a
// request again, each time at the same moment as the others.
BOOST_AUTO_TEST_CASE(leafs_that_crash_at_one_moment_are_followed_by_one_trial)
{
    const trial_options settings;
    trials permitted;
    auto table = crashed_together();
    BOOST_TEST(!is_poison(table, suspect));
    BOOST_TEST(!requires_trial(settings, table, suspect, at(1000)));
    BOOST_TEST(requires_trial(settings, table, suspect, at(5000)));
    BOOST_TEST(permit_trial(settings, permitted, table, suspect, at(5000)));
    for (int ms = 5001; ms < 5400; ms += 50) {
        BOOST_TEST(!permit_trial(settings, permitted, table, suspect, at(ms)));
    }
    add_crash(table, suspect, {6, at(5001), at(5400)}, at(5400));
    BOOST_TEST(permit_trial(settings, permitted, table, suspect, at(5500)));
    add_crash(table, suspect, {7, at(5501), at(5900)}, at(5900));
    BOOST_TEST(is_poison(table, suspect));
    BOOST_TEST(!permit_trial(settings, permitted, table, suspect, at(6000)));
}

BOOST_AUTO_TEST_CASE(an_answered_trial_ends_the_suspicion)
{
    const trial_options settings;
    trials permitted;
    auto table = crashed_together();
    BOOST_TEST(permit_trial(settings, permitted, table, suspect, at(5000)));
    BOOST_TEST(!permit_trial(settings, permitted, table, suspect, at(5010)));
    add_answer(table, suspect, at(5020));
    BOOST_TEST(!requires_trial(settings, table, suspect, at(5030)));
    BOOST_TEST(permit_trial(settings, permitted, table, suspect, at(5030)));
}

// The daemon that tries the request may end, or find no leaf for it.
BOOST_AUTO_TEST_CASE(trials_without_an_outcome_are_repeated_ever_less_often)
{
    const trial_options settings;
    trials permitted;
    const auto table = crashed_together();
    std::vector<boot_time> times;
    for (auto now = at(5000); now < at(5000) + std::chrono::minutes{9};
         now += seconds{1}) {
        if (permit_trial(settings, permitted, table, suspect, now)) {
            times.push_back(now);
        }
    }
    BOOST_REQUIRE_EQUAL(times.size(), 7U); // after 10, 30, 70 ... 470 s
    BOOST_TEST((times[1] - times[0] == settings.shortest_interval));
    BOOST_TEST((times[2] - times[1] == 2 * settings.shortest_interval));
    BOOST_TEST((times[6] - times[5] == settings.longest_interval));
    withdraw_trial(permitted, suspect);
    BOOST_TEST(permit_trial(settings, permitted, table, suspect,
                            times.back() + seconds{1}));
    expire(permitted, state{});
    BOOST_TEST(permitted.empty());
}

BOOST_AUTO_TEST_CASE(all_daemons_choose_the_same_arbiter_for_a_request)
{
    auto live = members(9);
    std::set<std::string> arbiters;
    for (std::uint64_t of = 0; of < 100; ++of) {
        const auto chosen = arbiter_of(fingerprint{of}, live).name;
        arbiters.insert(chosen);
        for (std::size_t first = 1; first < live.size(); ++first) {
            std::swap(live[0], live[first]); // the order of another daemon
            BOOST_TEST(arbiter_of(fingerprint{of}, live).name == chosen);
        }
    }
    BOOST_TEST(arbiters.size() == live.size());
    for (auto& each : live) {
        each.status = wire::member_status::suspect;
    }
    BOOST_TEST(arbiter_of(suspect, live).name == live.front().name);
}

} // namespace bulrushspring::poison::test
