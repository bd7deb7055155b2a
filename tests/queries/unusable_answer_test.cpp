#include "tests/queries/simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::tests;

// A leaf that sends bytes that are no answer is one that fails: it is used less
// than the others, and like them once it answers properly.
BOOST_AUTO_TEST_CASE(a_leaf_with_unusable_answers_is_found_again)
{
    simulation simulated{make_shared_manifest(make_manifest({}))};
    const auto name = leaf_name(0, 0);
    bool unusable = true;
    std::size_t failures = 0;
    simulated.intercept_answer = [&](const send_to_leaf& to, leaf_answer&) {
        if (unusable && simulated.attempts.back().leaf == name) {
            simulated.deliver_at(
                simulated.now,
                leaf_failed{to.connection, to.attempt, true,
                            error{errc::malformed, "", name, ""}});
            ++failures;
            return false;
        }
        return true;
    };
    const auto share_of_leaf = [&](std::uint64_t first) {
        const auto before = simulated.attempts_to(name);
        constexpr std::uint64_t queries = 300;
        for (std::uint64_t i = 0; i < queries; ++i) {
            simulated.begin_query(first + i);
            simulated.run_for(milliseconds{50});
        }
        return static_cast<double>(simulated.attempts_to(name) - before) /
               static_cast<double>(queries);
    };
    BOOST_TEST(share_of_leaf(1000) < 0.1);
    BOOST_TEST(failures > 0U);
    BOOST_TEST(simulated.counters[metrics::counter::leaf_answers_unusable] ==
               failures);
    BOOST_TEST(simulated.count_logged("answer_unusable") == failures);
    unusable = false;
    // The first trial requests are some seconds apart, as to any leaf that has
    // failed.
    for (const std::uint64_t first : {2000, 3000, 4000, 5000}) {
        share_of_leaf(first);
    }
    BOOST_TEST(share_of_leaf(6000) > 0.2);
}
