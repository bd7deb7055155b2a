#include "fakes/experiment/report.hpp"
#include "fakes/http/server.hpp"

#include <boost/test/unit_test.hpp>
#include <filesystem>

namespace bulrushspring::experiment::test
{

namespace
{

pattern example(const std::string& name)
{
    const auto path = std::filesystem::path(BULRUSHSPRING_SOURCE_FOLDER
                                            "/examples/patterns") /
                      (name + ".ini");
    return parse_pattern(fakes::read_file(path.string()).value()).value();
}

} // namespace

BOOST_AUTO_TEST_CASE(all_example_patterns_are_valid)
{
    for (const auto& each : std::filesystem::directory_iterator(
             BULRUSHSPRING_SOURCE_FOLDER "/examples/patterns")) {
        BOOST_TEST(
            !parse_pattern(fakes::read_file(each.path().string()).value())
                 .has_error(),
            each.path().string());
    }
}

BOOST_AUTO_TEST_CASE(all_errors_of_a_pattern_are_reported)
{
    const auto parsed = parse_pattern(
        "[fleet]\ndaemons = 31\n[route]\nobjective = 5\n[fault x]\nkind = odd\n"
        "[fault y]\nkind = down\nfirst_shard = 9\n[other]\nkey = 1\n");
    BOOST_REQUIRE(parsed.has_error());
    std::string all;
    for (const auto& each : parsed.error()) {
        all += to_string(each) + '\n';
    }
    for (const char* expected :
         {"daemons: out of range", "objective: ", "kind", "other", "load",
          "shards and leafs of [fleet]"}) {
        BOOST_TEST(all.find(expected) != std::string::npos,
                   expected << " is missing from " << all);
    }
}

BOOST_AUTO_TEST_CASE(a_seed_determines_the_result)
{
    const auto plan = example("shard-down");
    const auto first = play(plan, 7);
    BOOST_TEST(first.latencies == play(plan, 7).latencies);
    BOOST_TEST(first.latencies != play(plan, 8).latencies);
}

// Goodput is to be at least 0.95 of the capacity, which is that of all queries
// in these patterns, and extra attempts stay within the budget.
BOOST_AUTO_TEST_CASE(queries_are_served_in_time_without_a_shard)
{
    for (const char* name : {"shard-down", "stragglers"}) {
        const auto plan = example(name);
        const auto sum = play(plan, 1);
        BOOST_TEST(static_cast<double>(sum.in_time) >=
                   0.95 * static_cast<double>(sum.asked));
        BOOST_TEST(static_cast<double>(sum.leaf_requests) <=
                   (1.0 + plan.extra_share) * static_cast<double>(sum.parts));
    }
}

// LIMIT: each daemon sent a leaf as much as if it were the only one, although
// the leaf had stated what it takes from all of them.
BOOST_AUTO_TEST_CASE(daemons_together_keep_to_the_limits_that_leafs_state)
{
    for (const char* name : {"limited-leafs", "limited-shard"}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const auto sum = play(example(name), seed);
            BOOST_TEST(sum.over_limit == 0U,
                       name << ", seed " << seed << ": " << sum.over_limit
                            << " requests more than allowed");
            BOOST_TEST(static_cast<double>(sum.in_time) >=
                       0.95 * static_cast<double>(sum.asked));
        }
    }
}

// RECOVER: callers kept coming to daemons that had lost their paths to all
// leafs, while other daemons could have served them.
BOOST_AUTO_TEST_CASE(callers_leave_daemons_that_reach_no_leaf)
{
    for (const char* name :
         {"partitioned-daemons-silent", "partitioned-daemons-reset",
          "partitioned-daemons-refuse-new"}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const auto sum = play(example(name), seed);
            const auto asked = sum.asked_in_partition + sum.asked_at_others;
            const auto failed =
                sum.asked_in_partition - sum.served_in_partition;
            BOOST_TEST(failed <= 10U + asked / 50,
                       name << ", seed " << seed << ": " << failed << " of "
                            << sum.asked_in_partition
                            << " failed at partitioned daemons, " << asked
                            << " in all");
            BOOST_TEST(static_cast<double>(sum.served_at_others) >=
                       0.9 * static_cast<double>(sum.asked_at_others));
        }
    }
}

// If the leafs are down for all, no daemon may be left with all callers.
BOOST_AUTO_TEST_CASE(no_daemon_leaves_if_all_are_partitioned)
{
    auto plan = example("partitioned-daemons-silent");
    plan.partitions.front().daemons = plan.daemons;
    plan.partitions.front().span = seconds{6};
    const auto sum = play(plan, 1);
    const auto last =
        plan.partitions.front().from + plan.partitions.front().span;
    BOOST_TEST(last < plan.span + plan.warm_up);
    BOOST_TEST(sum.in_time * 2 > sum.asked);
}

BOOST_AUTO_TEST_CASE(a_saved_report_can_be_compared)
{
    const std::vector<run_result> runs = {play(example("shard-down"), 1),
                                          play(example("shard-down"), 2)};
    const std::vector<summary> made = {summarize("shard-down", runs)};
    const auto saved = parse_summaries(as_json(made).dump()).value();
    BOOST_TEST(as_csv(saved) == as_csv(made));
    BOOST_TEST(compare(made, saved).find('*') == std::string::npos);
    BOOST_TEST(parse_summaries("[{}]").has_error());
    BOOST_TEST(parse_summaries("nothing").has_error());
}

} // namespace bulrushspring::experiment::test
