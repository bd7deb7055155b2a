#include "tests/fakes/fixture.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <unistd.h>

using namespace bulrushspring;
using namespace bulrushspring::tests;

namespace
{

struct platform_fixture : fixture {
    std::unique_ptr<fakes::platform> platform{std::move(
        fakes::open_platform(*base, time, any_port, any_port).value())};
    client::http_connection& reader{connect(platform->readers->address)};
    client::http_connection& admin{connect(platform->operators->address)};

    void put(const std::string& key, const std::string& content)
    {
        const client::http_request request{
            client::http_method::put, "/admin/values/" + key, {}, content};
        BOOST_TEST_REQUIRE(send(*this, admin, request)->status() == 204);
    }

    void set_faults(const std::string& query)
    {
        const client::http_request request{
            client::http_method::post, "/admin/faults?" + query, {}, ""};
        BOOST_TEST_REQUIRE(send(*this, admin, request)->status() == 204);
    }

    std::shared_ptr<pending_exchange> read(const std::string& target)
    {
        return send(*this, reader, get_request("/v1/values/" + target));
    }

    nlohmann::json calls()
    {
        return nlohmann::json::parse(
            send(*this, admin, get_request("/admin/calls"))->response().body);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(values_are_read_with_their_revision)
{
    platform_fixture test;
    BOOST_TEST(test.read("manifest")->status() == 404);
    test.put("manifest", "one");
    test.put("manifest", "one"); // same content: no new revision
    test.put("manifest", "two");
    const auto response = test.read("manifest");
    BOOST_TEST(response->status() == 200);
    BOOST_TEST(response->response().body == "two");
    BOOST_TEST(response->header("Bulrushspring-Revision") == "2");
    BOOST_TEST(test.read("manifest?after=2&wait_ms=1")->status() == 304);
}

BOOST_AUTO_TEST_CASE(watch_ends_at_a_change_and_counts_as_one_call)
{
    platform_fixture test;
    test.put("manifest", "one");
    auto watch = start(test.reader, get_request("/v1/values/manifest"
                                                "?after=1&wait_ms=50000"));
    test.run_until([&] { return test.platform->waiting.size() == 1; });
    BOOST_TEST(test.calls()["watching"] == 1);
    test.put("manifest", "two");
    finish(test, watch);
    BOOST_TEST(watch->status() == 200);
    BOOST_TEST(watch->response().body == "two");
    test.read("section/abc");
    BOOST_TEST(test.calls()["manifest"] == 1);
    BOOST_TEST(test.calls()["section"] == 1);
    BOOST_TEST(test.calls()["total"] == 2);
}

BOOST_AUTO_TEST_CASE(readers_can_only_read)
{
    platform_fixture test;
    for (const auto method :
         {client::http_method::put, client::http_method::post,
          client::http_method::remove}) {
        // evhttp accepts no body with DELETE.
        const bool has_body = method != client::http_method::remove;
        const client::http_request request{
            method, "/v1/values/manifest", {}, has_body ? "mine" : ""};
        BOOST_TEST(send(test, test.reader, request)->status() == 405);
    }
    const client::http_request admin{
        client::http_method::put, "/admin/values/manifest", {}, "mine"};
    BOOST_TEST(send(test, test.reader, admin)->status() == 405);
    BOOST_TEST(test.platform->state.values.empty());
}

BOOST_AUTO_TEST_CASE(unavailable_platform_refuses_or_closes_connections)
{
    platform_fixture test;
    test.put("manifest", "one");
    auto watch = start(test.reader, get_request("/v1/values/manifest"
                                                "?after=1&wait_ms=50000"));
    test.run_until([&] { return test.platform->waiting.size() == 1; });
    test.set_faults("down=1");
    finish(test, watch);
    BOOST_TEST(watch->status() == 503);
    BOOST_TEST(test.read("manifest")->status() == 503);
    test.set_faults("down=2");
    BOOST_TEST(!test.read("manifest")->answered());
    test.set_faults("down=0");
    BOOST_TEST(test.read("manifest")->status() == 200);
}

BOOST_AUTO_TEST_CASE(stale_platform_serves_old_values_and_revisions)
{
    platform_fixture test;
    test.put("manifest", "one");
    test.set_faults("stale=1");
    test.put("manifest", "two");
    test.put("section/new", "content");
    BOOST_TEST(test.read("manifest")->response().body == "one");
    BOOST_TEST(test.read("manifest")->header("Bulrushspring-Revision") == "1");
    BOOST_TEST(test.read("section/new")->status() == 404);
    BOOST_TEST(test.read("manifest?after=1&wait_ms=1")->status() == 304);
    auto watch = start(test.reader, get_request("/v1/values/manifest"
                                                "?after=1&wait_ms=50000"));
    test.run_until([&] { return test.platform->waiting.size() == 1; });
    test.set_faults("stale=0");
    finish(test, watch);
    BOOST_TEST(watch->response().body == "two");
    BOOST_TEST(watch->header("Bulrushspring-Revision") == "2");
}

BOOST_AUTO_TEST_CASE(slow_platform_delays_answers)
{
    platform_fixture test;
    test.put("manifest", "one");
    test.set_faults("slow_ms=80");
    const auto before = test.time.now();
    BOOST_TEST(test.read("manifest")->status() == 200);
    BOOST_TEST((test.time.now() - before >= milliseconds{79}));
}

BOOST_AUTO_TEST_CASE(only_the_list_of_vms_is_delayed)
{
    platform_fixture test;
    test.put("vms", "[vm a]");
    test.set_faults("vms_lag_ms=200");
    test.put("vms", "[vm b]");
    test.put("manifest", "one");
    BOOST_TEST(test.read("vms")->response().body == "[vm a]");
    BOOST_TEST(test.read("manifest")->response().body == "one");
    const auto late = test.read("vms?after=1&wait_ms=50000");
    BOOST_TEST(late->response().body == "[vm b]");
}

BOOST_AUTO_TEST_CASE(value_over_a_megabyte_is_not_published)
{
    platform_fixture test;
    const client::http_request request{
        client::http_method::put,
        "/admin/values/manifest",
        {},
        std::string(fakes::max_value_bytes + 1, 'x')};
    BOOST_TEST(send(test, test.admin, request)->status() == 400);
    BOOST_TEST(test.read("manifest")->status() == 404);
}

BOOST_AUTO_TEST_CASE(folder_is_published_in_one_step)
{
    const auto folder = std::filesystem::temp_directory_path() /
                        ("bulrushspring-publish-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder / "section");
    const auto write = [&](const std::string& name, const std::string& text) {
        BOOST_TEST_REQUIRE(
            fakes::write_file((folder / name).string(), text).has_value());
    };
    write("manifest", "index");
    write("vms", "[vm a]");
    write("section/abc", "content");
    platform_fixture test;
    const client::http_request request{client::http_method::post,
                                       "/admin/publish?folder=" +
                                           client::uri_encoded(folder.string()),
                                       {},
                                       ""};
    BOOST_TEST(send(test, test.admin, request)->status() == 204);
    BOOST_TEST(test.read("manifest")->response().body == "index");
    BOOST_TEST(test.read("vms")->response().body == "[vm a]");
    BOOST_TEST(test.read("section/abc")->response().body == "content");
    std::filesystem::remove_all(folder);
    BOOST_TEST(send(test, test.admin, request)->status() == 400);
}
