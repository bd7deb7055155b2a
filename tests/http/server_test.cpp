#include "libraries/http/server.hpp"
#include "tests/http/loop.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::http_test;

namespace
{

// A server that records its events.
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
        events.on_request = [this](caller_token token, http::request message) {
            asked.emplace_back(token, std::move(message));
        };
        events.on_disconnected = [this](caller_token token) {
            left.push_back(token);
        };
        events.on_rejected = [this](unsigned status, const endpoint&) {
            rejected.push_back(status);
        };
        // Finds a free port with a socket that is closed again immediately.
        address = raw_listener().address();
        server = http::server::listen(base.get(), address, events).value();
        server->set_limits({{512, 64}, milliseconds{300}, seconds{5}});
    }

    bool until(const std::function<bool()>& holds)
    {
        return run_until(base.get(), holds);
    }
};

struct refused_case {
    const char* what;
    std::string bytes;
    std::string status;
};

const std::vector<refused_case> refused_cases = {
    {"both a length and chunks",
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "400"},
    {"no Host header", "GET /a HTTP/1.1\r\n\r\n", "400"},
    {"two Host headers", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
     "400"},
    {"target without a path", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
     "400"},
    {"body over the limit",
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n", "413"},
    {"headers over the limit",
     "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') + "\r\n\r\n",
     "431"},
    {"incomplete headers", "GET /a HTTP/1.1\r\nHost: h\r\nX: ", "408"},
};

const std::string valid_request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

BOOST_FIXTURE_TEST_CASE(malformed_requests_are_refused_and_never_delivered,
                        fixture)
{
    for (const auto& each : refused_cases) {
        raw_socket caller(connect_to(address));
        caller.send(each.bytes);
        BOOST_TEST(until([&] {
                       caller.receive();
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

BOOST_FIXTURE_TEST_CASE(next_request_waits_for_the_answer_to_the_first, fixture)
{
    raw_socket caller(connect_to(address));
    caller.send(valid_request + valid_request);
    BOOST_REQUIRE(until([&] { return asked.size() == 1; }));
    server->respond(asked[0].first, http::response{200, "", {}, "one"});
    BOOST_REQUIRE(until([&] { return asked.size() == 2; }));
    server->respond(asked[1].first, http::response{200, "", {}, "two"});
    BOOST_TEST(until([&] {
        caller.receive();
        return caller.received.find("two") != std::string::npos;
    }));
    BOOST_TEST(caller.received.find("one") < caller.received.find("two"));
}

BOOST_FIXTURE_TEST_CASE(disconnected_caller_is_reported, fixture)
{
    raw_socket caller(connect_to(address));
    caller.send(valid_request);
    BOOST_REQUIRE(until([&] { return asked.size() == 1; }));
    caller.close();
    BOOST_TEST(until([&] { return left.size() == 1; }));
    // The answer is discarded without an error.
    server->respond(asked[0].first, http::response{200, "", {}, ""});
}

BOOST_FIXTURE_TEST_CASE(expect_continue_is_answered_before_the_body, fixture)
{
    raw_socket caller(connect_to(address));
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                "Content-Length: 2\r\n\r\n");
    BOOST_TEST(until([&] {
        caller.receive();
        return caller.received.find("100 Continue") != std::string::npos;
    }));
    caller.send("ab");
    BOOST_TEST(until([&] { return asked.size() == 1; }));
    BOOST_TEST(asked[0].second.body == "ab");
}

BOOST_FIXTURE_TEST_CASE(connections_close_after_their_answer_when_draining,
                        fixture)
{
    raw_socket caller(connect_to(address));
    caller.send(valid_request);
    BOOST_REQUIRE(until([&] { return asked.size() == 1; }));
    server->close_after_answers();
    server->respond(asked[0].first, http::response{200, "", {}, "x"});
    BOOST_TEST(until([&] {
        caller.receive();
        return caller.ended;
    }));
    BOOST_TEST(caller.received.find("Connection: close") != std::string::npos);
}

// LOST: the process ended a fixed time after its last answer, whatever was
// still to be sent. Finishing waits for a slow caller and for a request whose
// first bytes have arrived; only idle connections are closed.
BOOST_FIXTURE_TEST_CASE(finishing_loses_no_answer_and_no_begun_request, fixture)
{
    raw_socket idle(connect_to(address));
    raw_socket slow(connect_to(address));
    raw_socket begun(connect_to(address));
    slow.send(valid_request);
    BOOST_REQUIRE(until([&] { return asked.size() == 1; }));
    begun.send("GET /a HTTP/1.1\r\nHo");
    BOOST_REQUIRE(until([&] { return server->connections() == 3; }));
    constexpr std::size_t large = 8UL * 1024 * 1024;
    server->respond(asked[0].first,
                    http::response{200, "", {}, std::string(large, 'x')});
    bool finished = false;
    server->finish([&] { finished = true; });
    BOOST_TEST(until([&] {
        idle.receive();
        return idle.ended;
    }));
    BOOST_TEST(idle.received.empty());
    BOOST_TEST(!finished);
    begun.send("st: h\r\n\r\n");
    BOOST_REQUIRE(until([&] { return asked.size() == 2; }));
    server->respond(asked[1].first, http::response{503, "", {}, ""});
    BOOST_TEST(until([&] {
        begun.receive();
        return begun.ended;
    }));
    BOOST_TEST(begun.received.find("503") != std::string::npos);
    BOOST_TEST(begun.received.find("Connection: close") != std::string::npos);
    BOOST_TEST(!finished);
    BOOST_TEST(until([&] {
        slow.receive();
        return slow.ended;
    }));
    BOOST_TEST(slow.received.size() > large);
    slow.close();
    begun.close();
    idle.close();
    BOOST_TEST(until([&] { return finished; }));
    BOOST_TEST(server->unanswered() + server->unsent() == 0U);
}

// LOST: the process was held up by a connection that had become idle while it
// finished, until the idle timeout or its own time limit.
BOOST_FIXTURE_TEST_CASE(finishing_ends_a_connection_once_it_is_answered,
                        fixture)
{
    server->set_limits({{512, 64}, milliseconds{300}, seconds{60}});
    raw_socket caller(connect_to(address));
    caller.send(valid_request);
    BOOST_REQUIRE(until([&] { return asked.size() == 1; }));
    constexpr std::size_t large = 8UL * 1024 * 1024;
    server->respond(asked[0].first,
                    http::response{200, "", {}, std::string(large, 'x')});
    server->finish([] {});
    BOOST_TEST(until([&] {
        caller.receive();
        return caller.ended;
    }));
    BOOST_TEST(caller.received.size() > large);
}

// A request that has arrived when finishing begins is still reported.
BOOST_FIXTURE_TEST_CASE(finishing_reads_what_has_arrived, fixture)
{
    raw_socket caller(connect_to(address));
    BOOST_REQUIRE(until([&] { return server->connections() == 1; }));
    caller.send(valid_request);
    server->finish([] {});
    BOOST_REQUIRE(until([&] { return asked.size() == 1; }));
    server->respond(asked[0].first, http::response{503, "", {}, ""});
    BOOST_TEST(until([&] {
        caller.receive();
        return caller.ended;
    }));
    BOOST_TEST(caller.received.find("503") != std::string::npos);
}

// LOST: a connection that was accepted in the turn of the event loop in which
// finishing began was closed as idle with its request unread.
BOOST_FIXTURE_TEST_CASE(finishing_reads_requests_on_new_connections, fixture)
{
    raw_socket caller(connect_to(address));
    caller.send(valid_request);
    server->finish([] {});
    BOOST_REQUIRE(until([&] {
        caller.receive();
        return asked.size() == 1 || caller.ended;
    }));
    BOOST_TEST(asked.size() == 1U);
}

// A planned stop reset a connection that was established, with its request, in
// the turn of the event loop in which the daemon stopped listening.
BOOST_FIXTURE_TEST_CASE(finishing_accepts_connections_until_it_stops_listening,
                        fixture)
{
    struct late_caller {
        endpoint address;
        std::unique_ptr<raw_socket> socket;
    } late{address, nullptr};
    // Active before `finish` sets its timer, it runs in the same turn, after
    // the wait for input.
    event_base_once(
        base.get(), -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* argument) {
            auto& caller = *static_cast<late_caller*>(argument);
            caller.socket =
                std::make_unique<raw_socket>(connect_to(caller.address));
            caller.socket->send(valid_request);
        },
        &late, nullptr);
    server->finish([] {});
    BOOST_REQUIRE(until([&] {
        if (late.socket) {
            late.socket->receive();
        }
        return asked.size() == 1 || (late.socket && late.socket->ended);
    }));
    BOOST_TEST(asked.size() == 1U);
}

// CONFIG: a kept connection's next request was refused by the limits that were
// in force when the connection became idle.
BOOST_FIXTURE_TEST_CASE(raised_limits_apply_to_open_connections, fixture)
{
    raw_socket caller(connect_to(address));
    BOOST_REQUIRE(until([&] { return server->connections() == 1; }));
    server->set_limits({{512, 128}, milliseconds{300}, seconds{5}});
    caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 128\r\n\r\n" +
                std::string(128, 'x'));
    BOOST_REQUIRE(until([&] { return asked.size() + rejected.size() == 1; }));
    BOOST_TEST(rejected.empty());
}

// LOST: a kept connection was closed after the idle timeout that was in force
// when it became idle, while callers relied on the raised one.
BOOST_FIXTURE_TEST_CASE(a_raised_idle_timeout_applies_to_open_connections,
                        fixture)
{
    server->set_limits({{512, 64}, milliseconds{300}, milliseconds{200}});
    raw_socket caller(connect_to(address));
    BOOST_REQUIRE(until([&] { return server->connections() == 1; }));
    server->set_limits({{512, 64}, milliseconds{300}, milliseconds{2000}});
    const system_boot_clock clock;
    const auto old_timeout_passed = clock.now() + milliseconds{600};
    BOOST_REQUIRE(until([&] { return clock.now() >= old_timeout_passed; }));
    BOOST_TEST(server->connections() == 1U);
}
