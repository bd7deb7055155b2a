#include "fakes/history/history.hpp"
#include "fakes/leaf/result.hpp"
#include "libraries/client/answer.hpp"
#include "libraries/client/call.hpp"

#include <benchmark/benchmark.h>

using namespace bulrushspring;

namespace
{

constexpr std::uint32_t result_limit = 50;

caller_answer make_answer(const std::string& id, std::uint32_t shards)
{
    caller_answer answer;
    answer.status = answer_status::partial;
    answer.run = execution::ran;
    answer.request_id = id;
    answer.snapshot = 1;
    answer.shards = shards;
    answer.missing = {{shards / 2, missing_reason::timed_out}};
    std::vector<manifest::shard_id> covered;
    for (std::uint32_t i = 0; i < shards; ++i) {
        if (i != shards / 2) {
            covered.push_back(i);
        }
    }
    answer.body =
        fakes::merged_result({"search", "text", 1}, covered, result_limit);
    return answer;
}

client::http_response make_response(std::uint32_t shards)
{
    return {206, {}, client::answer_json(make_answer("r1", shards))};
}

// Cost of parsing one answer in the caller; the argument is the number of
// shards.
void parse_answer(benchmark::State& state)
{
    const auto response =
        make_response(static_cast<std::uint32_t>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(client::parse_answer(response));
    }
}
BENCHMARK(parse_answer)->Arg(10)->Arg(30)->Arg(180);

// Cost of the retry decisions of one call with cached addresses, without
// parsing an answer.
void decide_call(benchmark::State& state)
{
    client::address_book book;
    book.entries = {{1, 1}, {1, 2}};
    book.expires = boot_time{seconds{1000}};
    const boot_time now{seconds{1}};
    client::call what;
    what.service = "search";
    what.id = "r1";
    const client::exchange_result lost_connection{
        error{errc::closed, "exchange", "", ""}, true};
    for (auto _ : state) {
        auto progress = client::begin_call(book, what, now);
        auto step = client::next_step(progress, book, now);
        client::take_answer(progress, book, lost_connection, now);
        benchmark::DoNotOptimize(client::next_step(progress, book, now));
    }
}
BENCHMARK(decide_call);

// Cost of checking a call history against the execution records; the argument
// is the number of calls.
void check_history(benchmark::State& state)
{
    constexpr std::uint32_t shards = 30;
    fakes::history run;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        client::history_line line;
        line.what.id = "r" + std::to_string(i);
        line.what.service = "search";
        line.what.body = "text";
        line.outcome.reached = true;
        line.outcome.answer = make_answer(line.what.id, shards);
        for (std::uint32_t shard = 0; shard < shards; ++shard) {
            run.executions.push_back(
                {"leaf", line.what.id, "a", "search", "", 1, shard, true});
        }
        run.calls.push_back(std::move(line));
    }
    run.result_limits["search"] = result_limit;
    for (auto _ : state) {
        benchmark::DoNotOptimize(fakes::check_history(run));
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(check_history)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Unit(benchmark::kMillisecond);

} // namespace
