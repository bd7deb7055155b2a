#include "libraries/queries/queries.hpp"
#include "libraries/targets/targets.hpp"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <string>
#include <utility>

// Cost of a complete query over up to 180 shards, and memory of leafs,
// connections and queries, by number of leafs in the state.
namespace
{

using namespace bulrushspring;

constexpr std::uint32_t max_shards = 180;

std::size_t bytes_in_use()
{
    return mallinfo2().uordblks;
}

manifest::manifest_pointer make_manifest(std::uint32_t leafs)
{
    auto result = std::make_shared<manifest::manifest>();
    const auto shards = std::min(leafs / 2, max_shards);
    result->version = 1;
    result->entries.data_centres = {{"dc-0", "region"}, {"dc-1", "region"}};
    const auto vms = std::max<std::uint32_t>(3, leafs / 6);
    for (std::uint32_t i = 0; i < vms; ++i) {
        result->entries.vms.push_back(
            {"entry-" + std::to_string(i), "dc-" + std::to_string(i % 2)});
    }
    auto& pool = result->pools["index"];
    pool.name = "index";
    pool.served_snapshot = 1;
    pool.slots = 3;
    pool.connections = 65;
    pool.snapshots = {{1, shards}};
    for (std::uint32_t i = 0; i < leafs; ++i) {
        manifest::leaf leaf;
        leaf.name = "leaf-" + std::to_string(i);
        leaf.data_centre = "dc-" + std::to_string(i / shards % 2);
        leaf.holdings = {{1, i % shards}};
        pool.leafs.push_back(leaf);
    }
    manifest::service service;
    service.name = "find";
    service.pool = "index";
    service.deadline = seconds{1};
    service.hedge_budget = 0.05;
    service.result_limit = 50;
    result->services.emplace("find", service);
    return result;
}

struct daemon {
    boot_time now{seconds{1000}};
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;
    manifest::manifest_pointer manifest;
    targets::state targets;
    queries::state queries;
    std::uint64_t next_token = 0;
    std::uint64_t answered = 0;
    std::string body;

    context make_context() { return {now, effects, last_identifier}; }

    explicit daemon(std::uint32_t leafs) : manifest(make_manifest(leafs))
    {
        for (int i = 0; i < 10; ++i) {
            body += "0.5\tA line of a usual length, of one table\n";
        }
        targets = targets::make_state("entry-0", {}, 1, now);
        queries = queries::make_state({});
        auto context = make_context();
        targets::reduce(targets, manifest_changed{manifest}, context);
        queries::reduce(queries, targets, manifest_changed{manifest}, context);
        for (int i = 0; i < 3000; ++i) {
            tick_once(milliseconds{20});
        }
    }

    void tick_once(duration step)
    {
        now += step;
        auto context = make_context();
        targets::reduce(targets, tick{}, context);
        queries::reduce(queries, targets, tick{}, context);
        carry_out();
    }

    void begin()
    {
        caller_request request;
        request.service = "find";
        request.id = "request-0123456789";
        auto context = make_context();
        queries::begin(queries, targets, caller_token{++next_token}, request,
                       manifest, context);
    }

    // Carries out all effects and answers every leaf request, in place of the
    // shell and the node.
    void carry_out()
    {
        while (!effects.empty()) {
            const auto emitted = std::exchange(effects, {});
            for (const auto& what : emitted) {
                carry_out(what);
            }
        }
    }

    void carry_out(const effect& what)
    {
        auto context = make_context();
        if (const auto* open = std::get_if<open_connection>(&what)) {
            targets::reduce(targets, connection_opened{open->connection, {}},
                            context);
        } else if (const auto* probe = std::get_if<probe_connection>(&what)) {
            targets::reduce(targets, probe_answered{probe->connection, {}},
                            context);
        } else if (const auto* sent = std::get_if<send_to_leaf>(&what)) {
            answer(*sent, context);
        } else if (std::holds_alternative<answer_caller>(what)) {
            ++answered;
        }
    }

    void answer(const send_to_leaf& sent, context& context)
    {
        leaf_answer answer;
        answer.status = leaf_status::answered;
        answer.request_id = sent.request.request_id;
        answer.snapshot = sent.request.snapshot;
        answer.shard = sent.request.shard;
        answer.body = body;
        const leaf_answered event{sent.connection, sent.attempt, answer};
        targets::reduce(targets, event, context);
        queries::reduce(queries, targets, event, context);
        queries::assign_connections(queries, targets, context);
    }
};

// One query from its begin to the answer to the caller, including the handling
// of all leaf answers, which have ten lines each.
void complete_query(benchmark::State& run)
{
    daemon daemon(static_cast<std::uint32_t>(run.range(0)));
    for (auto _ : run) {
        daemon.now += milliseconds{5};
        daemon.begin();
        daemon.carry_out();
    }
    const auto shards = static_cast<double>(
        daemon.manifest->pools.at("index").snapshots.front().shards);
    run.counters["shards"] = shards;
    run.counters["answered"] = static_cast<double>(daemon.answered) /
                               static_cast<double>(run.iterations());
    run.counters["s_per_leaf_request"] = benchmark::Counter(
        shards * static_cast<double>(run.iterations()),
        benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(complete_query)->Arg(100)->Arg(1000)->Arg(10000);

// Heap bytes per leaf and per query in the state.
void memory(benchmark::State& run)
{
    const auto leafs = static_cast<std::uint32_t>(run.range(0));
    constexpr int query_count = 50;
    for (auto _ : run) {
        const auto bytes_before = bytes_in_use();
        daemon daemon(leafs);
        const auto bytes_with_daemon = bytes_in_use();
        for (int i = 0; i < query_count; ++i) {
            daemon.begin();
        }
        daemon.effects = {};
        const auto bytes_with_queries = bytes_in_use();
        run.counters["bytes_per_leaf"] =
            static_cast<double>(bytes_with_daemon - bytes_before) / leafs;
        run.counters["connections"] =
            static_cast<double>(daemon.targets.connections.size());
        run.counters["bytes_per_query"] =
            static_cast<double>(bytes_with_queries - bytes_with_daemon) /
            query_count;
    }
    run.counters["sizeof_leaf"] = sizeof(targets::leaf_state);
    run.counters["sizeof_connection"] = sizeof(targets::connection);
    run.counters["sizeof_shard"] = sizeof(queries::shard_state);
}
BENCHMARK(memory)->Arg(100)->Arg(1000)->Arg(10000)->Iterations(1);

} // namespace
