#include "libraries/http/client.hpp"
#include "tests/http/loop.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::http_test;

namespace
{

constexpr connection_id the_connection{1};

// A client whose one connection goes to a raw socket.
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
         [this](connection_id, http::response answer, bool again) {
             answers.push_back(std::move(answer));
             reusable.push_back(again);
         },
         [this](connection_id, error cause) {
             closed.push_back(std::move(cause));
         }}};
    std::unique_ptr<raw_socket> leaf;

    // Opens the connection and sends a request with the id "r2".
    void ask()
    {
        client.open(the_connection, listener.address());
        BOOST_REQUIRE(until([&] {
            const int accepted = leaf ? -1 : listener.accept();
            if (accepted >= 0) {
                leaf = std::make_unique<raw_socket>(accepted);
            }
            return opened && leaf;
        }));
        client.send(the_connection, http::request{"GET", "/", {{"Id", "r2"}}});
        BOOST_REQUIRE(until([&] {
            leaf->take();
            return leaf->received.find("\r\n\r\n") != std::string::npos;
        }));
    }

    bool until(const std::function<bool()>& holds)
    {
        return turn_until(base.get(), holds);
    }
};

struct broken_case {
    const char* what;
    std::string bytes;
    bool by_reset; // how the connection then ends
};

const std::vector<broken_case> broken_cases = {
    {"less than its length",
     "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 9\r\n\r\nabc", false},
    {"no length, ended by a reset", "HTTP/1.1 200 OK\r\nId: r2\r\n\r\nabc",
     true},
    {"nothing at all", "", false},
    {"bytes that are no answer", "nonsense\r\n\r\n", false},
    {"switched protocols", "HTTP/1.1 101 Switching\r\n\r\n", false},
    {"only another's answer",
     "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 1\r\n\r\na", false},
    {"another's answer without a length",
     "HTTP/1.1 200 OK\r\nId: r1\r\n\r\nabc", false},
    {"a body over the limit",
     "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 65\r\n\r\n", false},
};

const std::string good =
    "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 2\r\n\r\nab";

} // namespace

BOOST_AUTO_TEST_CASE(broken_answers_reach_nobody)
{
    for (const auto& each : broken_cases) {
        fixture test;
        test.ask();
        test.leaf->send(each.bytes);
        // What was sent has to be read before a reset discards it.
        test.until([&] { return !test.closed.empty(); }) ||
            (each.by_reset ? test.leaf->reset() : test.leaf->close(), true);
        BOOST_TEST(test.until([&] { return test.closed.size() == 1; }),
                   each.what);
        BOOST_TEST(test.answers.empty(), each.what);
    }
}

BOOST_FIXTURE_TEST_CASE(an_answer_without_a_length_ends_with_its_connection,
                        fixture)
{
    ask();
    leaf->send("HTTP/1.1 200 OK\r\nId: r2\r\n\r\nabc");
    leaf->close();
    BOOST_TEST(until([&] { return answers.size() == 1; }));
    BOOST_TEST(answers[0].body == "abc");
    BOOST_TEST(!reusable[0]);
}

BOOST_FIXTURE_TEST_CASE(a_late_answer_to_an_earlier_request_is_dropped, fixture)
{
    ask();
    leaf->send("HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 1\r\n\r\nx" +
               good);
    BOOST_TEST(until([&] { return answers.size() == 1; }));
    BOOST_TEST(answers[0].body == "ab");
    BOOST_TEST(reusable[0]);
}

BOOST_FIXTURE_TEST_CASE(an_interim_answer_is_not_the_answer, fixture)
{
    ask();
    leaf->send("HTTP/1.1 102 Processing\r\n\r\n" + good);
    BOOST_TEST(until([&] { return answers.size() == 1; }));
    BOOST_TEST(answers[0].status == 200U);
}

BOOST_FIXTURE_TEST_CASE(bytes_behind_an_answer_end_the_connection, fixture)
{
    ask();
    leaf->send(good + good);
    BOOST_TEST(until([&] { return answers.size() == 1; }));
    BOOST_TEST(!reusable[0]);
}

BOOST_FIXTURE_TEST_CASE(bytes_without_a_request_end_the_connection, fixture)
{
    ask();
    leaf->send(good);
    BOOST_REQUIRE(until([&] { return answers.size() == 1; }));
    BOOST_TEST(reusable[0]);
    leaf->send(good);
    BOOST_TEST(until([&] { return closed.size() == 1; }));
    BOOST_TEST(answers.size() == 1U);
}
