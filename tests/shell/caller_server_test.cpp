#include "libraries/shell/caller_server.hpp"
#include "tests/http/loop.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::http_test;

// LOST: the process ended in the turn of the event loop that made the last
// answer, of which only the first bytes were sent.
BOOST_AUTO_TEST_CASE(finishing_sends_the_last_answer_completely)
{
    const auto base = client::make_event_base();
    std::vector<bulrushspring::event> posted;
    const shell::sink out{
        [&](bulrushspring::event what) { posted.push_back(std::move(what)); },
        [](const error&) {}, nullptr};
    const auto server =
        shell::caller_server::listen(base.get(), {0x7F000001, 0}, out).value();
    raw_socket caller(connect_to(server->address()));
    caller.send("POST /v1/query/jc HTTP/1.1\r\nHost: h\r\n"
                "Bulrushspring-Request-Id: r1\r\nContent-Length: 0\r\n\r\n");
    BOOST_REQUIRE(run_until(base.get(), [&] { return posted.size() == 1; }));
    constexpr std::size_t large = 8UL * 1024 * 1024;
    caller_answer answer;
    answer.status = answer_status::answered;
    answer.body.assign(large, 'x');
    const auto token = std::get<caller_request_received>(posted.front()).token;
    server->carry_out(answer_caller{token, answer});
    bool finished = false;
    server->finish([&] { finished = true; });
    BOOST_TEST(run_until(base.get(), [&] {
        if (!finished) {
            caller.receive();
        }
        return finished;
    }));
    BOOST_TEST(run_until(base.get(), [&] {
        caller.receive();
        return caller.received.size() > large;
    }));
}

// A caller that leaves while its answer is sent was counted as unsent forever,
// so that the end of the process waited for it.
BOOST_AUTO_TEST_CASE(finishing_does_not_wait_for_callers_that_have_left)
{
    const auto base = client::make_event_base();
    std::vector<bulrushspring::event> posted;
    const shell::sink out{
        [&](bulrushspring::event what) { posted.push_back(std::move(what)); },
        [](const error&) {}, nullptr};
    const auto server =
        shell::caller_server::listen(base.get(), {0x7F000001, 0}, out).value();
    raw_socket caller(connect_to(server->address()));
    caller.send("POST /v1/query/jc HTTP/1.1\r\nHost: h\r\n"
                "Bulrushspring-Request-Id: r1\r\nContent-Length: 0\r\n\r\n");
    BOOST_REQUIRE(run_until(base.get(), [&] { return posted.size() == 1; }));
    caller_answer answer;
    answer.status = answer_status::answered;
    answer.body.assign(8UL * 1024 * 1024, 'x');
    const auto token = std::get<caller_request_received>(posted.front()).token;
    server->carry_out(answer_caller{token, answer});
    caller.reset();
    bool finished = false;
    server->finish([&] { finished = true; });
    BOOST_TEST(run_until(base.get(), [&] { return finished; }));
}
