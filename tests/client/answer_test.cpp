#include "libraries/client/answer.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bulrushspring;

BOOST_AUTO_TEST_CASE(answer_survives_a_round_trip)
{
    caller_answer answer;
    answer.status = answer_status::partial;
    answer.run = execution::ran;
    answer.request_id = "r1";
    answer.snapshot = 17;
    answer.shards = 10;
    answer.missing = {{7, missing_reason::timed_out}};
    answer.body = "0.93\tTable 4\n";
    BOOST_TEST(client::covered_text(answer) == "0-6,8-9");
    const auto parsed =
        client::parse_answer({206, {}, client::answer_json(answer)});
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value().body == answer.body);
    BOOST_TEST((parsed.value().missing == answer.missing));
    BOOST_TEST(!client::parse_answer({200, {}, client::answer_json(answer)})
                    .has_value());
}

namespace
{

std::string valid_answer()
{
    caller_answer answer;
    answer.status = answer_status::partial;
    answer.run = execution::ran;
    answer.request_id = "r1";
    answer.snapshot = 17;
    answer.shards = 10;
    answer.missing = {{7, missing_reason::timed_out}};
    answer.body = "0.93\tTable 4\n";
    return client::answer_json(answer);
}

} // namespace

BOOST_AUTO_TEST_CASE(damaged_answers_are_refused_or_still_consistent)
{
    BOOST_TEST(rc::check("bytes changed and cut at random", [] {
        auto text = valid_answer();
        const auto changes = *rc::gen::inRange(0, 4);
        for (int i = 0; i < changes; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
            text[at] = *rc::gen::arbitrary<char>();
        }
        if (*rc::gen::arbitrary<bool>()) {
            text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
        }
        const auto status =
            *rc::gen::element(0, 200, 206, 400, 409, 502, 503, 504, 999);
        const auto parsed = client::parse_answer({status, {}, text});
        if (parsed.has_error()) {
            return;
        }
        const auto& answer = parsed.value();
        RC_ASSERT(answer.missing.size() <= answer.shards);
        RC_ASSERT(status != 200 || answer.missing.empty());
    }));
}

BOOST_AUTO_TEST_CASE(inconsistent_answers_are_refused)
{
    const auto refused = [](int status, const std::string& text) {
        return client::parse_answer({status, {}, text}).has_error();
    };
    const auto replaced = [](std::string_view from, std::string_view to) {
        auto text = valid_answer();
        const auto at = text.find(from);
        BOOST_TEST_REQUIRE(at != std::string::npos);
        return text.replace(at, from.size(), to);
    };
    BOOST_TEST(!refused(206, valid_answer()));
    BOOST_TEST(refused(200, valid_answer()));
    BOOST_TEST(refused(503, valid_answer()));
    BOOST_TEST(refused(206, replaced("0-6,8-9", "0-9")));
    BOOST_TEST(refused(206, replaced("\"shard\":7", "\"shard\":10")));
    BOOST_TEST(refused(206, replaced("\"shards\":10", "\"shards\":-1")));
    BOOST_TEST(refused(206, replaced("\"shards\":10", "\"shards\":1e9")));
    BOOST_TEST(refused(206, replaced("timed_out", "no reason")));
    BOOST_TEST(
        refused(206, replaced("\"run\":\"ran\"", "\"run\":\"not_run\"")));
    BOOST_TEST(refused(206, replaced("\"r1\"", "1")));
    BOOST_TEST(refused(206, std::string(100'000, '[')));
    BOOST_TEST(refused(206, ""));
    BOOST_TEST(refused(503, "[]"));
}

BOOST_AUTO_TEST_CASE(malformed_address_answers_are_refused)
{
    const auto refused = [](const std::string& text) {
        return client::parse_addresses({200, {}, text}).has_error();
    };
    const std::string good = R"({"entries":[{"name":"a","data_centre":"b",
        "address":"10.0.0.1:7001"}],"hold_ms":10,"grant":"g"})";
    BOOST_TEST(!refused(good));
    BOOST_TEST(client::parse_addresses({503, {}, good}).has_error());
    BOOST_TEST(refused(R"({"entries":{}})"));
    BOOST_TEST(refused(R"({"entries":[1]})"));
    BOOST_TEST(refused(R"({"entries":[{"address":"host:1"}]})"));
    BOOST_TEST(refused(R"({"entries":[],"hold_ms":-5})"));
    BOOST_TEST(refused(R"({"entries":[],"hold_ms":99999999999})"));
    BOOST_TEST(refused(R"({"entries":[],"grant":7})"));
    std::string many = R"({"entries":[)";
    for (std::size_t i = 0; i <= client::max_entries; ++i) {
        many += R"({"address":"10.0.0.1:1"},)";
    }
    many.back() = ']';
    BOOST_TEST(refused(many + "}"));
}
