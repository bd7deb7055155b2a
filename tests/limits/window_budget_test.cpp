#include "base/random.hpp"
#include "libraries/limits/window_budget.hpp"

#include <boost/test/unit_test.hpp>
#include <deque>

using namespace bulrushspring;

// In any span of the window's length, the extra attempts must stay within the
// limit that the first attempts of the same span allow.
BOOST_AUTO_TEST_CASE(extra_attempts_stay_within_the_limit_in_any_window)
{
    constexpr limits::window_limits limit{seconds{10}, 0.2, 5.0};
    random_source random(20261204);
    limits::window_budget budget;
    boot_time now{seconds{1000}};
    std::deque<boot_time> first_attempts;
    std::deque<boot_time> extra_attempts;
    for (int i = 0; i < 20000; ++i) {
        // Bursts and pauses, some longer than the window.
        const bool pause = random_below(random, 500) == 0;
        now += pause ? duration{seconds{12}}
                     : duration{milliseconds{random_below(random, 10)}};
        limits::count_first_attempt(budget, limit, now);
        first_attempts.push_back(now);
        while (random_below(random, 2) == 0 &&
               limits::spend(budget, limit, now)) {
            extra_attempts.push_back(now);
        }
        while (!extra_attempts.empty() &&
               extra_attempts.front() <= now - limit.window) {
            extra_attempts.pop_front();
        }
        // First attempts are counted for one slot longer than the window.
        while (first_attempts.front() <=
               now - limit.window - milliseconds{500}) {
            first_attempts.pop_front();
        }
        BOOST_REQUIRE_LE(static_cast<double>(extra_attempts.size()),
                         limit.ratio *
                                 static_cast<double>(first_attempts.size()) +
                             limit.slack);
    }
}

BOOST_AUTO_TEST_CASE(unused_budget_expires_with_the_window)
{
    constexpr limits::window_limits limit{seconds{10}, 0.2, 0.0};
    limits::window_budget budget;
    boot_time now{seconds{1000}};
    for (int i = 0; i < 100; ++i) {
        limits::count_first_attempt(budget, limit, now);
    }
    BOOST_TEST(limits::remaining(budget, limit, now) == 20.0);
    now += seconds{20};
    BOOST_TEST(!limits::spend(budget, limit, now));
}
