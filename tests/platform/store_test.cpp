#include "fakes/site/store.hpp"
#include "platform/store_client.hpp"
#include "tests/http/loop.hpp"

#include <absl/strings/escaping.h>
#include <boost/test/unit_test.hpp>

using namespace bulrushspring;

// Guards against a watch request that the store has accepted and never answers:
// it fails about one second after its wait.
BOOST_AUTO_TEST_CASE(an_unanswered_watch_request_fails_soon_after_its_wait)
{
    const http_test::raw_listener store; // never answers
    const auto base = client::make_event_base();
    std::optional<topology::store_failed> failed;
    const auto call = platform::make_store(store.address())(
        base.get(), [&](gateway::any_event what) {
            failed = std::get<topology::store_failed>(what);
        });
    const system_boot_clock clock;
    const auto began = clock.now();
    call(topology::watch_changes{1, milliseconds{200}});
    BOOST_REQUIRE(http_test::run_until(base.get(), [&] { return !!failed; }));
    BOOST_TEST(!failed->history_gone);
    BOOST_TEST((clock.now() - began >= milliseconds{200}));
    BOOST_TEST((clock.now() - began < milliseconds{2000}));
}

namespace
{

// Reads all records once from a fake store.
topology::records_learned
read_all_records(event_base* base, const endpoint& address, bool may_be_stale)
{
    std::optional<topology::records_learned> learned;
    const auto call =
        platform::make_store(address)(base, [&](gateway::any_event what) {
            learned = std::get<topology::records_learned>(what);
        });
    call(topology::read_all{may_be_stale});
    BOOST_REQUIRE(http_test::run_until(base, [&] { return !!learned; }));
    return *learned;
}

const std::string empty_table = R"({"version":1,"routes":[],"services":[]})";

} // namespace

// A stale listing must have the lowest revision of its answers, so that
// watching from there delivers the changes that it lacks.
BOOST_AUTO_TEST_CASE(a_stale_listing_has_the_lowest_revision_of_its_answers)
{
    const auto base = client::make_event_base();
    const auto address = http_test::raw_listener().address();
    site::store store(base.get(), address);
    store.put("op/config", empty_table);
    store.put("servers/a", "{}");
    store.put("servers/b", "{}");
    const auto stale = read_all_records(base.get(), address, true);
    BOOST_TEST(stale.records.size() == 2U);
    const auto current = read_all_records(base.get(), address, false);
    BOOST_TEST(current.records.size() == 3U);
    BOOST_TEST(stale.revision + 1 == current.revision);
}

// Guards against a listing that lacks evacuations, or the table after a page
// full of them, and against further calls of the store.
BOOST_AUTO_TEST_CASE(a_listing_contains_all_that_the_operator_has_written)
{
    const auto base = client::make_event_base();
    const auto address = http_test::raw_listener().address();
    site::store store(base.get(), address);
    store.put("op/config", empty_table);
    store.put("op/evacuate/kl-1", "{}");
    store.put("op/other", "{}");
    const auto few = read_all_records(base.get(), address, false);
    BOOST_TEST(few.records.size() == 2U);
    BOOST_TEST(store.calls() == 2U);
    for (int i = 2; i <= 12; ++i) { // more than a page
        store.put("op/evacuate/kl-" + std::to_string(i), "{}");
    }
    const auto all = read_all_records(base.get(), address, false);
    BOOST_TEST(all.records.size() == 13U);
}

// Guards against losing a routing table that is newer than a stale answer:
// watching from the answer's revision must deliver it.
BOOST_AUTO_TEST_CASE(a_watch_delivers_the_table_that_a_stale_answer_lacks)
{
    const auto base = client::make_event_base();
    const auto address = http_test::raw_listener().address();
    site::store store(base.get(), address);
    store.put("servers/a", "{}");
    store.put("op/config", empty_table);
    std::optional<topology::records_learned> learned;
    const auto call =
        platform::make_store(address)(base.get(), [&](gateway::any_event what) {
            learned = std::get<topology::records_learned>(what);
        });
    call(topology::read_all{true});
    BOOST_REQUIRE(http_test::run_until(base.get(), [&] { return !!learned; }));
    BOOST_TEST(learned->records.size() == 1U);
    const auto revision = learned->revision;
    learned.reset();
    call(topology::watch_changes{revision, seconds{1}});
    BOOST_REQUIRE(http_test::run_until(base.get(), [&] { return !!learned; }));
    BOOST_REQUIRE_EQUAL(learned->records.size(), 1U);
    BOOST_TEST(learned->records[0].published.key == "op/config");
}

// Guards against ordering revisions that are given out again in a later era by
// their number alone.
BOOST_AUTO_TEST_CASE(revisions_are_ordered_by_the_era_of_the_answer)
{
    const auto base = client::make_event_base();
    const auto address = http_test::raw_listener().address();
    site::store store(base.get(), address);
    store.put("op/config", empty_table);
    store.save_copy();
    store.put("servers/a", "{}");
    const auto before = read_all_records(base.get(), address, false);
    BOOST_TEST(store.restore_copy().size() == 1U);
    const auto after = read_all_records(base.get(), address, false);
    BOOST_TEST(after.revision > before.revision);
    BOOST_TEST(topology::era_of(after.revision) ==
               topology::era_of(before.revision) + 1);
    BOOST_TEST(topology::store_revision_of(after.revision) <
               topology::store_revision_of(before.revision));
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_valid_era_keeps_the_last_one)
{
    const auto base = client::make_event_base();
    const auto address = http_test::raw_listener().address();
    site::store store(base.get(), address);
    store.put("op/config", empty_table);
    std::optional<topology::records_learned> learned;
    const auto call =
        platform::make_store(address)(base.get(), [&](gateway::any_event what) {
            learned = std::get<topology::records_learned>(what);
        });
    for (const auto* header :
         {"7", "", "x", "-1", "8 9", "99999999999999999999999"}) {
        store.set_era_header(header);
        learned.reset();
        call(topology::read_all{false});
        BOOST_REQUIRE(
            http_test::run_until(base.get(), [&] { return !!learned; }));
        BOOST_TEST(topology::era_of(learned->revision) == 7U);
    }
}

// Review case 4: entries of another writer made the answer to a watch larger
// than the limit, and the same watch was repeated for ever.
BOOST_AUTO_TEST_CASE(changes_that_exceed_one_answer_are_listed_in_pages)
{
    const auto base = client::make_event_base();
    const auto address = http_test::raw_listener().address();
    site::store store(base.get(), address);
    store.put("servers/a", "{}");
    const auto first = read_all_records(base.get(), address, false);
    for (int i = 0; i < 4; ++i) {
        store.put("servers/x-" + std::to_string(i),
                  std::string(1024UL * 1024, '\xfe'));
    }
    std::optional<topology::store_failed> failed;
    std::optional<topology::records_learned> learned;
    const auto call =
        platform::make_store(address)(base.get(), [&](gateway::any_event what) {
            if (auto* failure = std::get_if<topology::store_failed>(&what)) {
                failed = *failure;
            } else {
                learned = std::get<topology::records_learned>(what);
            }
        });
    call(topology::watch_changes{first.revision, seconds{1}});
    BOOST_REQUIRE(http_test::run_until(base.get(), [&] { return !!failed; }));
    BOOST_TEST(failed->too_large);
    call(topology::read_all{false});
    BOOST_REQUIRE(http_test::run_until(base.get(), [&] { return !!learned; }));
    BOOST_TEST(learned->complete);
    BOOST_TEST(learned->records.size() == 5U);
    const auto revision = learned->revision;
    store.put("op/config", empty_table);
    learned.reset();
    call(topology::watch_changes{revision, seconds{1}});
    BOOST_REQUIRE(http_test::run_until(base.get(), [&] { return !!learned; }));
    BOOST_TEST(learned->records.size() == 1U);
}

// A store that keeps to its limits has no such value. If one has, it must not
// keep the other records from being read.
BOOST_AUTO_TEST_CASE(a_page_or_a_value_that_is_too_large_is_skipped)
{
    const auto base = client::make_event_base();
    const auto address = http_test::raw_listener().address();
    site::store store(base.get(), address);
    store.put("op/config", std::string(5000000, '\xfe'));
    store.put("servers/a", "{}");
    auto learned = read_all_records(base.get(), address, false);
    // Evacuations may be in the page that was skipped: a complete listing would
    // end them.
    BOOST_TEST(!learned.complete);
    BOOST_REQUIRE_EQUAL(learned.records.size(), 2U);
    BOOST_TEST(learned.records[1].published.key == "op/");
    BOOST_TEST(learned.records[1].published.revision == 0U);
    store.put("op/config", empty_table);
    store.put("servers/b", std::string(5000000, '\xfe'));
    learned = read_all_records(base.get(), address, false);
    BOOST_TEST(!learned.complete);
    BOOST_TEST(learned.records.back().published.key == "op/config");
    BOOST_TEST(learned.records.back().published.revision > 0U);
}

// Review case 8: a listing failed once its pages exceeded its share of the
// memory, although most of them held entries that can't be read, so that no
// configuration came into force any more.
BOOST_AUTO_TEST_CASE(entries_that_cannot_be_read_do_not_fail_a_listing)
{
    constexpr std::uint64_t account_bytes = 4UL * 1024 * 1024;
    constexpr int entries = 40;
    const auto base = client::make_event_base();
    const auto address = http_test::raw_listener().address();
    site::store store(base.get(), address);
    store.put("op/config", empty_table);
    store.put("servers/z", R"({"service":"s","address":"127.0.0.1:1",)"
                           R"("zone":"z","version":"v","slots":1,)"
                           R"("state":"ready","coldRemainingMs":0,)"
                           R"("sequence":1})");
    for (int i = 0; i < entries; ++i) {
        store.put("servers/x-" + std::to_string(i),
                  std::string(1024UL * 1024, '\xfe'));
    }
    memory::account account;
    account.limits.bytes = account_bytes;
    std::optional<topology::records_learned> learned;
    std::vector<topology::records_learned> interim;
    std::string failure;
    const auto call = platform::make_store(address, &account)(
        base.get(), [&](gateway::any_event what) {
            if (auto* failed = std::get_if<topology::store_failed>(&what)) {
                failure = to_string(failed->cause);
                return;
            }
            auto event = std::get<topology::records_learned>(what);
            if (event.more) {
                interim.push_back(std::move(event));
            } else {
                learned = std::move(event);
            }
        });
    call(topology::read_all{false});
    BOOST_REQUIRE(http_test::run_until(
        base.get(), [&] { return !!learned || !failure.empty(); }));
    BOOST_TEST(failure == "");
    BOOST_REQUIRE(learned);
    BOOST_TEST(learned->complete);
    BOOST_TEST(learned->records.size() == std::size_t{entries} + 2);
    std::size_t bytes = 0;
    for (const auto& each : learned->records) {
        bytes += each.published.content.size();
    }
    BOOST_TEST(bytes < 1024U); // nothing is kept of what can't be read
    // What the operator has written is not held up by 54 MB of leafs.
    BOOST_TEST(interim.size() == 3U);
    for (const auto& each : interim) {
        BOOST_TEST(!each.complete);
        BOOST_REQUIRE_EQUAL(each.records.size(), 1U);
        BOOST_TEST(each.records[0].published.key == "op/config");
    }
}

// The pages of a listing never ended, and the daemon kept them all.
BOOST_AUTO_TEST_CASE(a_listing_whose_pages_do_not_end_fails)
{
    constexpr std::uint64_t account_bytes = 4UL * 1024 * 1024;
    constexpr std::size_t leaf_bytes = 12'000;
    constexpr std::size_t unreadable_bytes = 100'000;
    // Of what can't be read nothing is kept, so that more of it is read.
    constexpr std::size_t unreadable_pages = 16 * account_bytes;
    struct endless_pages {
        std::string value;
        bool advance = false;
        std::size_t most = 0;
    };
    std::string padded_leaf;
    absl::Base64Escape(R"({"service":"s","address":"127.0.0.1:1","zone":"z",)"
                       R"("version":"v","slots":1,"state":"ready",)"
                       R"("coldRemainingMs":0,"sequence":1,"padding":")" +
                           std::string(leaf_bytes, 'x') + R"("})",
                       &padded_leaf);
    const std::string unreadable(unreadable_bytes, 'A');
    const std::vector<endless_pages> kinds{
        {padded_leaf, true, account_bytes / leaf_bytes},
        {unreadable, true, unreadable_pages / unreadable_bytes},
        {unreadable, false, 2}};
    for (const auto& kind : kinds) {
        const auto base = client::make_event_base();
        const auto address = http_test::raw_listener().address();
        memory::account account;
        account.limits.bytes = account_bytes;
        std::uint64_t most_reserved = 0;
        std::size_t pages = 0;
        std::unique_ptr<http::server> store;
        http::server_events events;
        events.on_request = [&](caller_token token, const http::request&) {
            most_reserved = std::max(most_reserved, account.reserved);
            const auto number = std::to_string(100'000 + ++pages);
            store->respond(token,
                           {200,
                            "",
                            {},
                            R"({"items":[{"key":"servers/)" +
                                (kind.advance ? number : std::string("a")) +
                                R"(","value":")" + kind.value +
                                R"(","revision":1,"created":1,"lease":0}],)"
                                R"("morePages":true,"storeRevision":1})"});
        };
        events.on_disconnected = [](caller_token) {};
        events.on_rejected = [](unsigned, const endpoint&) {};
        store = http::server::listen(base.get(), address, events).value();
        std::optional<topology::store_failed> failed;
        const auto call = platform::make_store(address, &account)(
            base.get(), [&](gateway::any_event what) {
                failed = std::get<topology::store_failed>(what);
            });
        call(topology::read_all{false});
        BOOST_REQUIRE(
            http_test::run_until(base.get(), [&] { return !!failed; }));
        BOOST_TEST(pages <= kind.most);
        BOOST_TEST(most_reserved < account_bytes);
        BOOST_TEST(account.reserved < unreadable_bytes);
    }
}
