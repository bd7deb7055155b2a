#include "tests/admission/model.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::admission_test;

namespace
{

constexpr std::size_t servers = 8;
constexpr milliseconds find_time{20};
constexpr milliseconds export_time{100};

std::map<std::string, request_counts> run(std::vector<request_stream> streams)
{
    bench bench;
    bench.start();
    return model(bench, servers).run(std::move(streams), seconds{60});
}

// Capacity of the servers in quick-find requests/s.
constexpr double find_capacity = servers * 1000.0 / find_time.count();

} // namespace

BOOST_AUTO_TEST_SUITE(overload)

BOOST_AUTO_TEST_CASE(goodput_holds_at_one_and_a_half_times_the_capacity)
{
    const auto at = [](double load) {
        return run({{"quick-find", "family", load * find_capacity, find_time}})
            .at("family")
            .good;
    };
    const auto full = at(1.0);
    const auto over = at(1.5);
    BOOST_TEST_MESSAGE("good answers at 1.0x " << full << ", at 1.5x " << over);
    BOOST_TEST(over >= full * 9 / 10);
}

BOOST_AUTO_TEST_CASE(overload_of_one_service_does_not_delay_another_much)
{
    const request_stream find{"quick-find", "family", 50, find_time};
    const request_stream flood{"export", "bulk", 500, export_time};
    const auto calm = run({find}).at("family");
    const auto both = run({find, flood});
    const auto& busy = both.at("family");
    BOOST_TEST_MESSAGE("quick-find waits p99 "
                       << p99_milliseconds(calm.waits) << " ms, with the flood "
                       << p99_milliseconds(busy.waits) << " ms; good "
                       << calm.good << " of " << calm.offered << " and "
                       << busy.good << " of " << busy.offered
                       << "; exports good " << both.at("bulk").good << " of "
                       << both.at("bulk").offered);
    // Running requests are not preempted, so that a queued request may wait for
    // as long as one export takes.
    BOOST_TEST(p99_milliseconds(busy.waits) <= export_time.count());
    BOOST_TEST(busy.good >= busy.offered * 98 / 100);
}

BOOST_AUTO_TEST_CASE(one_caller_with_many_requests_does_not_delay_another)
{
    const auto both =
        run({{"quick-find", "family", 20, find_time},
             {"quick-find", "script", 4 * find_capacity, find_time}});
    const auto& family = both.at("family");
    BOOST_TEST_MESSAGE("family: good " << family.good << " of "
                                       << family.offered << ", wait p99 "
                                       << p99_milliseconds(family.waits));
    BOOST_TEST(family.good >= family.offered * 98 / 100);
}

BOOST_AUTO_TEST_SUITE_END()
