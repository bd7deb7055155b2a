#include "libraries/http/client.hpp"
#include "tests/http/endless_answers.hpp"
#include "tests/http/loop.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::http_test;

namespace
{

constexpr std::size_t bytes_per_turn = 16384;

// Servers that each send `start`, then `repeated` without end.
struct fixture {
    shell::base_handle base = client::make_event_base();
    raw_listener listener;
    std::size_t opened = 0;
    std::size_t answered = 0;
    std::vector<error> closed;
    http::client client;
    std::vector<std::unique_ptr<raw_socket>> servers;

    explicit fixture(const http::size_limits& limits)
        : client(base.get(), limits, "Id",
                 {[this](connection_id) { ++opened; },
                  [this](connection_id, const http::response&, bool) {
                      ++answered;
                  },
                  [this](connection_id, error cause) {
                      closed.push_back(std::move(cause));
                  }})
    {
    }

    void ask(std::size_t connections)
    {
        for (std::size_t i = 1; i <= connections; ++i) {
            client.open(connection_id{i}, listener.address());
            BOOST_REQUIRE(run_until(base.get(), [&] {
                const int accepted =
                    servers.size() < i ? listener.accept() : -1;
                if (accepted >= 0) {
                    servers.push_back(std::make_unique<raw_socket>(accepted));
                }
                return opened == i && servers.size() == i;
            }));
            client.send(connection_id{i},
                        http::request{"GET", "/", {{"Id", "r2"}}});
        }
    }

    // Sends until a connection is closed or `most` bytes were sent by each
    // server. Returns the bytes that the first server sent.
    std::size_t send_without_end(const std::string& start,
                                 const std::string& repeated, std::size_t most)
    {
        std::vector<std::string> rest(servers.size(), start);
        std::vector<std::size_t> sent(servers.size(), 0);
        run_until(base.get(), [&] {
            bool more = false;
            for (std::size_t i = 0; i < servers.size(); ++i) {
                while (rest[i].size() < bytes_per_turn) {
                    rest[i] += repeated;
                }
                if (sent[i] < most) {
                    const auto size = servers[i]->send(rest[i]);
                    rest[i].erase(0, size);
                    sent[i] += size;
                    more = true;
                }
            }
            return !closed.empty() || !more;
        });
        // Lets the client read what was sent last.
        run_until(base.get(), [&, turns = 0]() mutable {
            return !closed.empty() || ++turns > 500;
        });
        return sent.front();
    }
};

} // namespace

// Bytes without end that are no answer were kept, or skipped, for as long as
// the owner let the connection stay open.
BOOST_AUTO_TEST_CASE(answers_without_end_close_the_connection)
{
    constexpr std::size_t most = 4UL * 1024 * 1024;
    for (const auto& each : test::endless_answers) {
        BOOST_TEST_CONTEXT(each.what)
        {
            fixture test{{1024, 65536}};
            test.ask(1);
            const auto sent =
                test.send_without_end(each.start, each.repeated, most);
            BOOST_TEST(test.closed.size() == 1U);
            BOOST_TEST(sent < most);
            BOOST_TEST(test.answered == 0U);
            for (const auto& cause : test.closed) {
                BOOST_TEST(
                    (cause.detail.find("expected") != std::string::npos));
                BOOST_TEST((cause.detail.find("found") != std::string::npos));
            }
        }
    }
}

// Each connection stays within its own limits here, but all of them together
// held as much as there were connections.
BOOST_AUTO_TEST_CASE(many_unfinished_answers_are_bounded_together)
{
    constexpr std::size_t each_sends = 1024UL * 1024;
    fixture test{{1024, 8UL * 1024 * 1024}};
    test.ask(40);
    test.send_without_end("HTTP/1.1 200 OK\r\nId: r2\r\n\r\n", "a", each_sends);
    BOOST_TEST(!test.closed.empty());
    BOOST_TEST(test.answered == 0U);
}

// A valid answer may be split into chunks of one byte and have trailers, and
// follow some interim and late answers.
BOOST_AUTO_TEST_CASE(large_valid_answers_are_still_accepted)
{
    std::string bytes;
    for (int i = 0; i < 4; ++i) {
        bytes += "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\n"
                 "Content-Length: 1\r\n\r\na";
    }
    bytes += test::chunked_answer;
    for (int i = 0; i < 65536; ++i) {
        bytes += "1\r\na\r\n";
    }
    bytes += "0\r\nA: " + std::string(900, 'b') + "\r\n\r\n";
    fixture test{{1024, 65536}};
    test.ask(1);
    BOOST_TEST(run_until(test.base.get(), [&] {
        bytes.erase(0, test.servers.front()->send(bytes));
        return test.answered == 1 || !test.closed.empty();
    }));
    BOOST_TEST(test.answered == 1U);
    BOOST_TEST(test.closed.empty());
}
