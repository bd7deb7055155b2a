#include "libraries/gateway/gateway.hpp"
#include "fakes/experiment/fleet.hpp"
#include "libraries/balancing/choice.hpp"

#include <benchmark/benchmark.h>

#include <string>

// Processor time of the gateway's reducer for a query, by number of shards, and
// for an idle second; sockets and parsers are not included.
namespace
{

using namespace bulrushspring;

struct daemon {
    manual_clock clock;
    std::vector<gateway::effect> effects;
    std::vector<effect> shared;
    std::uint64_t last_identifier = 0;
    std::uint64_t last_token = 0;
    gateway::state state;

    explicit daemon(std::size_t shards)
    {
        gateway::options settings;
        settings.peer_timeout = milliseconds{0};
        wire::member_record self;
        self.name = "entry-1";
        self.data_centre = "dc-1";
        self.incarnation = 1;
        state = gateway::make_state(self, {}, settings, clock.now());
        experiment::pattern plan;
        plan.shards = shards;
        plan.leafs = 3;
        plan.slots = 3;
        plan.connections = 100;
        plan.timeout = seconds{2};
        plan.objective = milliseconds{150};
        plan.max_leafs = 2;
        feed(experiment::records_of(plan));
        for (int i = 0; i < 100; ++i) {
            clock.advance(milliseconds{50});
            feed(tick{});
            complete_opens();
        }
    }

    void feed(const gateway::any_event& what)
    {
        context shared_context{clock.now(), shared, last_identifier};
        gateway::context context{clock.now(), effects, shared_context};
        gateway::reduce(state, what, context);
    }

    void complete_opens()
    {
        const auto emitted = std::exchange(effects, {});
        for (const auto& each : emitted) {
            if (const auto* open = std::get_if<gateway::open_leaf>(&each)) {
                feed(gateway::leaf_connected{open->connection});
            }
        }
        shared.clear();
    }

    // Delivers a ping from each of `members` other daemons.
    void receive_pings(int members)
    {
        for (int i = 0; i < members; ++i) {
            wire::ping ping;
            ping.sequence = static_cast<std::uint64_t>(i) + 1;
            ping.from.name = "other-" + std::to_string(i);
            ping.from.data_centre = "dc-" + std::to_string(i % 3);
            ping.from.region = "region";
            ping.from.peer = {0x7F000001, static_cast<std::uint16_t>(i + 1)};
            ping.from.caller = ping.from.peer;
            ping.from.incarnation = 1;
            ping.from.refutation = ++refutation;
            feed(datagram_received{ping.from.peer, ping});
        }
    }

    // Passes one second without requests, in which connections are opened
    // and idle.
    void idle_second()
    {
        const auto until = clock.now() + seconds{1};
        while (clock.now() < until) {
            const duration wait = gateway::next_wakeup(state) - clock.now();
            clock.advance(std::max<duration>(wait, milliseconds{1}));
            feed(tick{});
            complete_opens();
        }
    }

    std::uint32_t refutation = 0;

    // Runs one query, in which every leaf answers after 10 ms.
    void query()
    {
        auto request = std::make_shared<gateway::forward_request>();
        request->id = "request";
        request->method = "GET";
        request->host = "h";
        request->target = "/q";
        request->time_left = seconds{1};
        feed(gateway::forward_requested{caller_token{++last_token}, request});
        clock.advance(milliseconds{10});
        const auto emitted = std::exchange(effects, {});
        for (const auto& each : emitted) {
            if (const auto* sent = std::get_if<gateway::send_to_leaf>(&each)) {
                gateway::leaf_reply reply;
                reply.status = 200;
                reply.signature = "seal-of-a-leaf-of-some-length";
                reply.body = std::string(200, 'x');
                feed(gateway::leaf_replied{sent->connection, reply, true});
            }
        }
        effects.clear();
        shared.clear();
    }
};

void query_over_shards(benchmark::State& run)
{
    daemon subject(static_cast<std::size_t>(run.range(0)));
    for (auto _ : run) {
        subject.query();
    }
    run.counters["us_per_shard"] = benchmark::Counter(
        static_cast<double>(run.iterations() * run.range(0)) / 1e6,
        benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(query_over_shards)
    ->Arg(10)
    ->Arg(36)
    ->Arg(180)
    ->Unit(benchmark::kMicrosecond);

// One second without requests; the arguments are the numbers of other daemons
// and of shards.
void idle_second_of_fleet(benchmark::State& run)
{
    daemon subject(static_cast<std::size_t>(run.range(1)));
    for (auto _ : run) {
        run.PauseTiming();
        subject.receive_pings(static_cast<int>(run.range(0)));
        run.ResumeTiming();
        subject.idle_second();
    }
}
BENCHMARK(idle_second_of_fleet)
    ->Args({30, 5})
    ->Args({100, 19})
    ->Args({300, 55})
    ->Args({300, 5})
    ->Args({30, 55})
    ->Unit(benchmark::kMicrosecond);

// One choice among the leafs of a service, by the least cost (0) and by the
// learned model (1), and the sample that the answer adds.
void choice_of_leaf(benchmark::State& run)
{
    balancing::options settings;
    settings.learned = run.range(1) != 0;
    manual_clock clock;
    random_source random{1};
    std::vector<balancing::performance> leafs(
        static_cast<std::size_t>(run.range(0)));
    std::vector<balancing::candidate> candidates(leafs.size());
    for (std::size_t i = 0; i < leafs.size(); ++i) {
        candidates[i].leaf = &leafs[i];
        candidates[i].slots = 4;
    }
    const balancing::demand demand{5.0, true};
    for (auto _ : run) {
        clock.advance(std::chrono::microseconds{100});
        const auto chosen = balancing::choose(candidates, demand, settings,
                                              random, clock.now());
        const auto seen = milliseconds{10 + random_below(random, 20)};
        balancing::learn(
            leafs[chosen->index],
            {balancing::answer_kind::success, seen, milliseconds{20}, 1},
            settings, clock.now());
    }
}
BENCHMARK(choice_of_leaf)->ArgsProduct({{3, 16, 180}, {0, 1}});

} // namespace
