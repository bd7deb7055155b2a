#include "libraries/settings/settings.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;

namespace
{

constexpr const char* valid_settings = R"([daemon]
name = entry-1
data_centre = kl-1
region = kl
[listen]
callers = 127.0.0.1:7001
peers = 127.0.0.1:7002
operators = 127.0.0.1:7003
[platform]
address = 127.0.0.1:7000
[seeds]
entry-2 = 127.0.0.1:7012
)";

} // namespace

BOOST_AUTO_TEST_CASE(valid_settings_are_parsed_with_defaults)
{
    const auto parsed = settings::parse_settings(valid_settings);
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value().name == "entry-1");
    BOOST_TEST(parsed.value().seeds.size() == 1);
    BOOST_TEST(parsed.value().address_validity.count() == 10'000);
    BOOST_TEST(to_string(parsed.value().peers) == "127.0.0.1:7002");
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_together)
{
    const std::string text = std::string(valid_settings) +
                             "[limits]\naddress_hold_ms = soon\n"
                             "readers = 99\nreader = 1\n[extra]\na = b\n";
    const auto parsed = settings::parse_settings(text);
    BOOST_REQUIRE(!parsed.has_value());
    std::vector<std::string> keys;
    for (const auto& fault : parsed.error()) {
        keys.push_back(fault.section + "/" + fault.key);
    }
    const std::vector<std::string> expected = {
        "extra/", "limits/address_hold_ms", "limits/readers", "limits/reader"};
    BOOST_TEST(keys == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(empty_settings_lack_every_required_key)
{
    const auto parsed = settings::parse_settings("");
    BOOST_REQUIRE(!parsed.has_value());
    BOOST_TEST(parsed.error().size() == 7);
}
