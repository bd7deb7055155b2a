#include "libraries/poison/poison.hpp"

#include <boost/test/unit_test.hpp>

#include <limits>

namespace bulrushspring::poison::test
{

namespace
{

constexpr fingerprint bad{1};
constexpr boot_time start{seconds{1000}};

boot_time at(int ms)
{
    return start + milliseconds{ms};
}

crash crash_of(std::uint64_t process, int sent_ms, int ended_ms)
{
    return {process, at(sent_ms), at(ended_ms)};
}

} // namespace

BOOST_AUTO_TEST_CASE(leafs_that_crash_at_one_moment_count_once)
{
    state table;
    for (std::uint64_t process = 1; process <= 5; ++process) {
        add_crash(table, bad, crash_of(process, 0, 10), at(10));
    }
    BOOST_TEST(!is_poison(table, bad));
    add_crash(table, bad, crash_of(6, 11, 20), at(20));
    BOOST_TEST(!is_poison(table, bad));
    add_crash(table, bad, crash_of(7, 25, 30), at(30));
    BOOST_TEST(is_poison(table, bad));
    BOOST_TEST(add_answer(table, bad, at(40)));
    BOOST_TEST(!is_suspect(table, bad));
}

BOOST_AUTO_TEST_CASE(a_known_suspect_is_blamed_rather_than_what_ran_beside_it)
{
    state table;
    add_crash(table, bad, crash_of(1, 0, 10), at(10));
    const std::vector<fingerprint> running{fingerprint{2}, bad, fingerprint{3}};
    const auto blamed = to_blame(table, running);
    BOOST_REQUIRE_EQUAL(blamed.size(), 1U);
    BOOST_TEST((blamed[0] == bad));
}

// Where few leafs are left, an innocent request may run beside the poison at
// each of them, at another daemon, which blames it: the reports of both daemons
// tell them apart.
BOOST_AUTO_TEST_CASE(a_request_that_ran_beside_poison_elsewhere_is_not_refused)
{
    constexpr fingerprint innocent{2};
    state table;
    state elsewhere;
    for (std::uint64_t process = 1; process <= 3; ++process) {
        const int sent = static_cast<int>(process) * 100;
        add_crash(table, bad, crash_of(process, sent, sent + 50),
                  at(sent + 50));
        add_crash(elsewhere, innocent, crash_of(process, sent, sent + 50),
                  at(sent + 50));
    }
    merge(table, report_of(elsewhere, innocent, at(400)), at(400));
    BOOST_TEST(!is_poison(table, innocent));
    BOOST_TEST(!is_poison(table, bad));
    add_crash(table, bad, crash_of(4, 410, 450), at(450));
    BOOST_TEST(is_poison(table, bad));
    BOOST_TEST(!is_poison(table, innocent));
    merge(elsewhere, report_of(table, bad, at(500)), at(500));
    BOOST_TEST(is_poison(elsewhere, bad));
    BOOST_TEST(!is_poison(elsewhere, innocent));
}

// The first attempts of a query over many shards filled its record, so that no
// later crash was counted.
BOOST_AUTO_TEST_CASE(crashes_after_those_of_many_shards_still_count)
{
    state table;
    for (std::uint64_t process = 1; process <= 20; ++process) {
        add_crash(table, bad, crash_of(process, 0, 10), at(10));
    }
    add_crash(table, bad, crash_of(21, 20, 30), at(30));
    BOOST_TEST(add_crash(table, bad, crash_of(22, 40, 50), at(50)));
    BOOST_TEST(is_poison(table, bad));
    BOOST_TEST(table.records.at(1).crashes.size() <=
               table.settings.max_crashes_kept);
}

BOOST_AUTO_TEST_CASE(requests_that_always_crash_together_are_refused_at_last)
{
    state table;
    for (std::uint64_t process = 1; process <= 5; ++process) {
        const int sent = static_cast<int>(process) * 100;
        BOOST_TEST(!is_poison(table, bad));
        for (const auto of : {bad, fingerprint{2}}) {
            add_crash(table, of, crash_of(process, sent, sent + 50),
                      at(sent + 50));
        }
    }
    BOOST_TEST(is_poison(table, bad));
    BOOST_TEST(is_poison(table, fingerprint{2}));
}

BOOST_AUTO_TEST_CASE(the_table_stays_within_its_limit_and_keeps_poison)
{
    state table;
    table.settings.max_records = 10;
    for (std::uint64_t process = 1; process <= 3; ++process) {
        const int sent = static_cast<int>(process) * 10;
        add_crash(table, bad, crash_of(process, sent, sent + 5), at(sent + 5));
    }
    for (std::uint64_t other = 2; other < 100; ++other) {
        add_crash(table, fingerprint{other}, crash_of(9, 50, 60), at(60));
        BOOST_TEST(table.records.size() <= 10U);
    }
    BOOST_TEST(is_poison(table, bad));
    expire(table, at(60) + table.settings.retention);
    BOOST_TEST(table.records.empty());
}

BOOST_AUTO_TEST_CASE(a_full_table_keeps_what_has_crashed_several_leafs)
{
    state table;
    table.settings.max_records = 10;
    for (std::uint64_t process = 1; process <= 5; ++process) {
        add_crash(table, bad, crash_of(process, 0, 10), at(10));
    }
    for (std::uint64_t other = 2; other < 100; ++other) {
        add_crash(table, fingerprint{other}, crash_of(9, 50, 60), at(60));
    }
    BOOST_TEST(is_suspect(table, bad));
}

BOOST_AUTO_TEST_CASE(a_report_of_a_request_that_was_never_seen_adds_nothing)
{
    state table;
    state empty;
    BOOST_TEST(!merge(table, report_of(empty, bad, at(0)), at(0)));
    wire::crash_report never;
    never.fingerprint = 1;
    never.seen_ms_ago = std::numeric_limits<std::uint32_t>::max();
    BOOST_TEST(!merge(table, never, at(0)));
    BOOST_TEST(table.records.empty());
}

} // namespace bulrushspring::poison::test
