#include "base/random.hpp"
#include "libraries/limits/concurrency_limit.hpp"
#include "libraries/limits/latency_histogram.hpp"
#include "libraries/targets/answers.hpp"
#include "libraries/targets/targets.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <vector>

using namespace bulrushspring;

RC_BOOST_PROP(quantile_is_accurate_to_one_bucket, (std::uint64_t seed))
{
    random_source random(seed);
    limits::latency_histogram histogram;
    std::vector<duration> values;
    for (int i = 0; i < 1000; ++i) {
        const auto exponent = 1 + random_below(random, 12);
        const duration value = std::chrono::microseconds{
            300 + random_below(random, std::uint64_t{1} << (8 + exponent))};
        values.push_back(value);
        limits::add(histogram, value);
    }
    std::sort(values.begin(), values.end());
    for (const double which : {0.5, 0.9, 0.98}) {
        const auto exact = values[static_cast<std::size_t>(which * 1000) - 1];
        const auto found = limits::quantile(histogram, which);
        RC_ASSERT(found >= exact);
        RC_ASSERT(found <= exact * 13 / 10 + std::chrono::microseconds{64});
    }
}

BOOST_AUTO_TEST_CASE(histogram_discounts_old_values)
{
    limits::latency_histogram histogram;
    for (int i = 0; i < 4096; ++i) {
        limits::add(histogram, seconds{1});
    }
    for (int i = 0; i < 6 * 4096; ++i) {
        limits::add(histogram, milliseconds{1});
    }
    BOOST_TEST((limits::quantile(histogram, 0.98) < milliseconds{2}));
}

BOOST_AUTO_TEST_CASE(concurrency_limit_follows_the_leafs_answers)
{
    boot_time now{seconds{1000}};
    std::vector<effect> effects;
    std::uint64_t last = 0;
    auto state = targets::make_state("entry-0", {}, 1, now);
    targets::leaf_state leaf;
    leaf.slots = 3;
    leaf.connections.resize(8);
    const auto answer = [&](leaf_status status, std::uint32_t queued) {
        now += milliseconds{30};
        context context{now, effects, last};
        leaf.in_flight = static_cast<std::uint32_t>(leaf.limit.limit);
        leaf_answer from;
        from.status = status;
        from.queued = queued;
        targets::record_answer(state, leaf, from, milliseconds{2}, context);
    };
    for (int i = 0; i < 200; ++i) {
        answer(leaf_status::answered, 0);
    }
    BOOST_TEST(leaf.limit.limit == 8.0);
    answer(leaf_status::answered, 4);
    BOOST_TEST(leaf.limit.limit < 8.0);
    answer(leaf_status::shed, 0);
    BOOST_TEST(leaf.limit.limit < 6.0);
    for (int i = 0; i < 50; ++i) {
        answer(leaf_status::shed, 0);
    }
    BOOST_TEST(leaf.limit.limit == 1.0);
    BOOST_TEST(limits::admits(leaf.limit, 0, now));
    BOOST_TEST(!limits::admits(leaf.limit, 1, now));
}
