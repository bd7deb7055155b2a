#include "libraries/http/client.hpp"
#include "tests/http/loop.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::http_test;

namespace
{

constexpr connection_id only_connection{1};

// A client with one connection, whose other end is a raw socket.
struct fixture {
    shell::base_handle base = client::make_event_base();
    raw_listener listener;
    std::vector<http::response> answers;
    std::vector<bool> reusable;
    std::vector<error> closed;
    bool opened = false;
    http::client client{
        base.get(),
        {512, 64},
        "Id",
        {[this](connection_id) { opened = true; },
         [this](connection_id, http::response answer, bool is_reusable) {
             answers.push_back(std::move(answer));
             reusable.push_back(is_reusable);
         },
         [this](connection_id, error cause) {
             closed.push_back(std::move(cause));
         }}};
    std::unique_ptr<raw_socket> leaf;

    // Opens the connection and sends a request with the correlation id "r2".
    void ask()
    {
        client.open(only_connection, listener.address());
        BOOST_REQUIRE(until([&] {
            const int accepted = leaf ? -1 : listener.accept();
            if (accepted >= 0) {
                leaf = std::make_unique<raw_socket>(accepted);
            }
            return opened && leaf;
        }));
        client.send(only_connection, http::request{"GET", "/", {{"Id", "r2"}}});
        BOOST_REQUIRE(until([&] {
            leaf->receive();
            return leaf->received.find("\r\n\r\n") != std::string::npos;
        }));
    }

    bool until(const std::function<bool()>& holds)
    {
        return run_until(base.get(), holds);
    }
};

struct invalid_case {
    const char* what;
    std::string bytes;
    bool by_reset; // whether the connection ends by a reset
};

const std::vector<invalid_case> invalid_cases = {
    {"body shorter than its length",
     "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 9\r\n\r\nabc", false},
    {"no length, connection reset", "HTTP/1.1 200 OK\r\nId: r2\r\n\r\nabc",
     true},
    {"no bytes", "", false},
    {"not HTTP", "nonsense\r\n\r\n", false},
    {"switched protocols", "HTTP/1.1 101 Switching\r\n\r\n", false},
    {"only an answer to another request",
     "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 1\r\n\r\na", false},
    {"answer to another request, without a length",
     "HTTP/1.1 200 OK\r\nId: r1\r\n\r\nabc", false},
    {"body over the limit",
     "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 65\r\n\r\n", false},
};

const std::string valid_answer =
    "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 2\r\n\r\nab";

} // namespace

BOOST_AUTO_TEST_CASE(invalid_answers_are_never_delivered)
{
    for (const auto& each : invalid_cases) {
        fixture test;
        test.ask();
        test.leaf->send(each.bytes);
        // A reset discards unread data, so the client first gets the time to
        // read and reject the bytes; they may already close the connection.
        test.until([&] { return !test.closed.empty(); }) ||
            (each.by_reset ? test.leaf->reset() : test.leaf->close(), true);
        BOOST_TEST(test.until([&] { return test.closed.size() == 1; }),
                   each.what);
        BOOST_TEST(test.answers.empty(), each.what);
    }
}

// MIXED: a leaf that stopped in the middle of its head and closed was taken for
// one whose answer has no body.
BOOST_AUTO_TEST_CASE(an_answer_that_ends_inside_its_head_is_not_delivered)
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: r2\r\nSeal: s\r\n\r\n";
    for (std::size_t sent = 1; sent < head.size(); ++sent) {
        fixture test;
        test.ask();
        test.leaf->send(head.substr(0, sent));
        test.leaf->close();
        BOOST_TEST(test.until([&] { return test.closed.size() == 1; }), sent);
        BOOST_TEST(test.answers.empty(), sent);
    }
}

// MIXED: an answer of status 000 that ended with its connection was delivered.
// Ended in another way, it was taken for an interim answer, and the proper one
// was awaited until the request's time was up.
BOOST_AUTO_TEST_CASE(an_answer_with_an_invalid_status_fails_at_once)
{
    constexpr milliseconds at_once{1000};
    const std::vector<std::string> endings = {
        "Content-Length: 2\r\n\r\nab",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "\r\n",   // no body, and the connection stays open
        "\r\nab", // ends with the connection
        "Content-Length: 9\r\n\r\nab",
    };
    for (const auto* status : {"000", "001", "099", "600", "999"}) {
        for (const auto& ending : endings) {
            fixture test;
            test.ask();
            const system_boot_clock clock;
            const auto sent_at = clock.now();
            test.leaf->send("HTTP/1.1 " + std::string(status) +
                            " Odd\r\nId: r2\r\n" + ending);
            if (ending == endings[3]) {
                test.leaf->close();
            }
            BOOST_TEST_CONTEXT(status << " " << ending)
            {
                BOOST_TEST(test.until([&] {
                    return !test.closed.empty() || !test.answers.empty();
                }));
                BOOST_TEST((clock.now() - sent_at < at_once));
                BOOST_TEST(test.answers.empty());
            }
        }
    }
}

BOOST_FIXTURE_TEST_CASE(
    answer_without_a_length_is_completed_by_the_end_of_the_connection, fixture)
{
    ask();
    leaf->send("HTTP/1.1 200 OK\r\nId: r2\r\n\r\nabc");
    leaf->close();
    BOOST_TEST(until([&] { return answers.size() == 1; }));
    BOOST_TEST(answers[0].body == "abc");
    BOOST_TEST(!reusable[0]);
}

BOOST_FIXTURE_TEST_CASE(late_answer_to_an_earlier_request_is_dropped, fixture)
{
    ask();
    leaf->send("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 1\r\n\r\nx" +
               valid_answer);
    BOOST_TEST(until([&] { return answers.size() == 1; }));
    BOOST_TEST(answers[0].body == "ab");
    BOOST_TEST(reusable[0]);
}

BOOST_FIXTURE_TEST_CASE(interim_answer_is_skipped, fixture)
{
    ask();
    leaf->send("HTTP/1.1 102 Processing\r\n\r\n" + valid_answer);
    BOOST_TEST(until([&] { return answers.size() == 1; }));
    BOOST_TEST(answers[0].status == 200U);
}

BOOST_FIXTURE_TEST_CASE(trailing_bytes_make_the_connection_unusable, fixture)
{
    ask();
    leaf->send(valid_answer + valid_answer);
    BOOST_TEST(until([&] { return answers.size() == 1; }));
    BOOST_TEST(!reusable[0]);
}

BOOST_FIXTURE_TEST_CASE(unsolicited_answer_closes_the_connection, fixture)
{
    ask();
    leaf->send(valid_answer);
    BOOST_REQUIRE(until([&] { return answers.size() == 1; }));
    BOOST_TEST(reusable[0]);
    leaf->send(valid_answer);
    BOOST_TEST(until([&] { return closed.size() == 1; }));
    BOOST_TEST(answers.size() == 1U);
}
