#include "libraries/routing/routing.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::routing;

namespace
{

table make_table()
{
    table made;
    for (const auto& [name, host, prefix] :
         {std::tuple("short", "one.example", "/a/"),
          std::tuple("long", "one.example", "/a/b/"),
          std::tuple("other", "two.example", "/a/b/c/")}) {
        route each;
        each.name = name;
        each.host = host;
        each.prefix = prefix;
        made.routes.push_back(each);
    }
    return made;
}

std::string route_name(std::string_view host, std::string_view path)
{
    static const table routes = make_table();
    const auto* route = find_route(routes, host, path);
    return route == nullptr ? "" : route->name;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_longest_matching_prefix_of_the_host_is_chosen)
{
    BOOST_TEST(route_name("one.example", "/a/x") == "short");
    BOOST_TEST(route_name("one.example", "/a/b/c/d") == "long");
    BOOST_TEST(route_name("two.example", "/a/b/c/d") == "other");
    BOOST_TEST(route_name("ONE.example:80", "/a/") == "short");
    BOOST_TEST(route_name("one.example", "/a").empty());
    BOOST_TEST(route_name("three.example", "/a/").empty());
}

BOOST_AUTO_TEST_CASE(the_split_of_requests_stays_close_to_the_weights)
{
    route split;
    split.services = {{"a", 1}, {"b", 2}, {"c", 7}};
    std::map<std::string, int> counts;
    constexpr int requests = 300;
    for (int i = 1; i <= requests; ++i) {
        ++counts[choose_service(split, static_cast<std::uint64_t>(i))];
    }
    BOOST_TEST(std::abs(counts["a"] - 30) <= 3);
    BOOST_TEST(std::abs(counts["b"] - 60) <= 3);
    BOOST_TEST(std::abs(counts["c"] - 210) <= 3);
}
