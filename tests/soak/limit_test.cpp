#include "fakes/site/callers.hpp"
#include "tests/soak/site_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;

namespace
{

constexpr std::size_t daemon_count = 6;

// Real daemons under load, and leafs that state a limit.
struct limited_site {
    shell::base_handle base = client::make_event_base();
    site::installation site;
    site::callers load;

    explicit limited_site(const site::site_options& options)
        : site(base.get(), options), load(base.get(), site, 16, 5)
    {
        for (auto& each : site.daemons) {
            site.start(each);
        }
        run_for(seconds{3});
    }

    void run_for(duration span)
    {
        test::run_loop(base.get(), span, [] {});
    }

    // Limits `count` leafs of the service.
    void limit(std::string_view service, std::size_t count, double per_second)
    {
        for (auto& each : site.leafs) {
            if (count > 0 && each.server->options().service == service) {
                each.server->faults.rate_limit = per_second;
                --count;
            }
        }
    }

    void check_limits()
    {
        for (const auto& each : site.leafs) {
            BOOST_TEST(each.server->arrivals_over_limit() == 0U,
                       each.server->options().id
                           << " got " << each.server->arrivals_over_limit()
                           << " requests more than it may");
        }
        for (const auto& each : load.violations()) {
            BOOST_ERROR(each);
        }
        BOOST_TEST(load.tally().succeeded > 0U);
    }
};

site::site_options make_options()
{
    auto options = test::make_site_options("limit");
    options.daemons = daemon_count;
    return options;
}

} // namespace

// LIMIT: each daemon sent a leaf as much as if it were the only one, although
// the leaf had stated what it takes from all of them.
BOOST_AUTO_TEST_CASE(daemons_together_keep_to_the_limit_that_a_leaf_states)
{
    limited_site running(make_options());
    running.limit("shard-0", 2, 10);
    running.limit("single", 3, 6); // all of its leafs
    running.run_for(seconds{12});
    running.check_limits();
}

// A limit far below one request of each daemon.
BOOST_AUTO_TEST_CASE(daemons_together_keep_to_a_limit_below_their_number)
{
    limited_site running(make_options());
    running.limit("shard-0", 3, 0.5);
    running.run_for(seconds{12});
    running.check_limits();
}
