#include "libraries/http/server.hpp"
#include "tests/http/loop.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::http_test;

namespace
{

// A server that remembers what it was asked.
struct fixture {
    shell::base_handle base = client::make_event_base();
    std::vector<std::pair<caller_token, http::request>> asked;
    std::vector<caller_token> left;
    std::vector<unsigned> rejected;
    std::unique_ptr<http::server> server;
    endpoint address;

    fixture()
    {
        http::server_events events;
        events.asked = [this](caller_token token, http::request message) {
            asked.emplace_back(token, std::move(message));
        };
        events.left = [this](caller_token token) { left.push_back(token); };
        events.rejected = [this](unsigned status, const endpoint&) {
            rejected.push_back(status);
        };
        // A free port, found by a socket that is closed again at once.
        address = raw_listener().address();
        server = http::server::listen(base.get(), address, events).value();
        server->set_limits({{512, 64}, milliseconds{300}, seconds{5}});
    }

    bool until(const std::function<bool()>& holds)
    {
        return turn_until(base.get(), holds);
    }
};

struct refused_case {
    const char* what;
    std::string bytes;
    std::string status;
};

const std::vector<refused_case> refused_cases = {
    {"a length and chunks",
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "400"},
    {"no host", "GET /a HTTP/1.1\r\n\r\n", "400"},
    {"two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "400"},
    {"no path", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
    {"a long body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n",
     "413"},
    {"long headers",
     "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n",
     "431"},
    {"a header that does not end", "GET /a HTTP/1.1\r\nHost: h\r\nX: ", "408"},
};

const std::string plain = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_CASE(malformed_requests_are_refused_and_reach_nobody,
                        fixture)
{
    for (const auto& each : refused_cases) {
        raw_socket caller(connect_to(address));
        caller.send(each.bytes);
        BOOST_TEST(until([&] {
                       caller.take();
                       return caller.ended;
                   }),
                   each.what);
        BOOST_TEST(caller.received.substr(9, 3) == each.status, each.what);
        BOOST_TEST(caller.received.find("Connection: close") !=
                       std::string::npos,
                   each.what);
        BOOST_TEST(asked.empty(), each.what);
    }
}

BOOST_FIXTURE_TEST_CASE(the_next_request_waits_for_the_answer, fixture)
{
    raw_socket caller(connect_to(address));
    caller.send(plain + plain);
    BOOST_REQUIRE(until([&] { return asked.size() == 1; }));
    server->respond(asked[0].first, http::response{200, "", {}, "one"});
    BOOST_REQUIRE(until([&] { return asked.size() == 2; }));
    server->respond(asked[1].first, http::response{200, "", {}, "two"});
    BOOST_TEST(until([&] {
        caller.take();
        return caller.received.find("two") != std::string::npos;
    }));
    BOOST_TEST(caller.received.find("one") < caller.received.find("two"));
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_leaves_is_noticed, fixture)
{
    raw_socket caller(connect_to(address));
    caller.send(plain);
    BOOST_REQUIRE(until([&] { return asked.size() == 1; }));
    caller.close();
    BOOST_TEST(until([&] { return left.size() == 1; }));
    // The answer then goes nowhere, and the server lives on.
    server->respond(asked[0].first, http::response{200, "", {}, ""});
}

BOOST_FIXTURE_TEST_CASE(a_caller_is_told_to_go_on_with_its_body, fixture)
{
    raw_socket caller(connect_to(address));
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                "Content-Length: 2\r\n\r\n");
    BOOST_TEST(until([&] {
        caller.take();
        return caller.received.find("100 Continue") != std::string::npos;
    }));
    caller.send("ab");
    BOOST_TEST(until([&] { return asked.size() == 1; }));
    BOOST_TEST(asked[0].second.body == "ab");
}

BOOST_FIXTURE_TEST_CASE(callers_are_released_with_their_answer, fixture)
{
    raw_socket caller(connect_to(address));
    caller.send(plain);
    BOOST_REQUIRE(until([&] { return asked.size() == 1; }));
    server->close_after_answers();
    server->respond(asked[0].first, http::response{200, "", {}, "x"});
    BOOST_TEST(until([&] {
        caller.take();
        return caller.ended;
    }));
    BOOST_TEST(caller.received.find("Connection: close") != std::string::npos);
}
