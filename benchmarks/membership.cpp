// Costs of membership with 20, 200 and 1,700 members: time of each kind of
// step, memory of the state, and traffic per member.

#include "libraries/wire/datagram.hpp"
#include "tests/membership/fleet.hpp"

#include <benchmark/benchmark.h>
#include <cstdlib>
#include <malloc.h>

using namespace bulrushspring;
using namespace bulrushspring::testing;

namespace
{

// Fleet size that is planned for in two years: members, data centres, regions.
const layout two_years{1700, 10, 3};

layout layout_of(benchmark::State& run)
{
    auto shape = two_years;
    shape.members = static_cast<std::size_t>(run.range(0));
    return shape;
}

// The state of a daemon that knows all members of a fleet.
membership::state make_informed_state(const layout& shape, boot_time now)
{
    auto state =
        membership::make_state(make_record(shape, 0, 1), {}, {}, 1, now);
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;
    context step_context{now, effects, last_identifier};
    for (std::size_t i = 1; i < shape.members; ++i) {
        wire::gossip message;
        message.from = make_record(shape, i, 1);
        membership::reduce(state,
                           datagram_received{entry_address_of(i), message},
                           step_context);
    }
    return state;
}

// Repeats one step on a simulated clock that advances by `interval` per step.
template <typename Event>
void run_steps(benchmark::State& run, duration interval, Event event_of)
{
    const auto shape = layout_of(run);
    boot_time now{seconds{1000}};
    auto state = make_informed_state(shape, now);
    state.updates = {};
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;
    std::uint64_t count = 0;
    for (auto _ : run) {
        now += interval;
        effects.clear();
        context step_context{now, effects, last_identifier};
        membership::reduce(state, event_of(shape, ++count), step_context);
        benchmark::DoNotOptimize(effects);
    }
}

// A tick that sends a probe, and the acknowledgement of the probe.
void probe_step(benchmark::State& run)
{
    const auto shape = layout_of(run);
    boot_time now{seconds{1000}};
    auto state = make_informed_state(shape, now);
    state.updates = {};
    state.next_sync = membership::never; // measured by sync_step
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;
    for (auto _ : run) {
        now += seconds{1};
        effects.clear();
        context step_context{now, effects, last_identifier};
        membership::reduce(state, tick{}, step_context);
        const auto& target = state.members[state.current.target].record;
        const wire::ack answer{state.current.sequence, target, {}, {}, {}};
        membership::reduce(state, datagram_received{target.peer, answer},
                           step_context);
    }
}

void ping_step(benchmark::State& run)
{
    run_steps(run, milliseconds{100},
              [](const layout& shape, std::uint64_t count) {
                  const auto from = 1 + count % (shape.members - 1);
                  wire::ping message;
                  message.sequence = count;
                  message.from = make_record(shape, from, 1);
                  return datagram_received{entry_address_of(from), message};
              });
}

// A ping with ten piggybacked updates, all of which are new.
void updates_step(benchmark::State& run)
{
    run_steps(
        run, milliseconds{100}, [](const layout& shape, std::uint64_t count) {
            const auto from = 1 + count % (shape.members - 1);
            wire::ping message;
            message.from = make_record(shape, from, 1);
            for (std::size_t i = 0; i < 10; ++i) {
                const auto who = 1 + (count * 10 + i) % (shape.members - 1);
                message.members.push_back(make_record(shape, who, 2 + count));
            }
            return datagram_received{entry_address_of(from), message};
        });
}

void choose_entries_step(benchmark::State& run)
{
    const auto shape = layout_of(run);
    auto state = make_informed_state(shape, boot_time{seconds{1000}});
    for (auto _ : run) {
        benchmark::DoNotOptimize(membership::choose_entries(state, "dc-1", 5));
    }
}

void sync_step(benchmark::State& run)
{
    const auto shape = layout_of(run);
    boot_time now{seconds{1000}};
    auto state = make_informed_state(shape, now);
    wire::members_request request;
    for (std::size_t i = 0; i < shape.members; ++i) {
        request.known.push_back(make_record(shape, i, 1));
    }
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;
    for (auto _ : run) {
        now += seconds{1};
        effects.clear();
        context step_context{now, effects, last_identifier};
        membership::reduce(
            state,
            peer_request_received{peer_token{1}, entry_address_of(1), request},
            step_context);
    }
    run.counters["request_bytes"] = static_cast<double>(
        wire::encode(wire::peer_request{request}).value().size());
}

void state_size(benchmark::State& run)
{
    const auto shape = layout_of(run);
    std::size_t bytes = 0;
    for (auto _ : run) {
        const auto before = mallinfo2().uordblks;
        const auto state = make_informed_state(shape, boot_time{seconds{1000}});
        bytes = mallinfo2().uordblks - before;
        benchmark::DoNotOptimize(state);
    }
    run.counters["state_bytes"] = static_cast<double>(bytes);
    run.counters["bytes_per_member"] =
        static_cast<double>(bytes) / static_cast<double>(shape.members);
}

// Runs a fleet until all members agree. The log keeps only the events 2004,
// which report dead members.
void run_until_started(benchmark::State& run, simulated_fleet& all)
{
    all.network.on_effect = [&all](network_node& node, const effect& what) {
        const auto* line = std::get_if<write_log>(&what);
        if (line != nullptr && line->record.definition->number == 2004) {
            all.log.push_back({node.name, all.network.now, line->record});
        }
    };
    const auto elapsed = run_until_views_agree(all, seconds{90});
    run.counters["joined_after_s"] =
        views_agree(all) ? std::chrono::duration<double>(elapsed).count() : -1;
    run.counters["deaths_at_start"] = static_cast<double>(all.log.size());
    all.log.clear();
    for (auto& state : all.states) {
        state->updates = {}; // updates left over from the start
    }
}

void reset_traffic(simulated_fleet& all)
{
    for (auto& node : all.network.nodes) {
        node.datagrams = node.datagram_bytes = node.frame_bytes = 0;
    }
}

// Reports the traffic per running daemon and second, over the span since the
// counters were reset.
void report_traffic(benchmark::State& run, const simulated_fleet& all,
                    duration span)
{
    double datagrams = 0;
    double bytes = 0;
    double frames = 0;
    double most = 0;
    double running = 0;
    for (const auto& node : all.network.nodes) {
        running += node.up ? 1 : 0;
        datagrams += static_cast<double>(node.datagrams);
        bytes += static_cast<double>(node.datagram_bytes);
        frames += static_cast<double>(node.frame_bytes);
        most = std::max(most, static_cast<double>(node.datagram_bytes));
    }
    const auto span_seconds = std::chrono::duration<double>(span).count();
    run.counters["datagrams_per_s"] = datagrams / running / span_seconds;
    run.counters["datagram_bytes_per_s"] = bytes / running / span_seconds;
    run.counters["most_bytes_per_s"] = most / span_seconds;
    run.counters["sync_bytes_per_s"] = frames / running / span_seconds;
}

// Runs a fleet for 30 s, and reports the time until all agree and the traffic.
void report_recovery(benchmark::State& run, simulated_fleet& all)
{
    constexpr seconds window{30};
    reset_traffic(all);
    const auto elapsed = run_until_views_agree(all, window);
    run.counters["agreed_after_s"] =
        views_agree(all) ? std::chrono::duration<double>(elapsed).count() : -1;
    all.network.run_for(window - elapsed);
    report_traffic(run, all, window);
}

void idle_traffic(benchmark::State& run)
{
    for (auto _ : run) {
        auto all = start_fleet(layout_of(run), 1, {});
        run_until_started(run, *all);
        reset_traffic(*all);
        all->network.run_for(seconds{60});
        report_traffic(run, *all, seconds{60});
    }
}

// One restart within 35 s, the rate expected at the two-year size.
void restart_traffic(benchmark::State& run)
{
    for (auto _ : run) {
        auto all = start_fleet(layout_of(run), 2, {});
        run_until_started(run, *all);
        reset_traffic(*all);
        all->network.handle(5, stop_requested{});
        all->network.run_for(seconds{10});
        all->network.nodes[5].up = false;
        all->network.run_for(seconds{5});
        start(*all, 5, 2);
        all->network.run_for(seconds{20});
        report_traffic(run, *all, seconds{35});
        run.counters["agreed"] = views_agree(*all);
    }
}

// Loss of a data centre: time until all other members agree, traffic until
// then, and members of other data centres that were wrongly declared dead.
void data_centre_lost(benchmark::State& run)
{
    for (auto _ : run) {
        auto all = start_fleet(layout_of(run), 3, {});
        run_until_started(run, *all);
        for (std::size_t i = 4; i < all->shape.members; i += 10) {
            all->network.nodes[i].up = false;
        }
        report_recovery(run, *all);
        run.counters["false_deaths"] = 0;
        for (const auto& line : all->log) {
            // The last digit of a member's name is the number of its data
            // centre, as there are ten.
            const auto& name = line.record.fields.front().value;
            const bool false_death =
                line.record.definition->number == 2004 && name.back() != '4';
            run.counters["false_deaths"] += false_death ? 1 : 0;
        }
    }
}

// A partition between regions for two minutes, and the recovery from it.
void regions_partitioned(benchmark::State& run)
{
    for (auto _ : run) {
        auto all = start_fleet(layout_of(run), 4, {});
        run_until_started(run, *all);
        for (std::size_t i = 0; i < all->shape.members; ++i) {
            all->network.nodes[i].partition = i % 10 % 3 == 0 ? 1 : 0;
        }
        all->network.run_for(std::chrono::minutes{2});
        run.counters["parted_agreed"] =
            views_agree(*all, 0) && views_agree(*all, 1) ? 1 : 0;
        for (auto& node : all->network.nodes) {
            node.partition = 0;
        }
        const auto healed_at = all->network.now;
        report_recovery(run, *all);
        run.counters["deaths_after"] =
            static_cast<double>(count_logged(*all, 2004, healed_at));
    }
}

} // namespace

BENCHMARK(probe_step)->Arg(20)->Arg(200)->Arg(1700);
BENCHMARK(ping_step)->Arg(20)->Arg(200)->Arg(1700);
BENCHMARK(updates_step)->Arg(20)->Arg(200)->Arg(1700);
BENCHMARK(choose_entries_step)->Arg(20)->Arg(200)->Arg(1700);
BENCHMARK(sync_step)->Arg(20)->Arg(200)->Arg(1700);
BENCHMARK(state_size)->Arg(20)->Arg(200)->Arg(1700)->Iterations(1);
BENCHMARK(idle_traffic)->Arg(20)->Arg(200)->Arg(1700)->Iterations(1);
BENCHMARK(restart_traffic)->Arg(20)->Arg(200)->Arg(1700)->Iterations(1);
BENCHMARK(data_centre_lost)->Arg(20)->Arg(200)->Arg(1700)->Iterations(1);
BENCHMARK(regions_partitioned)->Arg(20)->Arg(200)->Arg(1700)->Iterations(1);
