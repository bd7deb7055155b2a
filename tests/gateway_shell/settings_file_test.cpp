#include "libraries/gateway_shell/settings_file.hpp"
#include "tests/http/loop.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <unistd.h>

using namespace bulrushspring;

namespace
{

struct fixture {
    std::string path = "/tmp/bulrushspring-settings-XXXXXX";
    shell::base_handle base = client::make_event_base();
    std::vector<std::string> changes;
    int unreadable = 0;

    fixture() { close(mkstemp(path.data())); }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;
    ~fixture() { unlink(path.c_str()); }

    void write(const std::string& content) const
    {
        std::ofstream(path, std::ios::trunc) << content;
    }

    gateway_shell::settings_file watch(duration interval)
    {
        return {base.get(),
                path,
                "a=1\n",
                {[this](const auto& content) { changes.push_back(content); },
                 [this] { ++unreadable; }},
                interval};
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(a_changed_file_is_told_once, fixture)
{
    write("a=1\n");
    auto file = watch(seconds{60});
    BOOST_TEST(!file.look());
    write("a=2\n");
    BOOST_TEST(file.look());
    BOOST_TEST(!file.look());
    BOOST_REQUIRE_EQUAL(changes.size(), 1U);
    BOOST_TEST(changes[0] == "a=2\n");
}

BOOST_FIXTURE_TEST_CASE(a_change_is_noticed_without_a_signal, fixture)
{
    write("a=1\n");
    const auto file = watch(milliseconds{20});
    write("a=2\n");
    BOOST_TEST(
        http_test::turn_until(base.get(), [&] { return !changes.empty(); }));
}

BOOST_FIXTURE_TEST_CASE(a_file_that_is_gone_changes_nothing, fixture)
{
    unlink(path.c_str());
    auto file = watch(seconds{60});
    BOOST_TEST(!file.look());
    BOOST_TEST(unreadable == 1);
    BOOST_TEST(changes.empty());
}
