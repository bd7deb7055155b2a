#include "libraries/targets/targets.hpp"

#include <benchmark/benchmark.h>

#include <string>

// Costs of placement and of choosing a replica, by number of leafs in the
// state.
namespace
{

using namespace bulrushspring;

constexpr std::uint32_t data_centre_count = 10;

manifest::manifest make_manifest(std::uint32_t leafs, std::uint32_t shards,
                                 std::uint32_t vms, std::uint32_t connections)
{
    manifest::manifest result;
    result.version = 1;
    const auto data_centre_name = [](std::uint32_t i) {
        return "dc-" + std::to_string(i % data_centre_count);
    };
    for (std::uint32_t i = 0; i < data_centre_count; ++i) {
        result.entries.data_centres.push_back(
            {data_centre_name(i), "region-" + std::to_string(i % 3)});
    }
    for (std::uint32_t i = 0; i < vms; ++i) {
        result.entries.vms.push_back(
            {"entry-" + std::to_string(i), data_centre_name(i)});
    }
    result.entries.spare_vms = 2;
    auto& pool = result.pools["index"];
    pool.name = "index";
    pool.served_snapshot = 1;
    pool.slots = 3;
    pool.connections = connections;
    pool.snapshots = {{1, shards}};
    for (std::uint32_t i = 0; i < leafs; ++i) {
        manifest::leaf leaf;
        leaf.name = "leaf-" + std::to_string(i);
        leaf.data_centre = data_centre_name(i / shards);
        leaf.holdings = {{1, i % shards}};
        pool.leafs.push_back(leaf);
    }
    return result;
}

// A daemon with open connections to all leafs that placement assigns to it.
struct daemon {
    boot_time now{seconds{1000}};
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;
    manifest::manifest_pointer manifest;
    targets::state state;

    context make_context() { return {now, effects, last_identifier}; }

    explicit daemon(manifest::manifest source)
        : manifest(
              std::make_shared<const manifest::manifest>(std::move(source)))
    {
        state = targets::make_state("entry-0", {}, 1, now);
        auto context = make_context();
        targets::reduce(state, manifest_changed{manifest}, context);
        for (int i = 0; i < 2000; ++i) {
            now += milliseconds{100};
            auto step = make_context();
            targets::reduce(state, tick{}, step);
            answer_opens();
        }
    }

    void answer_opens()
    {
        const auto emitted = std::exchange(effects, {});
        for (const auto& what : emitted) {
            auto context = make_context();
            if (const auto* open = std::get_if<open_connection>(&what)) {
                targets::reduce(state, connection_opened{open->connection, {}},
                                context);
            } else if (const auto* probe =
                           std::get_if<probe_connection>(&what)) {
                targets::reduce(state, probe_answered{probe->connection, {}},
                                context);
            }
        }
    }
};

// Assigns one leaf request and handles its answer.
void assign_and_answer(benchmark::State& run)
{
    const auto leafs = static_cast<std::uint32_t>(run.range(0));
    const auto shards = std::min(leafs / 5, 180U);
    const auto vms = std::max<std::uint32_t>(3, leafs / 6);
    daemon daemon{make_manifest(leafs, shards, vms, 65)};
    const auto& pool = daemon.manifest->pools.at("index");
    manifest::shard_id shard = 0;
    std::uint64_t assigned_requests = 0;
    for (auto _ : run) {
        daemon.now += std::chrono::microseconds{30};
        auto context = daemon.make_context();
        shard = (shard + 1) % shards;
        const targets::leaf_requirements requirements{pool, 1,  shard,
                                                      true, {}, seconds{1}};
        const auto assigned =
            targets::assign(daemon.state, requirements, context);
        if (const auto* assignment =
                std::get_if<targets::assignment>(&assigned)) {
            leaf_answer answer;
            answer.status = leaf_status::answered;
            targets::reduce(daemon.state,
                            leaf_answered{assignment->connection,
                                          assignment->attempt, answer},
                            context);
            ++assigned_requests;
        }
        daemon.effects.clear();
    }
    run.counters["served"] = static_cast<double>(assigned_requests) /
                             static_cast<double>(run.iterations());
    run.counters["connections"] =
        static_cast<double>(daemon.state.connections.size());
}
BENCHMARK(assign_and_answer)->Arg(100)->Arg(1000)->Arg(10000);

// Cost of one tick, without the connections that it opens.
void tick_step(benchmark::State& run)
{
    const auto leafs = static_cast<std::uint32_t>(run.range(0));
    daemon daemon{make_manifest(leafs, std::min(leafs / 5, 180U),
                                std::max<std::uint32_t>(3, leafs / 6), 65)};
    for (auto _ : run) {
        daemon.now += milliseconds{100};
        auto context = daemon.make_context();
        targets::reduce(daemon.state, tick{}, context);
        run.PauseTiming();
        daemon.answer_opens();
        run.ResumeTiming();
    }
    run.counters["connections"] =
        static_cast<double>(daemon.state.connections.size());
}
BENCHMARK(tick_step)->Arg(100)->Arg(1000)->Arg(10000)->Iterations(2000);

// Placement of one shard at the size planned for in two years: 1,700 daemons
// and 52 replicas.
void place_shard_two_years(benchmark::State& run)
{
    const auto manifest = make_manifest(9500, 180, 1700, 65);
    const auto& pool = manifest.pools.at("index");
    const auto plan = targets::plan_pool(manifest, pool, "entry-0");
    const auto slots = targets::make_slots(manifest.entries, *plan);
    const auto replicas =
        targets::replicas_by_shard(manifest.entries, pool, plan->share);
    std::size_t shard = 0;
    for (auto _ : run) {
        benchmark::DoNotOptimize(
            targets::place_shard(slots, replicas[shard++ % 180]));
    }
}
BENCHMARK(place_shard_two_years);

void plan_pool_two_years(benchmark::State& run)
{
    const auto manifest = make_manifest(9500, 180, 1700, 65);
    const auto& pool = manifest.pools.at("index");
    for (auto _ : run) {
        benchmark::DoNotOptimize(targets::plan_pool(manifest, pool, "entry-0"));
    }
}
BENCHMARK(plan_pool_two_years);

// Adoption of a manifest that leaves the placement unchanged.
void adopt_manifest_two_years(benchmark::State& run)
{
    daemon daemon{make_manifest(9500, 180, 1700, 65)};
    for (auto _ : run) {
        auto context = daemon.make_context();
        targets::reduce(daemon.state, manifest_changed{daemon.manifest},
                        context);
        while (!daemon.state.placement_jobs.empty()) {
            context.now += milliseconds{10};
            targets::reduce(daemon.state, tick{}, context);
        }
        daemon.effects.clear();
    }
    run.counters["connections"] =
        static_cast<double>(daemon.state.connections.size());
}
BENCHMARK(adopt_manifest_two_years);

} // namespace
