#include "libraries/requests/requests.hpp"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <memory>
#include <string>
#include <vector>

using namespace bulrushspring;

namespace
{

manifest::manifest_pointer make_manifest()
{
    auto result = std::make_shared<manifest::manifest>();
    result->entries.data_centres.push_back({"dc", "region"});
    result->entries.vms.push_back({"entry-1", "dc"});
    manifest::pool pool;
    pool.name = "orders";
    pool.served_snapshot = 17;
    pool.slots = 3;
    pool.connections = 65;
    pool.snapshots.push_back({17, 1});
    for (int i = 0; i < 4; ++i) {
        manifest::leaf leaf;
        leaf.name = "leaf-" + std::to_string(i);
        leaf.data_centre = "dc";
        leaf.holdings.push_back({17, 0});
        pool.leafs.push_back(leaf);
    }
    result->pools.emplace("orders", pool);
    result->services["order-desk"] = {"order-desk",
                                      manifest::service_kind::request, "orders",
                                      milliseconds{1000}};
    return result;
}

// The targets and requests of a daemon whose leafs answer immediately.
struct daemon {
    manifest::manifest_pointer manifest = make_manifest();
    boot_time now{seconds{1000}};
    targets::state leafs = targets::make_state("entry-1", {}, 1, now);
    requests::state state;
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;
    std::uint64_t last_token = 0;
    std::string grant;
    std::string body = std::string(200, 'x');

    explicit daemon(std::size_t max_records)
    {
        requests::options settings;
        settings.ledger.max_records = max_records;
        settings.ledger.max_total_body_bytes = std::size_t{1} << 30U;
        state = requests::make_state("entry-1", 1, settings, 1);
        context at{now, effects, last_identifier};
        targets::reduce(leafs, manifest_changed{manifest}, at);
        requests::reduce(state, leafs, manifest_changed{manifest}, at);
        targets::reduce(leafs, tick{}, at);
        carry_out_effects();
        grant = requests::issue_grant(state, now);
    }

    caller_request request(std::uint64_t number) const
    {
        caller_request result;
        result.kind = manifest::service_kind::request;
        result.service = "order-desk";
        result.caller = "caller-" + std::to_string(number % 100);
        result.id = "request-" + std::to_string(number);
        result.key = result.id;
        result.grant = grant;
        result.caller_attempt = 1;
        result.body = std::make_shared<const std::string>(result.id);
        return result;
    }

    void ask(const caller_request& asked)
    {
        context at{now, effects, last_identifier};
        const auto token = static_cast<caller_token>(++last_token);
        if (!requests::answer_without_admission(state, token, asked, at)) {
            requests::begin(state, leafs, token, asked, manifest, at);
        }
        carry_out_effects();
    }

    void carry_out_effects()
    {
        while (!effects.empty()) {
            const auto current = std::exchange(effects, {});
            for (const auto& what : current) {
                carry_out(what);
            }
        }
    }

    void carry_out(const effect& what)
    {
        context at{now, effects, last_identifier};
        if (const auto* opened = std::get_if<open_connection>(&what)) {
            targets::reduce(leafs, connection_opened{opened->connection, {}},
                            at);
        } else if (const auto* sent = std::get_if<send_to_leaf>(&what)) {
            leaf_answer answer;
            answer.status = leaf_status::answered;
            answer.run = execution::ran;
            answer.request_id = sent->request.request_id;
            answer.snapshot = sent->request.snapshot;
            answer.shard = sent->request.shard;
            answer.body = body;
            const leaf_answered event{sent->connection, sent->attempt, answer};
            targets::reduce(leafs, event, at);
            requests::reduce(state, leafs, event, at);
        }
    }
};

// One non-idempotent request from the look-up of its id to the answer; the
// argument is the number of ids that the daemon already remembers.
void request(benchmark::State& run)
{
    const auto remembered = static_cast<std::uint64_t>(run.range(0));
    daemon daemon(remembered + 50'000'000);
    for (std::uint64_t i = 0; i < remembered; ++i) {
        daemon.ask(daemon.request(i));
    }
    std::uint64_t next = remembered;
    for (auto _ : run) {
        daemon.ask(daemon.request(next++));
    }
    run.counters["unknown"] =
        static_cast<double>(next - daemon.state.request_ledger.records.size());
}
BENCHMARK(request)->Arg(1000)->Arg(100'000)->Iterations(20'000);

// A repeated request that is answered from memory; the argument is the number
// of remembered ids. The step of 7919 spreads the repeats over all of them.
void repeated_request(benchmark::State& run)
{
    const auto remembered = static_cast<std::uint64_t>(run.range(0));
    daemon daemon(remembered);
    for (std::uint64_t i = 0; i < remembered; ++i) {
        daemon.ask(daemon.request(i));
    }
    std::uint64_t next = 0;
    for (auto _ : run) {
        next = (next + 7919) % remembered;
        daemon.ask(daemon.request(next));
    }
}
BENCHMARK(repeated_request)->Arg(1000)->Arg(100'000);

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

// Heap bytes per remembered id; the arguments are the number of ids and the
// size of the answer's body.
void bytes_per_id(benchmark::State& run)
{
    const auto remembered = static_cast<std::uint64_t>(run.range(0));
    for (auto _ : run) {
        daemon daemon(remembered);
        daemon.body = std::string(static_cast<std::size_t>(run.range(1)), 'x');
        const auto before = heap_bytes();
        for (std::uint64_t i = 0; i < remembered; ++i) {
            daemon.ask(daemon.request(i));
        }
        const auto after = heap_bytes();
        run.counters["bytes"] = static_cast<double>(after - before) /
                                static_cast<double>(remembered);
    }
}
BENCHMARK(bytes_per_id)
    ->Args({1000, 0})
    ->Args({10'000, 0})
    ->Args({100'000, 0})
    ->Args({10'000, 200})
    ->Iterations(1);

} // namespace
