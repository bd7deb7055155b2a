#include "libraries/gateway_shell/settings_file.hpp"
#include "tests/http/loop.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

using namespace bulrushspring;

namespace
{

struct settings_file_fixture {
    std::string path = "/tmp/bulrushspring-settings-XXXXXX";
    shell::base_handle base = client::make_event_base();
    std::vector<std::string> changes;
    int unreadable_count = 0;

    settings_file_fixture() { close(mkstemp(path.data())); }
    settings_file_fixture(const settings_file_fixture&) = delete;
    settings_file_fixture& operator=(const settings_file_fixture&) = delete;
    ~settings_file_fixture() { unlink(path.c_str()); }

    void write(const std::string& content) const
    {
        std::ofstream(path, std::ios::trunc) << content;
    }

    gateway_shell::settings_file make_file(duration interval)
    {
        return {base.get(),
                path,
                "a=1\n",
                {[this](const auto& content) { changes.push_back(content); },
                 [this] { ++unreadable_count; }},
                interval};
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_change_is_reported_once, settings_file_fixture)
{
    write("a=1\n");
    auto file = make_file(seconds{60});
    BOOST_TEST(!file.check());
    write("a=2\n");
    BOOST_TEST(file.check());
    BOOST_TEST(!file.check());
    BOOST_REQUIRE_EQUAL(changes.size(), 1U);
    BOOST_TEST(changes[0] == "a=2\n");
}

BOOST_FIXTURE_TEST_CASE(a_change_is_detected_by_polling, settings_file_fixture)
{
    write("a=1\n");
    const auto file = make_file(milliseconds{20});
    write("a=2\n");
    BOOST_TEST(
        http_test::run_until(base.get(), [&] { return !changes.empty(); }));
}

BOOST_FIXTURE_TEST_CASE(a_missing_file_is_reported_as_unreadable,
                        settings_file_fixture)
{
    unlink(path.c_str());
    auto file = make_file(seconds{60});
    BOOST_TEST(!file.check());
    BOOST_TEST(unreadable_count == 1);
    BOOST_TEST(changes.empty());
}
