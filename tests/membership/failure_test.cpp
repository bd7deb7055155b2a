#include "tests/membership/fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace bulrushspring;
using namespace bulrushspring::testing;

namespace
{

constexpr std::uint16_t dead_event = 2004;
constexpr std::uint16_t superseded_event = 2008;
constexpr std::uint16_t paused_event = 2009;

const layout usual_layout{15, 3, 1};

std::unique_ptr<simulated_fleet> settled_fleet(const layout& shape,
                                               std::uint64_t seed)
{
    auto simulation = start_fleet(shape, seed, {});
    run_until_views_agree(*simulation, seconds{60});
    simulation->network.run_for(seconds{10});
    return simulation;
}

std::uint64_t any_seed()
{
    return *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
}

void partition_from(simulated_fleet& simulation, std::size_t first)
{
    for (std::size_t i = first; i < simulation.network.nodes.size(); ++i) {
        simulation.network.nodes[i].partition = 1;
    }
}

void heal(simulated_fleet& simulation)
{
    for (auto& node : simulation.network.nodes) {
        node.partition = 0;
    }
}

} // namespace

// Guards against views that stay different after failures. Daemons are killed,
// restarted, frozen and partitioned in any order; when that is over, all views
// must agree again without intervention.
RC_BOOST_PROP(fleet_converges_after_any_failures, ())
{
    auto simulation = settled_fleet({12, 3, 2}, any_seed());
    simulation->network.loss_probability = *rc::gen::element(0.0, 0.02, 0.1);
    const auto steps = *rc::gen::inRange(1, 12);
    incarnation_number latest = 1;
    for (int step = 0; step < steps; ++step) {
        const auto which = *rc::gen::inRange<std::size_t>(1, 12);
        auto& node = simulation->network.nodes[which];
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            simulation->network.nodes[which].up = false;
            break;
        case 1:
            start(*simulation, which, ++latest);
            break;
        case 2:
            if (node.frozen) {
                simulation->network.unfreeze(which);
            } else {
                node.frozen = true;
            }
            break;
        case 3:
            node.partition = 1 - node.partition;
            break;
        default:
            partition_from(*simulation, which);
        }
        simulation->network.run_for(milliseconds{*rc::gen::inRange(0, 20000)});
    }
    heal(*simulation);
    for (std::size_t i = 0; i < simulation->network.nodes.size(); ++i) {
        if (simulation->network.nodes[i].up &&
            simulation->network.nodes[i].frozen) {
            simulation->network.unfreeze(i);
        }
    }
    simulation->network.loss_probability = 0;
    run_until_views_agree(*simulation, seconds{90});
    RC_ASSERT(views_agree(*simulation));
}

RC_BOOST_PROP(no_live_daemon_is_declared_dead_under_loss, ())
{
    auto simulation = settled_fleet(usual_layout, any_seed());
    simulation->network.loss_probability = 0.1;
    simulation->network.run_for(seconds{180});
    RC_ASSERT(count_logged(*simulation, dead_event) == 0U);
}

BOOST_AUTO_TEST_CASE(a_false_suspicion_is_refuted)
{
    auto simulation = settled_fleet(usual_layout, 4);
    auto claimed = membership::self_of(*simulation->states[3]);
    claimed.status = wire::member_status::suspect;
    for (std::size_t i = 4; i < 8; ++i) {
        wire::gossip message;
        message.from = membership::self_of(*simulation->states[i]);
        message.members = {claimed};
        simulation->network.handle(
            i - 4, datagram_received{entry_address_of(i), message});
    }
    simulation->network.run_for(seconds{20});
    BOOST_TEST(views_agree(*simulation));
    BOOST_TEST(count_logged(*simulation, dead_event) == 0U);
    BOOST_TEST(membership::self_of(*simulation->states[3]).refutation > 0U);
}

BOOST_AUTO_TEST_CASE(halves_of_a_partition_merge_after_an_hour)
{
    auto simulation = settled_fleet({16, 4, 2}, 5);
    for (auto& state : simulation->states) {
        state->seeds.clear(); // they must rely on their dead members
    }
    // Separates the even data centres, which are one region, from the odd ones.
    for (std::size_t i = 1; i < 16; i += 2) {
        simulation->network.nodes[i].partition = 1;
    }
    run_until_views_agree(*simulation, seconds{60}, 0);
    run_until_views_agree(*simulation, seconds{60}, 1);
    BOOST_TEST(views_agree(*simulation, 0));
    BOOST_TEST(views_agree(*simulation, 1));
    simulation->network.run_for(std::chrono::hours{1});
    BOOST_TEST(views_agree(*simulation, 0));
    BOOST_TEST(views_agree(*simulation, 1));
    heal(*simulation);
    const auto healed_at = simulation->network.now;
    const auto elapsed = run_until_views_agree(*simulation, seconds{120});
    BOOST_TEST_MESSAGE("merged in " << to_milliseconds(elapsed) << " ms");
    BOOST_TEST(views_agree(*simulation));
    simulation->network.run_for(seconds{60});
    BOOST_TEST(views_agree(*simulation));
    BOOST_TEST(count_logged(*simulation, dead_event, healed_at) == 0U);
}

BOOST_AUTO_TEST_CASE(an_isolated_daemon_declares_nobody_dead)
{
    auto simulation = settled_fleet(usual_layout, 6);
    simulation->network.nodes[4].partition = 1;
    simulation->network.run_for(std::chrono::minutes{10});
    for (const auto& line : simulation->log) {
        const bool declared_dead = line.member == entry_name(4) &&
                                   line.record.definition->number == dead_event;
        BOOST_TEST(!declared_dead);
    }
    // It still offers callers all entries that it knew, itself first.
    const auto entries =
        membership::choose_entries(*simulation->states[4], "dc-1", 15);
    BOOST_TEST(entries.size() == 15U);
    heal(*simulation);
    BOOST_TEST(to_milliseconds(
                   run_until_views_agree(*simulation, seconds{60})) < 60000);
}

RC_BOOST_PROP(a_frozen_daemon_resumes_and_causes_no_death, ())
{
    auto simulation = settled_fleet(usual_layout, any_seed());
    const auto which = *rc::gen::inRange<std::size_t>(0, 15);
    simulation->network.nodes[which].frozen = true;
    simulation->network.run_for(seconds{*rc::gen::inRange(5, 4000)});
    const auto resumed_at = simulation->network.now;
    simulation->network.unfreeze(which);
    run_until_views_agree(*simulation, seconds{30});
    RC_ASSERT(views_agree(*simulation));
    RC_ASSERT(count_logged(*simulation, paused_event) == 1U);
    simulation->network.run_for(seconds{30});
    RC_ASSERT(count_logged(*simulation, dead_event, resumed_at) == 0U);
}

RC_BOOST_PROP(a_restarted_daemon_is_seen_with_its_new_incarnation, ())
{
    auto simulation = settled_fleet(usual_layout, any_seed());
    const auto which = *rc::gen::inRange<std::size_t>(0, 15);
    simulation->network.nodes[which].up = false;
    simulation->network.run_for(milliseconds{*rc::gen::inRange(0, 60000)});
    start(*simulation, which, 7);
    run_until_views_agree(*simulation, seconds{30});
    RC_ASSERT(views_agree(*simulation));
    RC_ASSERT(sees(*simulation, (which + 1) % 15, entry_name(which), 7));
}

// The VM is replaced while its process is paused: the replacement has the name
// at another address. When the paused process resumes, it must shut down.
BOOST_AUTO_TEST_CASE(a_superseded_process_shuts_down)
{
    auto simulation = settled_fleet(usual_layout, 8);
    simulation->network.nodes[3].frozen = true;
    simulation->network.run_for(seconds{60});
    auto paused = std::move(simulation->states[3]);
    start(*simulation, 3, 9);
    // From here on the earlier process has an address of its own.
    auto record = membership::self_of(*paused);
    record.peer.address += 1000;
    auto earlier = std::make_unique<membership::state>(membership::make_state(
        record, {entry_address_of(0)}, {}, 8, simulation->network.now));
    run_until_views_agree(*simulation, seconds{30});
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;
    context effects_context{simulation->network.now, effects, last_identifier};
    const auto newer = membership::self_of(*simulation->states[3]);
    wire::gossip message;
    message.from = membership::self_of(*simulation->states[0]);
    message.members = {newer};
    membership::reduce(*earlier,
                       datagram_received{entry_address_of(0), message},
                       effects_context);
    bool stops = false;
    bool logged = false;
    for (const auto& each : effects) {
        const auto* raised = std::get_if<raise_event>(&each);
        stops =
            stops || (raised != nullptr &&
                      std::holds_alternative<stop_requested>(raised->raised));
        const auto* line = std::get_if<write_log>(&each);
        logged =
            logged || (line != nullptr &&
                       line->record.definition->number == superseded_event);
    }
    BOOST_TEST(stops);
    BOOST_TEST(logged);
    // The others keep the newer process in their views.
    BOOST_TEST(views_agree(*simulation));
}

// The clock of the earlier process was ahead, so its incarnation number is
// higher than that of the process which replaces it.
BOOST_AUTO_TEST_CASE(a_restart_with_a_lower_incarnation_raises_its_own)
{
    auto simulation = settled_fleet(usual_layout, 9);
    simulation->network.nodes[5].up = false;
    start(*simulation, 5, 1000);
    run_until_views_agree(*simulation, seconds{30});
    simulation->network.nodes[5].up = false;
    start(*simulation, 5, 500);
    run_until_views_agree(*simulation, seconds{60});
    BOOST_TEST(views_agree(*simulation));
    BOOST_TEST(membership::self_of(*simulation->states[5]).incarnation ==
               1001U);
}

BOOST_AUTO_TEST_CASE(a_stopping_daemon_is_not_chosen_until_it_restarts)
{
    auto simulation = settled_fleet(usual_layout, 10);
    simulation->network.handle(2, stop_requested{});
    simulation->network.run_for(seconds{2});
    for (std::size_t i = 0; i < 15; ++i) {
        for (const auto& entry :
             membership::choose_entries(*simulation->states[i], "dc-2", 15)) {
            BOOST_TEST(entry.name != entry_name(2));
        }
    }
    BOOST_TEST(count_logged(*simulation, dead_event) == 0U);
    simulation->network.nodes[2].up = false;
    simulation->network.run_for(seconds{20});
    start(*simulation, 2, 2);
    run_until_views_agree(*simulation, seconds{30});
    BOOST_TEST(views_agree(*simulation));
}
