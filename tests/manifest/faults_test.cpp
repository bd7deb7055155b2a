#include "tests/manifest/sections.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::manifest;
using namespace bulrushspring::manifest::test;

namespace
{

// An edit of the yearbook example and the error that it must cause.
struct invalid_edit {
    const char* section;
    const char* from;
    const char* to;
    errc code;
    const char* expected_section;
    const char* key;
};

const invalid_edit invalid_edits[] = {
    {"fleet", "spare_vms = 2", "spare_vms = 1001", errc::out_of_range,
     "fleet [fleet]", "spare_vms"},
    {"fleet", "spare_vms = 2", "spare_vms = -1", errc::malformed,
     "fleet [fleet]", "spare_vms"},
    {"fleet", "[fleet]\n", "[flet]\n", errc::missing_key, "fleet", ""},
    {"fleet", "spare_vms", "spares", errc::unknown_key, "fleet [fleet]",
     "spares"},
    {"fleet", "region = nusantara", "zone = x", errc::missing_key,
     "fleet [data_centre kl-1]", "region"},
    {"fleet", "[vm entry-2]", "[vm entry-1 ]", errc::malformed, "fleet", ""},
    {"fleet", "[vm entry-2]", "[vm entry-x]\n[vm entry-2]", errc::missing_key,
     "fleet", ""},
    {"fleet", "[vm entry-2]", "[vm Entry-2]", errc::unknown_key, "fleet", ""},
    {"fleet", "caller = 127.0.0.1:7003", "caller = 127.0.0.1:0",
     errc::malformed, "fleet [vm entry-1]", "caller"},
    {"fleet", "peer = 127.0.0.1:7004", "peer = 127.0.0.1:7003", errc::duplicate,
     "fleet [vm entry-1]", "peer"},
    {"fleet", "data_centre = kl-2", "data_centre = kl-9", errc::not_found,
     "fleet [vm entry-2]", "data_centre"},
    {"fleet", "[vm entry-3]", "[vm jadual-carian-0-a]", errc::duplicate,
     "pool.jadual-carian [leaf jadual-carian-0-a]", ""},
    {"pool.jadual-carian", "serve = 1", "serve = 2", errc::not_found,
     "pool.jadual-carian [pool]", "serve"},
    {"pool.jadual-carian", "slots = 3", "slots = three", errc::malformed,
     "pool.jadual-carian [pool]", "slots"},
    {"pool.jadual-carian", "slots = 3", "slots = 0", errc::out_of_range,
     "pool.jadual-carian [pool]", "slots"},
    {"pool.jadual-carian", "slots = 3\n", "", errc::missing_key,
     "pool.jadual-carian [pool]", "slots"},
    {"pool.jadual-carian", "connections = 65", "connections = 16",
     errc::out_of_range, "pool.jadual-carian [pool]", "connections"},
    {"pool.jadual-carian", "shards = 10", "shards = 11", errc::not_found,
     "pool.jadual-carian", "holds"},
    {"pool.jadual-carian", "shards = 10", "shards = 9", errc::out_of_range,
     "pool.jadual-carian [leaf jadual-carian-9-a]", "holds"},
    {"pool.jadual-carian", "[snapshot 1]", "[snapshot one]", errc::malformed,
     "pool.jadual-carian [snapshot one]", ""},
    {"pool.jadual-carian", "holds = 1/0", "holds = 3/0", errc::not_found,
     "pool.jadual-carian [leaf jadual-carian-0-a]", "holds"},
    {"pool.jadual-carian", "holds = 1/0", "holds = 1/0 1/0", errc::duplicate,
     "pool.jadual-carian [leaf jadual-carian-0-a]", "holds"},
    {"pool.jadual-carian", "holds = 1/0", "holds = 1-0", errc::malformed,
     "pool.jadual-carian [leaf jadual-carian-0-a]", "holds"},
    {"pool.jadual-carian", "data_centre = kl-1", "data_centre = rvk-1",
     errc::not_found, "pool.jadual-carian [leaf jadual-carian-0-a]",
     "data_centre"},
    {"pool.jadual-carian", "state = live", "state = dead", errc::out_of_range,
     "pool.jadual-carian [leaf jadual-carian-0-a]", "state"},
    {"pool.jadual-carian", "address = 127.0.0.1:9000",
     "address = 127.0.0.1:9001", errc::duplicate,
     "pool.jadual-carian [leaf jadual-carian-0-b]", "address"},
    {"pool.jadual-carian", "[pool]", "stray\n[pool]", errc::malformed,
     "pool.jadual-carian", ""},
    {"service.jadual-carian", "pool = jadual-carian", "pool = none",
     errc::not_found, "service.jadual-carian [service]", "pool"},
    {"service.jadual-carian", "kind = query", "kind = ask", errc::out_of_range,
     "service.jadual-carian [service]", "kind"},
    {"service.jadual-carian", "hedge_budget = 0.05", "hedge_budget = 1.5",
     errc::out_of_range, "service.jadual-carian [service]", "hedge_budget"},
    {"service.jadual-carian", "hedge_budget = 0.05", "hedge_budget = nan",
     errc::out_of_range, "service.jadual-carian [service]", "hedge_budget"},
    {"service.jadual-carian", "wait_for_coverage = yes",
     "wait_for_coverage = 1", errc::out_of_range,
     "service.jadual-carian [service]", "wait_for_coverage"},
    {"service.jadual-carian", "deadline_ms = 2000", "deadline_ms = 2e3",
     errc::malformed, "service.jadual-carian [service]", "deadline_ms"},
    {"service.rujuk-siri", "kind = read", "kind = read\nresult_limit = 5",
     errc::unknown_key, "service.rujuk-siri [service]", "result_limit"},
    {"service.rujuk-siri", "kind = read", "kind = request", errc::out_of_range,
     "service.rujuk-siri [service]", "hedge_budget"},
};

bool contains(const validation_errors& all, const invalid_edit& edit)
{
    return std::any_of(
        all.begin(), all.end(), [&](const validation_error& one) {
            return one.code == edit.code &&
                   one.section == edit.expected_section && one.key == edit.key;
        });
}

void replace(std::vector<section_text>& sections, const invalid_edit& edit)
{
    for (auto& [name, text] : sections) {
        const auto at = text.find(edit.from);
        if (name == edit.section && at != std::string::npos) {
            text.replace(at, std::string_view(edit.from).size(), edit.to);
            return;
        }
    }
    BOOST_FAIL("text to edit not found: " << edit.from);
}

} // namespace

BOOST_AUTO_TEST_CASE(both_examples_are_valid)
{
    for (const char* name : {"yearbook", "taknbru"}) {
        const auto good = check(read_example(name));
        BOOST_TEST(good.has_value(), name);
        BOOST_TEST(good.value().services.size() == 5U);
        BOOST_TEST(good.value().entries.data_centres.size() == 3U);
    }
}

BOOST_AUTO_TEST_CASE(each_invalid_edit_is_refused_with_section_and_key)
{
    for (const auto& edit : invalid_edits) {
        auto sections = read_example("yearbook");
        replace(sections, edit);
        const auto refused = check(sections);
        const std::string name = std::string(edit.section) + " " + edit.to;
        BOOST_TEST_REQUIRE(!refused.has_value(), name);
        BOOST_TEST(contains(refused.error(), edit),
                   name << ": " << summary(refused.error()));
    }
}

BOOST_AUTO_TEST_CASE(all_errors_are_reported_at_once)
{
    auto sections = read_example("yearbook");
    const invalid_edit edits[] = {invalid_edits[0], invalid_edits[13],
                                  invalid_edits[29]};
    for (const auto& edit : edits) {
        replace(sections, edit);
    }
    const auto refused = check(sections);
    BOOST_TEST_REQUIRE(!refused.has_value());
    BOOST_TEST(refused.error().size() == 3U);
    for (const auto& edit : edits) {
        BOOST_TEST(contains(refused.error(), edit));
    }
}

BOOST_AUTO_TEST_CASE(invalid_indexes_are_refused)
{
    const std::string hash(32, 'a');
    const std::string good = "[manifest]\nformat = 1\nversion = 4\n"
                             "sections = 1\n[sections]\nfleet = " +
                             hash + "\n";
    BOOST_TEST(parse_index(good).has_value());
    const auto with_replacement = [&](std::string_view from,
                                      std::string_view to) {
        std::string text = good;
        text.replace(text.find(from), from.size(), to);
        return text;
    };
    const std::string invalid[] = {
        "",
        with_replacement("format = 1", "format = 2"),
        with_replacement("version = 4", "version = 0"),
        with_replacement("sections = 1", "sections = 2"),
        with_replacement("sections = 1\n", ""),
        with_replacement("version = 4", "version = 9223372036854775808"),
        with_replacement("version = 4", "version = 4\nversion = 5"),
        with_replacement("fleet = ", "pool = "),
        with_replacement("fleet = ", "flet = "),
        with_replacement(hash, hash.substr(1)),
        with_replacement("[sections]", "[others]"),
        good + "[extra]\nkey = 1\n",
        with_replacement("sections = 1", "sections = 2") + "pool. = " + hash +
            "\n",
        good + std::string(1024UL * 1024, ' '),
        good + std::string(1, '\0'),
    };
    for (const auto& text : invalid) {
        BOOST_TEST(!parse_index(text).has_value(), text.substr(0, 90));
    }
}
