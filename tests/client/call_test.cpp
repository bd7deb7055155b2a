#include "tests/client/model_entries.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bulrushspring;
using namespace bulrushspring::tests;
using manifest::service_kind;

namespace
{

std::string header_of(const model_entries::sent_request& sent,
                      std::string_view name)
{
    const client::http_response headers{0, sent.request.headers, ""};
    return std::string(client::header_of(headers, name));
}

client::call_outcome ask_once(model_entries& model, service_kind kind)
{
    auto book = model.book();
    return client::run_call(book, model.transport(), make_call(kind, "r1"));
}

} // namespace

BOOST_AUTO_TEST_CASE(request_runs_at_most_once_and_its_outcome_is_correct)
{
    BOOST_TEST(rc::check("any faults, several calls of one client", [] {
        const auto count = static_cast<int>(fault::fault_count);
        model_entries model(*rc::gen::inRange(1, 4));
        const auto numbers =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, count));
        for (const int number : numbers) {
            model.faults.push_back(static_cast<fault>(number));
        }
        auto book = model.book();
        const bool binds = *rc::gen::arbitrary<bool>();
        for (const auto* id : {"r1", "r2", "r3"}) {
            auto what = make_call(service_kind::request, id);
            what.bind_id = binds;
            const auto outcome =
                client::run_call(book, model.transport(), what);
            const auto run = outcome.answer.run;
            RC_ASSERT(model.executions[id] <= 1);
            RC_ASSERT(run != execution::not_run || model.executions[id] == 0);
            RC_ASSERT(run != execution::ran || model.executions[id] == 1);
            RC_ASSERT(outcome.reached || run == execution::not_run);
        }
    }));
}

BOOST_AUTO_TEST_CASE(grant_is_sent_only_to_the_entry_that_issued_it)
{
    BOOST_TEST(rc::check("any faults", [] {
        const auto count = static_cast<int>(fault::fault_count);
        model_entries model(3);
        const auto numbers =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, count));
        for (const int number : numbers) {
            model.faults.push_back(static_cast<fault>(number));
        }
        ask_once(model, service_kind::request);
        for (const auto& sent : model.log) {
            const auto grant = header_of(sent, "Bulrushspring-Grant");
            RC_ASSERT(grant.empty() ||
                      grant.find("." + to_string(sent.to) + "/") != grant.npos);
        }
    }));
}

BOOST_AUTO_TEST_CASE(lost_answer_is_fetched_from_the_same_entry)
{
    model_entries model(3);
    model.faults = {fault::none, fault::lost_answer};
    const auto outcome = ask_once(model, service_kind::request);
    BOOST_TEST((outcome.answer.status == answer_status::answered));
    BOOST_TEST(outcome.caller_attempts == 2U);
    BOOST_TEST(model.executions["r1"] == 1);
    BOOST_TEST_REQUIRE(model.log.size() == 3U);
    BOOST_TEST((model.log[1].to == model.log[2].to));
    BOOST_TEST(header_of(model.log[1], "Bulrushspring-Sending") == "1");
    BOOST_TEST(header_of(model.log[2], "Bulrushspring-Sending") == "2");
}

BOOST_AUTO_TEST_CASE(restart_after_a_lost_answer_leaves_the_outcome_unknown)
{
    model_entries model(3);
    model.faults = {fault::none, fault::lost_answer, fault::restarted};
    const auto outcome = ask_once(model, service_kind::request);
    BOOST_TEST((outcome.answer.run == execution::unknown));
    BOOST_TEST(model.executions["r1"] == 1);
}

BOOST_AUTO_TEST_CASE(restart_before_the_request_costs_one_fresh_grant)
{
    model_entries model(3);
    model.faults = {fault::none, fault::restarted};
    const auto outcome = ask_once(model, service_kind::request);
    BOOST_TEST((outcome.answer.status == answer_status::answered));
    BOOST_TEST(header_of(model.log.back(), "Bulrushspring-Sending") == "1");
}

BOOST_AUTO_TEST_CASE(repeat_of_an_earlier_run_never_renews_its_grant)
{
    model_entries model(1);
    auto book = model.book();
    auto what = make_call(service_kind::request, "r1");
    what.first_caller_attempt = 2;
    model.faults = {fault::none, fault::restarted};
    const auto outcome = client::run_call(book, model.transport(), what);
    BOOST_TEST((outcome.answer.run == execution::unknown));
    BOOST_TEST(model.executions["r1"] == 0);
}

BOOST_AUTO_TEST_CASE(lost_request_is_run_if_its_id_is_bound_to_the_grant)
{
    for (const bool binds : {false, true}) {
        model_entries model(2);
        auto book = model.book();
        auto what = make_call(service_kind::request, "r1");
        what.bind_id = binds;
        model.faults = {fault::none, fault::lost_request};
        const auto outcome = client::run_call(book, model.transport(), what);
        BOOST_TEST((outcome.answer.run ==
                    (binds ? execution::ran : execution::unknown)));
        BOOST_TEST(model.executions["r1"] == (binds ? 1 : 0));
    }
}

BOOST_AUTO_TEST_CASE(fresh_grant_gives_a_bound_request_a_new_id)
{
    model_entries model(2);
    auto book = model.book();
    auto what = make_call(service_kind::request, "r1");
    what.bind_id = true;
    model.faults = {fault::none, fault::restarted};
    const auto outcome = client::run_call(book, model.transport(), what);
    BOOST_TEST((outcome.answer.status == answer_status::answered));
    const auto grant = header_of(model.log.back(), "Bulrushspring-Grant");
    BOOST_TEST(outcome.answer.request_id == grant.substr(0, 17) + "r1");
}

BOOST_AUTO_TEST_CASE(query_goes_to_the_next_entry_when_one_fails)
{
    for (const auto injected :
         {fault::unreachable, fault::lost_request, fault::malformed_answer,
          fault::mismatched_answer, fault::stopping}) {
        model_entries model(2);
        model.faults = {fault::none, injected};
        const auto outcome = ask_once(model, service_kind::query);
        BOOST_TEST((outcome.answer.status == answer_status::answered));
        BOOST_TEST((outcome.entry == model_entries::address(1)));
    }
}

BOOST_AUTO_TEST_CASE(refusal_by_admission_is_final)
{
    model_entries model(3);
    model.faults = {fault::none, fault::not_admitted};
    const auto outcome = ask_once(model, service_kind::query);
    BOOST_TEST((outcome.answer.status == answer_status::refused));
    BOOST_TEST((outcome.answer.retry_after == seconds{1}));
    BOOST_TEST(outcome.caller_attempts == 1U);
}

BOOST_AUTO_TEST_CASE(addresses_are_cached_until_they_expire)
{
    model_entries model(2);
    auto book = model.book();
    const auto count_addresses = [&] {
        return std::count_if(
            model.log.begin(), model.log.end(), [](const auto& sent) {
                return sent.request.target.rfind("/v1/addresses", 0) == 0;
            });
    };
    const auto ask = [&](const char* id) {
        client::run_call(book, model.transport(),
                         make_call(service_kind::query, id));
    };
    ask("r1");
    ask("r2");
    BOOST_TEST(count_addresses() == 1);
    model.time.advance(model.hold);
    ask("r3");
    BOOST_TEST(count_addresses() == 2);
}

BOOST_AUTO_TEST_CASE(nothing_runs_if_no_entry_can_be_reached)
{
    model_entries model(2);
    model.faults.assign(20, fault::unreachable);
    const auto outcome = ask_once(model, service_kind::request);
    BOOST_TEST(!outcome.reached);
    BOOST_TEST((outcome.answer.run == execution::not_run));
}

BOOST_AUTO_TEST_CASE(call_ends_by_its_deadline)
{
    model_entries model(3);
    model.faults.assign(1000, fault::lost_request);
    model.faults.front() = fault::none; // the address request
    auto book = model.book();
    auto what = make_call(service_kind::request, "r1");
    what.deadline = milliseconds{100};
    const auto started = model.time.now();
    client::run_call(book, model.transport(), what);
    BOOST_TEST((model.time.now() - started <= milliseconds{150}));
}

BOOST_AUTO_TEST_CASE(grants_are_bounded_and_entries_rotate)
{
    client::address_book book;
    const auto now = boot_time{seconds{1}};
    for (std::uint16_t port = 0; port < 2 * client::max_grants; ++port) {
        client::store_grant(book, {1, port}, "g", now + seconds{port + 1});
    }
    BOOST_TEST(book.grants.size() == client::max_grants);
    const endpoint newest{1, 2 * client::max_grants - 1};
    BOOST_TEST(client::grant_for(book, newest, now) == "g");
    BOOST_TEST(client::grant_for(book, newest, now + seconds{9999}).empty());
    book.entries = {{1, 1}, {1, 2}, {1, 3}};
    client::move_to_end(book, {1, 1});
    BOOST_TEST((book.entries == std::vector<endpoint>{{1, 2}, {1, 3}, {1, 1}}));
}
