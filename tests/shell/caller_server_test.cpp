#include "libraries/shell/caller_server.hpp"
#include "tests/http/loop.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::http_test;

namespace
{

constexpr std::size_t large = 8UL * 1024 * 1024;

// A server that is sending a large answer when it is told to finish.
struct finishing_server {
    shell::base_handle base = client::make_event_base();
    std::vector<bulrushspring::event> posted;
    std::unique_ptr<shell::caller_server> server;
    std::unique_ptr<raw_socket> caller;
    bool finished = false;

    finishing_server()
    {
        const shell::sink out{[this](bulrushspring::event what) {
                                  posted.push_back(std::move(what));
                              },
                              [](const error&) {}, nullptr};
        server = shell::caller_server::listen(base.get(), {0x7F000001, 0}, out)
                     .value();
        caller = std::make_unique<raw_socket>(connect_to(server->address()));
        caller->send("POST /v1/query/jc HTTP/1.1\r\nHost: h\r\n"
                     "Bulrushspring-Request-Id: r1\r\n"
                     "Content-Length: 0\r\n\r\n");
        BOOST_REQUIRE(until([this] { return posted.size() == 1; }));
        caller_answer answer;
        answer.status = answer_status::answered;
        answer.body.assign(large, 'x');
        const auto token =
            std::get<caller_request_received>(posted.front()).token;
        server->carry_out(answer_caller{token, answer});
    }

    void finish()
    {
        server->finish([this] { finished = true; });
    }

    bool until(const std::function<bool()>& holds)
    {
        return run_until(base.get(), holds);
    }
};

} // namespace

// LOST: the process ended in the turn of the event loop that made the last
// answer, of which only the first bytes were sent.
BOOST_FIXTURE_TEST_CASE(finishing_sends_the_last_answer_completely,
                        finishing_server)
{
    finish();
    BOOST_TEST(until([this] {
        if (!finished) {
            caller->receive();
        }
        return finished;
    }));
    BOOST_TEST(until([this] {
        caller->receive();
        return caller->received.size() > large;
    }));
}

// A caller that leaves while its answer is sent was counted as unsent forever,
// so that the end of the process waited for it.
BOOST_FIXTURE_TEST_CASE(finishing_does_not_wait_for_callers_that_have_left,
                        finishing_server)
{
    caller->reset();
    finish();
    BOOST_TEST(until([this] { return finished; }));
}
