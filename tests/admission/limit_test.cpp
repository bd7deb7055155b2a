#include "libraries/admission/pool_limit.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::admission;

namespace
{

// Adds equal samples until a window is complete.
limit_change complete_window(pool_limit& value, const limit_sample& sample,
                             bool fully_used = true)
{
    const limit_options options;
    limit_decision decision;
    value.fully_used = fully_used;
    for (std::uint32_t i = 0; i < options.max_samples; ++i) {
        decision = add_sample(value, options, sample);
        if (decision.congested_share > 0 || decision.latency_ratio > 0) {
            break;
        }
    }
    return decision.change;
}

} // namespace

BOOST_AUTO_TEST_SUITE(limits_of_pools)

BOOST_AUTO_TEST_CASE(congestion_lowers_the_limit_but_not_below_one)
{
    pool_limit value;
    value.limit = 8.0;
    for (int i = 0; i < 100; ++i) {
        complete_window(value, {true, 0.0});
    }
    BOOST_TEST(value.limit == 1.0);
    BOOST_TEST(has_room(value));
}

BOOST_AUTO_TEST_CASE(the_limit_rises_only_while_it_is_in_full_use)
{
    pool_limit value;
    value.limit = 9.0;
    BOOST_TEST((complete_window(value, {false, 1.0}) == limit_change::raised));
    BOOST_TEST(value.limit == 12.0);
    BOOST_TEST(
        (complete_window(value, {false, 1.0}, false) == limit_change::none));
}

BOOST_AUTO_TEST_CASE(latency_that_decreases_do_not_reduce_becomes_the_baseline)
{
    pool_limit value;
    value.limit = 100.0;
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(
            (complete_window(value, {false, 5.0}) == limit_change::lowered));
    }
    BOOST_TEST((complete_window(value, {false, 5.0}) ==
                limit_change::baseline_raised));
    BOOST_TEST(value.limit >= 70.0);
}

BOOST_AUTO_TEST_CASE(latency_that_decreases_reduce_lowers_the_limit_further)
{
    pool_limit value;
    value.limit = 100.0;
    for (double ratio = 9.0; ratio > 2.1; ratio *= 0.9) {
        BOOST_TEST(
            (complete_window(value, {false, ratio}) == limit_change::lowered));
    }
    BOOST_TEST(value.limit < 30.0);
}

BOOST_AUTO_TEST_SUITE_END()
