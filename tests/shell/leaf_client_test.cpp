#include "libraries/shell/leaf_client.hpp"
#include "tests/http/loop.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::http_test;

namespace
{

// A connection of a leaf client to a leaf that the test plays.
struct leaf_fixture {
    static constexpr connection_id connection{1};
    shell::base_handle base = client::make_event_base();
    metrics::registry metrics;
    memory::account account;
    std::vector<bulrushspring::event> posted;
    raw_listener listener;
    std::unique_ptr<raw_socket> leaf;
    shell::leaf_client client{base.get(), "vm-1-",
                              shell::sink{[this](bulrushspring::event what) {
                                              posted.push_back(std::move(what));
                                          },
                                          [](const error&) {}, &metrics,
                                          &account}};

    leaf_fixture()
    {
        client.carry_out(
            open_connection{connection, "i-1", listener.address(), seconds{1}});
        BOOST_REQUIRE(run_until(base.get(), [&] {
            const int accepted = leaf ? -1 : listener.accept();
            if (accepted >= 0) {
                leaf = std::make_unique<raw_socket>(accepted);
            }
            return leaf && received("GET /v1/probe");
        }));
        leaf->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        BOOST_REQUIRE(take<connection_opened>());
    }

    bool received(const std::string& text)
    {
        leaf->receive();
        return leaf->received.find(text) != std::string::npos;
    }

    // Waits for the next event, which has to be of this type.
    template <typename Event>
    std::optional<Event> take()
    {
        if (!run_until(base.get(), [&] { return !posted.empty(); })) {
            return std::nullopt;
        }
        const auto first = std::move(posted.front());
        posted.erase(posted.begin());
        const auto* found = std::get_if<Event>(&first);
        return found == nullptr ? std::nullopt : std::optional<Event>(*found);
    }

    void send_work(std::uint64_t attempt, bool idempotent = true)
    {
        leaf_request work;
        work.request_id = "r";
        work.service = "find";
        work.time_left = seconds{5};
        work.idempotent = idempotent;
        client.carry_out(
            send_to_leaf{connection, attempt_id{attempt}, std::move(work)});
        BOOST_REQUIRE(run_until(base.get(), [&] {
            return received("Bulrushspring-Attempt: vm-1-" +
                            std::to_string(attempt) + "\r\n");
        }));
    }

    static std::string answer_to(std::uint64_t attempt,
                                 const std::string& further_header = "")
    {
        return "HTTP/1.1 200 OK\r\nBulrushspring-Attempt: vm-1-" +
               std::to_string(attempt) +
               "\r\nBulrushspring-Snapshot: 1\r\nBulrushspring-Shard: 0\r\n" +
               further_header + "Content-Length: 2\r\n\r\nok";
    }
};

} // namespace

// A second copy of an answer, sent late, is not taken for the answer to the
// next request.
BOOST_FIXTURE_TEST_CASE(a_late_answer_is_dropped, leaf_fixture)
{
    send_work(1, false);
    leaf->send(answer_to(1));
    BOOST_REQUIRE(take<leaf_answered>());
    send_work(2, false);
    leaf->send(answer_to(1) + answer_to(2));
    const auto answered = take<leaf_answered>();
    BOOST_REQUIRE(answered.has_value());
    BOOST_TEST((answered->attempt == attempt_id{2}));
    BOOST_TEST(answered->answer.body == "ok");
    BOOST_TEST(account.reserved > 0U);
}

// An answer that names no attempt can't be matched with its request: its
// outcome is unknown.
BOOST_FIXTURE_TEST_CASE(an_answer_without_its_attempt_ends_the_connection,
                        leaf_fixture)
{
    send_work(1, false);
    leaf->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    const auto failed = take<leaf_failed>();
    BOOST_REQUIRE(failed.has_value());
    BOOST_TEST(failed->sent);
    BOOST_TEST(failed->cause.code == make_error_code(errc::malformed));
    BOOST_TEST(failed->cause.peer == "i-1");
    BOOST_TEST(take<connection_closed>().has_value());
}

// A request that is sent just when the leaf has closed its connection was
// certainly not run.
BOOST_FIXTURE_TEST_CASE(nothing_is_sent_after_a_closing_answer, leaf_fixture)
{
    send_work(1);
    leaf->send(answer_to(1, "Connection: close\r\n"));
    BOOST_REQUIRE(take<leaf_answered>());
    const auto closed = take<connection_closed>();
    BOOST_REQUIRE(closed.has_value());
    BOOST_TEST(closed->cause.code == make_error_code(errc::closed));
    client.carry_out(send_to_leaf{connection, attempt_id{2}, {}});
    const auto failed = take<leaf_failed>();
    BOOST_REQUIRE(failed.has_value());
    BOOST_TEST(!failed->sent);
}

// A cancellation that is not answered holds up later requests for a second at
// most.
BOOST_FIXTURE_TEST_CASE(an_unanswered_cancellation_times_out, leaf_fixture)
{
    client.carry_out(cancel_at_leaf{connection, attempt_id{7}});
    BOOST_REQUIRE(run_until(
        base.get(), [&] { return received("DELETE /v1/work/vm-1-7 "); }));
    client.carry_out(send_to_leaf{connection, attempt_id{8}, {}});
    const auto failed = take<leaf_failed>();
    BOOST_REQUIRE(failed.has_value());
    BOOST_TEST(!failed->sent);
    const auto closed = take<connection_closed>();
    BOOST_REQUIRE(closed.has_value());
    BOOST_TEST(closed->cause.code == make_error_code(errc::timed_out));
}
