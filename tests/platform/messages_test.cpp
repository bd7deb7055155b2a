#include "platform/messages.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;

namespace
{

const gateway_shell::protocol spoken = platform::make_protocol();

http::request sample_request()
{
    return {"POST",
            "/a/b?c=d",
            {{"Host", "h"},
             {"Attempt-Id", "r1"},
             {"Deadline-Ms", "400"},
             {"X-Own", "1"},
             {"Connection", "X-Hop"},
             {"X-Hop", "2"},
             {"Target-Instance", "forged"}},
            "body"};
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_is_passed_on_whole)
{
    const auto read = spoken.read_request(sample_request());
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read.value()->time_left == milliseconds{400}));
    const auto written = spoken.write_leaf_request(
        {connection_id{1}, read.value(), "leaf-1", milliseconds{250}});
    BOOST_TEST(written.method == "POST");
    BOOST_TEST(written.target == "/a/b?c=d");
    BOOST_TEST(written.body == "body");
    BOOST_TEST(http::value_of(written.headers, "attempt-id") == "r1");
    BOOST_TEST(http::value_of(written.headers, "deadline-ms") == "250");
    BOOST_TEST(http::value_of(written.headers, "x-own") == "1");
    BOOST_TEST(http::count_of(written.headers, "x-hop") == 0U);
    BOOST_TEST(http::count_of(written.headers, "target-instance") == 1U);
    BOOST_TEST(http::value_of(written.headers, "target-instance") == "leaf-1");
}

BOOST_AUTO_TEST_CASE(requests_without_one_id_are_malformed)
{
    auto none = sample_request();
    none.headers[1].name = "Other";
    BOOST_TEST(!spoken.read_request(none).has_value());
    auto two = sample_request();
    two.headers.push_back({"Attempt-Id", "r2"});
    BOOST_TEST(!spoken.read_request(two).has_value());
    auto odd = sample_request();
    odd.headers[2].value = "soon";
    BOOST_TEST(!spoken.read_request(odd).has_value());
}

BOOST_AUTO_TEST_CASE(verdicts_have_the_statuses_that_keep_their_promise)
{
    const std::vector<std::pair<gateway::verdict, unsigned>> statuses = {
        {gateway::verdict::merged, 200},    {gateway::verdict::no_route, 404},
        {gateway::verdict::not_run, 503},   {gateway::verdict::failed, 502},
        {gateway::verdict::timed_out, 504},
    };
    for (const auto& [what, status] : statuses) {
        gateway::forward_answer answer;
        answer.what = what;
        BOOST_TEST(spoken.write_answer(answer).status == status);
    }
    gateway::forward_answer refused;
    refused.what = gateway::verdict::not_run;
    refused.retry_after = milliseconds{50};
    BOOST_TEST(http::value_of(spoken.write_answer(refused).headers,
                              "retry-after") == "0.050");
}

BOOST_AUTO_TEST_CASE(merged_answers_name_their_parts)
{
    gateway::forward_answer answer;
    answer.what = gateway::verdict::merged;
    answer.seals = {"s1", "s2"};
    answer.missing = 1;
    const auto written = spoken.write_answer(answer);
    BOOST_TEST(http::value_of(written.headers, "part-stamps") == "s1, s2");
    BOOST_TEST(http::value_of(written.headers, "missing-parts") == "1");
}

BOOST_AUTO_TEST_CASE(a_leafs_answer_is_read)
{
    const auto reply = spoken.read_reply({503,
                                          "Service Unavailable",
                                          {{"Not-Executed", "1"},
                                           {"Keep-Alive", "timeout=5, max=9"},
                                           {"Content-Length", "0"}},
                                          ""});
    BOOST_TEST(reply.not_run);
    BOOST_TEST((reply.idle_timeout == seconds{5}));
    BOOST_TEST(http::count_of(reply.headers, "content-length") == 0U);
    BOOST_TEST(http::count_of(reply.headers, "keep-alive") == 0U);
}
