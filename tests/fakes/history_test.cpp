#include "fakes/history/history.hpp"
#include "fakes/leaf/result.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <array>
#include <functional>

using namespace bulrushspring;
using fakes::violation_kind;
using manifest::service_kind;

namespace
{

constexpr std::uint32_t shard_count = 4;

boot_time at(int second)
{
    return boot_time{seconds{second}};
}

fakes::execution_record execution_of(const client::call& what,
                                     std::uint32_t shard, int number)
{
    return {"leaf-" + std::to_string(shard),
            what.id,
            "e-1-" + std::to_string(number),
            what.service,
            what.key,
            1,
            shard,
            what.kind != service_kind::request,
            at(2)};
}

client::history_line make_line(service_kind kind, const std::string& id)
{
    client::history_line line;
    line.what.kind = kind;
    line.what.service = "search";
    line.what.id = id;
    line.what.key = kind == service_kind::query ? "" : "key of " + id;
    line.what.body = "text of " + id;
    line.invoked = at(1);
    line.ended = at(3);
    line.outcome.reached = true;
    line.outcome.answer.request_id = id;
    line.outcome.answer.status = answer_status::answered;
    line.outcome.answer.run = execution::ran;
    return line;
}

// Call 0 is a complete query, 1 a query with a missing shard, 2 a
// non-idempotent request, 3 a refused request, and 4 a read.
fakes::history valid_history()
{
    fakes::history run;
    for (const std::string id : {"complete", "partial"}) {
        auto line = make_line(service_kind::query, id);
        auto& answer = line.outcome.answer;
        answer.snapshot = 1;
        answer.shards = shard_count;
        std::vector<manifest::shard_id> covered = {0, 1, 2, 3};
        if (id == "partial") {
            answer.status = answer_status::partial;
            answer.missing = {{2, missing_reason::timed_out}};
            covered = {0, 1, 3};
        }
        answer.body =
            fakes::merged_result({"search", line.what.body, 1}, covered, 0);
        for (const auto shard : covered) {
            run.executions.push_back(execution_of(line.what, shard, 1));
        }
        run.calls.push_back(line);
    }
    run.calls.push_back(make_line(service_kind::request, "order"));
    run.calls.push_back(make_line(service_kind::request, "refused"));
    run.calls.push_back(make_line(service_kind::read, "read"));
    run.calls[3].outcome.answer.status = answer_status::refused;
    run.calls[3].outcome.answer.run = execution::not_run;
    for (const int i : {2, 4}) {
        auto& line = run.calls[i];
        line.outcome.answer.leaf = "leaf-1";
        line.outcome.answer.body =
            fakes::single_result({"search", line.what.key, 1, 1});
        run.executions.push_back(execution_of(line.what, 1, 1));
    }
    run.result_limits = {{"search", 0}};
    return run;
}

// A change to a valid history, and the violation that it has to cause.
struct corruption {
    violation_kind expected;
    std::function<void(fakes::history&)> apply;
};

const std::array corruptions = {
    corruption{violation_kind::run_twice,
               [](auto& run) {
                   run.executions.push_back(
                       execution_of(run.calls[2].what, 3, 2));
               }},
    corruption{violation_kind::refused_but_run,
               [](auto& run) {
                   run.executions.push_back(
                       execution_of(run.calls[3].what, 3, 2));
               }},
    corruption{violation_kind::answered_unrun,
               [](auto& run) { run.executions.pop_back(); }},
    corruption{violation_kind::run_before_asked,
               [](auto& run) { run.executions.back().started = at(0); }},
    corruption{violation_kind::wrong_answer, // another request's body
               [](auto& run) {
                   std::swap(run.calls[0].outcome.answer.body,
                             run.calls[1].outcome.answer.body);
               }},
    corruption{violation_kind::wrong_answer, // a truncated body
               [](auto& run) {
                   auto& body = run.calls[0].outcome.answer.body;
                   body.resize(body.rfind('\n', body.size() - 2) + 1);
               }},
    corruption{
        violation_kind::wrong_answer, // an empty body, without a known limit
        [](auto& run) {
            run.result_limits.clear();
            run.calls[0].outcome.answer.body.clear();
        }},
    corruption{violation_kind::wrong_answer, // the result of another key
               [](auto& run) {
                   run.calls[4].outcome.answer.body =
                       run.calls[2].outcome.answer.body;
               }},
    corruption{
        violation_kind::wrong_answer, // names a leaf that did not execute it
        [](auto& run) { run.calls[4].outcome.answer.leaf = "leaf-3"; }},
    corruption{violation_kind::wrong_answer, // names another request
               [](auto& run) { run.calls[4].outcome.answer.request_id = "x"; }},
    corruption{violation_kind::wrong_answer, // lines of another snapshot
               [](auto& run) {
                   auto& line = run.calls[0];
                   line.outcome.answer.body = fakes::merged_result(
                       {"search", line.what.body, 2},
                       std::array<manifest::shard_id, 4>{0, 1, 2, 3}, 0);
               }},
    corruption{
        violation_kind::false_coverage, // a covered shard was not executed
        [](auto& run) { run.executions.erase(run.executions.begin()); }},
    corruption{violation_kind::wrong_answer, // covers a shard without lines
               [](auto& run) { run.calls[1].outcome.answer.missing.clear(); }},
    corruption{
        violation_kind::inconsistent,
        [](auto& run) {
            run.calls[0].outcome.answer.missing = {{0, missing_reason::failed}};
        }},
    corruption{violation_kind::id_used_twice,
               [](auto& run) { run.calls.push_back(run.calls[4]); }},
    corruption{violation_kind::unknown_execution,
               [](auto& run) { run.calls.pop_back(); }},
};

bool contains(const std::vector<fakes::violation>& found, violation_kind kind)
{
    return std::any_of(found.begin(), found.end(),
                       [&](const auto& it) { return it.kind == kind; });
}

} // namespace

BOOST_AUTO_TEST_CASE(valid_history_has_no_violation)
{
    for (const auto& it : fakes::check_history(valid_history())) {
        BOOST_ERROR(to_string(it.kind) << " " << it.id << " " << it.detail);
    }
}

BOOST_AUTO_TEST_CASE(each_violation_is_detected)
{
    for (std::size_t i = 0; i < corruptions.size(); ++i) {
        auto run = valid_history();
        corruptions[i].apply(run);
        BOOST_TEST(contains(fakes::check_history(run), corruptions[i].expected),
                   "corruption " << i << ": "
                                 << to_string(corruptions[i].expected));
    }
}

BOOST_AUTO_TEST_CASE(violation_is_detected_among_valid_calls)
{
    BOOST_TEST(rc::check("one corrupted call among many", [] {
        const auto index =
            *rc::gen::inRange<std::size_t>(0, corruptions.size());
        const auto valid_calls = *rc::gen::inRange(0, 50);
        auto run = valid_history();
        corruptions[index].apply(run);
        for (int i = 0; i < valid_calls; ++i) {
            auto line =
                make_line(service_kind::request, "o" + std::to_string(i));
            line.outcome.answer.leaf = "leaf-0";
            line.outcome.answer.body =
                fakes::single_result({"search", line.what.key, 1, 0});
            run.executions.push_back(execution_of(line.what, 0, i));
            run.calls.insert(run.calls.begin(), line);
        }
        RC_ASSERT(
            contains(fakes::check_history(run), corruptions[index].expected));
    }));
}

BOOST_AUTO_TEST_CASE(incomplete_record_does_not_prove_missing_executions)
{
    auto run = valid_history();
    run.executions.clear();
    run.executions_complete = false;
    BOOST_TEST(fakes::check_history(run).empty());
    run.executions_complete = true;
    BOOST_TEST(
        contains(fakes::check_history(run), violation_kind::answered_unrun));
}

BOOST_AUTO_TEST_CASE(query_failed_for_low_coverage_is_no_violation)
{
    auto run = valid_history();
    auto line = make_line(service_kind::query, "failed");
    line.outcome.answer.status = answer_status::failed;
    run.calls.push_back(line);
    BOOST_TEST(fakes::check_history(run).empty());
    run.calls.back().what.kind = service_kind::read;
    BOOST_TEST(
        contains(fakes::check_history(run), violation_kind::answered_unrun));
}

BOOST_AUTO_TEST_CASE(history_lines_round_trip_and_truncated_lines_are_rejected)
{
    const auto run = valid_history();
    const auto text = client::to_json(run.calls[1]);
    const auto line = client::parse_history_line(text);
    BOOST_REQUIRE(line.has_value());
    BOOST_TEST(client::to_json(line.value()) == text);
    const auto record = fakes::to_json(run.executions[0]);
    BOOST_TEST(fakes::to_json(fakes::parse_execution(record).value()) ==
               record);
    for (std::size_t cut = 0; cut < text.size(); cut += 7) {
        BOOST_TEST(
            !client::parse_history_line(text.substr(0, cut)).has_value());
    }
    BOOST_TEST(!fakes::parse_execution("{}").has_value());
}
