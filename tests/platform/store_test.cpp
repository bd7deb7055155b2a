#include "fakes/site/store.hpp"
#include "platform/store_client.hpp"
#include "tests/http/loop.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;

// A store that swallowed a waiting call is found out a second after the wait.
BOOST_AUTO_TEST_CASE(a_swallowed_call_ends_soon_after_its_wait)
{
    const http_test::raw_listener store; // never answers
    const auto base = client::make_event_base();
    std::optional<topology::store_failed> failed;
    const auto call = platform::make_store(store.address())(
        base.get(), [&](gateway::any_event what) {
            failed = std::get<topology::store_failed>(what);
        });
    const machine_clock clock;
    const auto began = clock.now();
    call(topology::watch_changes{1, milliseconds{200}});
    BOOST_REQUIRE(http_test::turn_until(base.get(), [&] { return !!failed; }));
    BOOST_TEST(!failed->history_gone);
    BOOST_TEST((clock.now() - began >= milliseconds{200}));
    BOOST_TEST((clock.now() - began < milliseconds{2000}));
}

namespace
{

// One listing of a stand-in store.
topology::records_learned list(event_base* base, const endpoint& address,
                               bool may_be_stale)
{
    std::optional<topology::records_learned> learned;
    const auto call =
        platform::make_store(address)(base, [&](gateway::any_event what) {
            learned = std::get<topology::records_learned>(what);
        });
    call(topology::read_all{may_be_stale});
    BOOST_REQUIRE(http_test::turn_until(base, [&] { return !!learned; }));
    return *learned;
}

const std::string no_table = R"({"version":1,"routes":[],"services":[]})";

} // namespace

// What a stale listing lacks must come by watching from its revision.
BOOST_AUTO_TEST_CASE(a_stale_listing_names_the_revision_of_its_oldest_part)
{
    const auto base = client::make_event_base();
    const auto address = http_test::raw_listener().address();
    site::store store(base.get(), address);
    store.put("op/config", no_table);
    store.put("servers/a", "{}");
    store.put("servers/b", "{}");
    const auto stale = list(base.get(), address, true);
    BOOST_TEST(stale.records.size() == 2U);
    const auto whole = list(base.get(), address, false);
    BOOST_TEST(whole.records.size() == 3U);
    BOOST_TEST(stale.revision + 1 == whole.revision);
}

// Routes that a stale answer lacks come by watching from its revision.
BOOST_AUTO_TEST_CASE(routes_that_a_stale_answer_lacks_are_watched_for)
{
    const auto base = client::make_event_base();
    const auto address = http_test::raw_listener().address();
    site::store store(base.get(), address);
    store.put("servers/a", "{}");
    store.put("op/config", no_table);
    std::optional<topology::records_learned> learned;
    const auto call =
        platform::make_store(address)(base.get(), [&](gateway::any_event what) {
            learned = std::get<topology::records_learned>(what);
        });
    call(topology::read_all{true});
    BOOST_REQUIRE(http_test::turn_until(base.get(), [&] { return !!learned; }));
    BOOST_TEST(learned->records.size() == 1U);
    const auto from = learned->revision;
    learned.reset();
    call(topology::watch_changes{from, seconds{1}});
    BOOST_REQUIRE(http_test::turn_until(base.get(), [&] { return !!learned; }));
    BOOST_REQUIRE_EQUAL(learned->records.size(), 1U);
    BOOST_TEST(learned->records[0].published.key == "op/config");
}
