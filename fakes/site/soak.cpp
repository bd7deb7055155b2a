#include "fakes/site/soak.hpp"

#include "fakes/site/evacuations.hpp"

#include <csignal>
#include <fstream>

namespace bulrushspring::site
{
namespace
{

constexpr seconds warm_up{3};
constexpr seconds recovery_limit{12}; // required by the users
// How long after an injected fault a daemon may still cause failures.
constexpr milliseconds settling_time{4000};
// After this time, callers have to be directed away from a daemon that is
// partitioned from all leafs; directories are asked again within a second.
constexpr milliseconds partition_grace{5000};
// bounds.graceS, as site.cpp writes it into the daemons' settings.
constexpr seconds stop_grace{6};
// Longer than bounds.drainMs, after which a leaving leaf gets no request.
constexpr milliseconds leaf_drain_time{3200};
// Leafs write their entries this often.
constexpr milliseconds entry_interval{1200};
// Service has recovered when this many of the last 100 requests succeeded.
constexpr std::size_t min_recent_successes = 90;

// A running soak test.
struct soak {
    event_base* base;
    const soak_options& options;
    installation site;
    callers load;
    late_callers late;
    random_source random;
    system_boot_clock clock;
    boot_time began = clock.now();
    std::vector<std::pair<boot_time, std::function<void()>>> scheduled;
    soak_report report;
    evacuations evacuated;
    std::set<std::size_t> starting_leafs; // from their stop until not cold
    bool faults_ended = false;

    soak(event_base* loop, const soak_options& settings)
        : base(loop), options(settings), site(loop, settings.site),
          load(loop, site, settings.callers, settings.site.seed + 1),
          late(loop, site, settings.late_callers, settings.site.seed + 2),
          random(settings.site.seed)
    {
    }

    void log_fault(const std::string& fault)
    {
        report.faults.push_back(
            std::to_string(to_milliseconds(clock.now() - began)) + " ms " +
            fault);
    }

    void schedule(duration span, std::function<void()> act)
    {
        scheduled.emplace_back(clock.now() + span, std::move(act));
    }

    duration random_duration(milliseconds min, milliseconds max)
    {
        return min +
               milliseconds{random_below(
                   random, static_cast<std::uint64_t>((max - min).count()))};
    }

    std::size_t random_index(std::size_t count)
    {
        return random_below(random, count);
    }

    void run_for(duration span)
    {
        const boot_time end = clock.now() + span;
        while (clock.now() < end) {
            const auto step = shell::to_timeval(milliseconds{10});
            event_base_loopexit(base, &step);
            event_base_dispatch(base);
            run_due_actions();
            check_invariants();
        }
    }

    void run_due_actions()
    {
        std::vector<std::function<void()>> due;
        std::erase_if(scheduled, [&](auto& each) {
            if (each.first > clock.now()) {
                return false;
            }
            due.push_back(std::move(each.second));
            return true;
        });
        for (const auto& act : due) {
            act();
        }
    }

    void check_invariants()
    {
        for (auto& each : site.reap()) {
            report.violations.push_back(std::move(each));
        }
        for (auto& each : site.daemons) {
            if (each.process > 0 && each.stopping && !each.overdue &&
                clock.now() > each.stopped_at + stop_grace &&
                clock.now() > each.disturbed_until) {
                each.overdue = true;
                report.violations.push_back("still running " +
                                            std::to_string(stop_grace.count()) +
                                            " s after SIGTERM: " + each.name);
            }
        }
        check_partition();
        for (auto& each : check(evacuated, site, clock.now())) {
            report.violations.push_back(std::move(each));
        }
        for (auto& each : site.leafs) {
            if (each.server->arrivals_over_limit() > 0 && !each.over_limit) {
                each.over_limit = true;
                report.violations.push_back(
                    "more requests than the stated limit at leaf " +
                    each.server->options().id);
            }
            report.cold_arrivals =
                std::max(report.cold_arrivals, each.server->cold_arrivals());
            if (each.server->arrivals_over_cold_rate() > 0 &&
                !each.over_cold_rate) {
                each.over_cold_rate = true;
                log_fault("rate of a cold leaf exceeded");
                report.violations.push_back(
                    std::to_string(each.server->cold_arrivals()) +
                    " requests in a second at cold leaf " +
                    each.server->options().id);
            }
            if (each.server->connections() > site.connection_limit) {
                report.violations.push_back(
                    "connection limit exceeded at leaf " +
                    each.server->options().id + ": " +
                    std::to_string(each.server->connections()) + " of " +
                    std::to_string(site.connection_limit));
            }
        }
    }

    // A daemon that has been partitioned from the leafs for the users' grace
    // time must not be named to callers while another one is undisturbed.
    void check_partition()
    {
        const auto now = clock.now();
        const bool others_serve = std::any_of(
            site.daemons.begin(), site.daemons.end(), [&](const auto& each) {
                return each.process > 0 && !each.stopping && !each.paused &&
                       each.partitioned_since == boot_time::max() &&
                       now > each.disturbed_until;
            });
        for (const auto number : load.usable()) {
            auto& each = site.daemons[number];
            if (others_serve && !each.partition_reported && !each.stopping &&
                each.partitioned_since < now - partition_grace &&
                now > each.disturbed_until) {
                each.partition_reported = true;
                report.violations.push_back(
                    "named to callers " +
                    std::to_string(
                        to_milliseconds(now - each.partitioned_since)) +
                    " ms after it was partitioned: " + each.name);
            }
        }
    }

    // Marks a daemon as affected by a fault that lasts for `span`.
    void mark_disturbed(daemon& node, duration span = duration{0})
    {
        node.disturbed_until =
            std::max(node.disturbed_until, clock.now() + span + settling_time);
    }

    void restart_later(std::size_t number, duration span)
    {
        schedule(span, [this, number] {
            auto& node = site.daemons[number];
            if (node.process < 0) {
                site.start(node);
            } else if (node.stopping) {
                restart_later(number, milliseconds{200});
            }
        });
    }

    // Sends SIGTERM, in a third of the cases again with SIGHUP.
    void stop(std::size_t number)
    {
        auto& node = site.daemons[number];
        if (node.process < 0 || node.stopping) {
            return;
        }
        log_fault("stop " + node.name);
        node.stopping = true;
        node.stopped_at = clock.now();
        site.signal(node, SIGTERM);
        if (random_index(3) == 0) {
            site.signal(node, SIGHUP);
            site.signal(node, SIGTERM);
        }
        restart_later(number,
                      random_duration(milliseconds{300}, milliseconds{1500}));
    }

    // Stops, SIGHUPs and changes that overlap: a stop of one daemon or of most
    // of them within a second, a SIGHUP with a stop soon after, or versions.
    void inject_planned_work()
    {
        const auto number = random_index(site.daemons.size());
        const auto kind = random_index(6);
        if (kind < 2) {
            stop(number);
        } else if (kind == 2) {
            log_fault("SIGHUP to " + site.daemons[number].name);
            site.signal(site.daemons[number], SIGHUP);
            schedule(random_duration(milliseconds{0}, milliseconds{500}),
                     [this, number] { stop(number); });
        } else if (kind == 3) {
            for (std::size_t i = 1; i < site.daemons.size(); ++i) {
                schedule(random_duration(milliseconds{0}, milliseconds{1000}),
                         [this, i] { stop(i); });
            }
        } else {
            change_configuration();
        }
    }

    void stop_or_kill()
    {
        const auto number = random_index(site.daemons.size());
        auto& node = site.daemons[number];
        if (node.process < 0) {
            return;
        }
        if (random_index(2) == 0) {
            stop(number);
            return;
        }
        log_fault("kill " + node.name);
        mark_disturbed(node, seconds{2});
        site.signal(node, SIGKILL);
        restart_later(number,
                      random_duration(milliseconds{300}, milliseconds{1500}));
    }

    // Resumes a paused process. The pause is no part of the time that it has
    // to stop.
    void resume(daemon& node)
    {
        site.signal(node, SIGCONT);
        if (node.paused && node.stopping) {
            node.stopped_at +=
                clock.now() - std::max(node.stopped_at, node.paused_at);
        }
        node.paused = false;
    }

    void pause()
    {
        const auto number = random_index(site.daemons.size());
        auto& node = site.daemons[number];
        if (node.process < 0 || node.paused) {
            return;
        }
        const auto span =
            random_duration(milliseconds{300}, milliseconds{3000});
        log_fault("pause " + node.name);
        node.paused = true;
        node.paused_at = clock.now();
        mark_disturbed(node, span);
        site.signal(node, SIGSTOP);
        schedule(span, [this, number] { resume(site.daemons[number]); });
    }

    // Lets a leaf state a limit, for longer than the users' grace time.
    void inject_limit()
    {
        const auto number = random_index(site.leafs.size());
        auto& limit = site.leafs[number].server->faults.rate_limit;
        constexpr double max_limit = 30;
        limit = 0.5 + max_limit * random_fraction(random);
        log_fault("limit of " + std::to_string(limit) + " at leaf " +
                  site.leafs[number].server->options().id);
        schedule(random_duration(milliseconds{5000}, milliseconds{9000}),
                 [this, number] {
                     site.leafs[number].server->faults.rate_limit = 0;
                 });
    }

    // Partitions a daemon from all leafs, while callers, store and peers reach
    // it.
    void inject_partition()
    {
        auto& node = site.daemons[random_index(site.daemons.size())];
        const bool partition_holds = std::any_of(
            site.daemons.begin(), site.daemons.end(), [](const auto& each) {
                return each.partitioned_since != boot_time::max();
            });
        if (partition_holds || node.process < 0) {
            return;
        }
        const bool reset = random_index(2) == 0;
        log_fault(node.name + (reset ? " partitioned from the leafs, reset"
                                     : " partitioned from the leafs, silent"));
        site.partition_from_leafs(node, reset);
        schedule(random_duration(milliseconds{1000}, milliseconds{9000}),
                 [this] { site.heal_partition(); });
    }

    // Each kind but the last sets the share of one fault; the last one makes
    // the leaf slow.
    void inject_leaf_fault()
    {
        const auto number = random_index(site.leafs.size());
        auto& faults = site.leafs[number].server->faults;
        const auto rate_limit = faults.rate_limit;
        faults = {};
        faults.rate_limit = rate_limit;
        const std::array<double*, 5> shares = {&faults.refuse, &faults.lose,
                                               &faults.fail, &faults.truncate,
                                               &faults.repeat};
        const auto kind = random_index(shares.size() + 1);
        if (kind < shares.size()) {
            *shares[kind] = 0.1 + 0.5 * random_fraction(random);
        } else {
            faults.slow_factor = 8;
        }
        log_fault("fault at leaf " + site.leafs[number].server->options().id +
                  ", kind " + std::to_string(kind));
        schedule(random_duration(milliseconds{1000}, milliseconds{4000}),
                 [this, number] {
                     auto& ended = site.leafs[number].server->faults;
                     const auto limit = ended.rate_limit;
                     ended = {};
                     ended.rate_limit = limit;
                 });
    }

    // Kind 0 resets the connections; the others set a condition for a while.
    void inject_link_fault(proxy& link, const std::string& name)
    {
        const auto kind = random_index(4);
        log_fault("fault on the link to " + name + ", kind " +
                  std::to_string(kind));
        if (kind == 0) {
            link.reset_connections();
            return;
        }
        constexpr std::array<link_condition, 3> conditions = {
            link_condition::slow, link_condition::silent,
            link_condition::one_way};
        link.set_condition(conditions[kind - 1]);
        schedule(random_duration(milliseconds{500}, milliseconds{3000}),
                 [&link] { link.set_condition(link_condition::normal); });
    }

    // Restores the store without what was written in the last seconds. The
    // operator and the leafs write it again soon after.
    void restore_store()
    {
        const auto lost = site.platform_store.restore_copy();
        log_fault("the store lost " + std::to_string(lost.size()) + " records");
        schedule(random_duration(milliseconds{200}, milliseconds{1500}),
                 [this, lost] { site.write_again(lost); });
    }

    // Copies the store's content every few seconds.
    void save_copies()
    {
        site.platform_store.save_copy();
        schedule(seconds{3}, [this] { save_copies(); });
    }

    // Kind 0 discards the change history, 1 makes the store refuse requests, 2
    // makes it leave them unanswered, 3 makes it lose its newest changes.
    void inject_store_fault()
    {
        const auto kind = random_index(4);
        if (kind == 3) {
            restore_store();
            return;
        }
        log_fault("fault at the store, kind " + std::to_string(kind));
        if (kind == 0) {
            site.platform_store.drop_history();
            return;
        }
        site.platform_store.set_condition(kind == 1 ? store_condition::refusing
                                                    : store_condition::silent);
        schedule(random_duration(milliseconds{500}, milliseconds{3000}),
                 [this] {
                     site.platform_store.set_condition(store_condition::normal);
                 });
    }

    // Evacuates a random data centre for longer than that may take, and the
    // next one after a pause.
    void evacuate_in_turn()
    {
        const auto name =
            site.daemons[random_index(site.daemons.size())].data_centre;
        log_fault("evacuate " + name);
        begin(evacuated, site, name, clock.now());
        const auto span =
            random_duration(milliseconds{6500}, milliseconds{8000});
        schedule(span, [this, name] {
            log_fault("revoke the evacuation of " + name);
            revoke(evacuated, site);
        });
        schedule(span + random_duration(milliseconds{500}, milliseconds{3000}),
                 [this] { evacuate_in_turn(); });
    }

    // Stops a random leaf of the present shards, in a third of the cases all
    // leafs of its service, and the next ones after a pause. They start cold
    // later. While others serve, a cold leaf gets few requests or none.
    void start_leafs_cold_in_turn()
    {
        if (faults_ended) {
            return;
        }
        auto services = site.shard_services();
        services.emplace_back("single");
        const auto service = services[random_index(services.size())];
        std::vector<std::size_t> numbers;
        for (std::size_t i = 0; i < site.leafs.size(); ++i) {
            if (site.leafs[i].server->options().service == service &&
                starting_leafs.count(i) == 0) {
                numbers.push_back(i);
            }
        }
        if (!numbers.empty() && random_index(3) != 0) {
            numbers = {numbers[random_index(numbers.size())]};
        }
        const bool planned = options.planned_only || random_index(2) == 0;
        for (const auto number : numbers) {
            starting_leafs.insert(number);
            log_fault((planned ? "drain leaf " : "end the process of leaf ") +
                      site.leafs[number].server->options().id);
            if (planned) {
                site.publish(site.leafs[number], true);
                schedule(leaf_drain_time, [this, number] { end_leaf(number); });
            } else {
                stop_leaf(number);
            }
        }
        schedule(random_duration(milliseconds{300}, milliseconds{1500}),
                 [this] { start_leafs_cold_in_turn(); });
    }

    // Stops a drained leaf once its requests have ended.
    void end_leaf(std::size_t number)
    {
        if (site.leafs[number].server->busy()) {
            schedule(milliseconds{50}, [this, number] { end_leaf(number); });
        } else {
            stop_leaf(number);
        }
    }

    void stop_leaf(std::size_t number)
    {
        site.leafs[number].server->stop();
        site.remove(site.leafs[number]);
        const auto cold =
            random_duration(milliseconds{3000}, milliseconds{6000});
        schedule(random_duration(milliseconds{300}, milliseconds{1500}),
                 [this, number, cold] {
                     auto& leaf = *site.leafs[number].server;
                     log_fault("start leaf " + leaf.options().id + " cold");
                     ++report.cold_starts;
                     leaf.restart(cold);
                     announce_leaf(number);
                 });
    }

    // Writes the entry of a leaf until it states that the leaf is not cold.
    void announce_leaf(std::size_t number)
    {
        auto& placed = site.leafs[number];
        const bool cold = placed.server->cold_remaining() > duration{0};
        site.publish(placed, false);
        if (cold) {
            schedule(entry_interval, [this, number] { announce_leaf(number); });
        } else {
            starting_leafs.erase(number);
        }
    }

    void change_configuration()
    {
        if (random_index(4) == 0) {
            log_fault("reshard");
            site.reshard();
            return;
        }
        const auto count = 1 + random_index(5);
        log_fault("publish " + std::to_string(count) + " versions");
        for (std::size_t i = 0; i < count; ++i) {
            schedule(milliseconds{50 * i}, [this] { site.publish_table(); });
        }
    }

    void inject_fault()
    {
        switch (random_index(10)) {
        case 0:
        case 1:
            stop_or_kill();
            return;
        case 2:
            pause();
            return;
        case 3:
        case 4:
            inject_leaf_fault();
            return;
        case 5: {
            auto& each = site.leafs[random_index(site.leafs.size())];
            inject_link_fault(*each.link, each.server->options().id);
            return;
        }
        case 6: {
            auto& each = site.daemons[random_index(site.daemons.size())];
            if (random_index(2) == 0) {
                inject_link_fault(*each.store_link,
                                  "the store from " + each.name);
            } else {
                inject_store_fault();
            }
            return;
        }
        case 7:
            inject_limit();
            return;
        case 8:
            inject_partition();
            return;
        default:
            change_configuration();
        }
    }

    // Requires that every stopped process had answered all that it had read.
    // The daemon states this in its last log line.
    void check_ends()
    {
        for (const auto& each : site.daemons) {
            std::ifstream log(options.site.folder + "/" + each.name + ".log");
            for (std::string line; std::getline(log, line);) {
                if (line.find(" E1103 ") != std::string::npos &&
                    !line.ends_with("unanswered=0 unsent=0")) {
                    report.violations.push_back(each.name + ": " + line);
                }
            }
        }
    }

    // Replaces the daemons that run the second program by the first one, one
    // after the other, spread over the time in which faults are injected.
    void replace_second_program()
    {
        std::vector<std::size_t> numbers;
        for (std::size_t i = 0; i < site.daemons.size(); ++i) {
            if (site.daemons[i].program != options.site.program) {
                numbers.push_back(i);
            }
        }
        const auto count = static_cast<std::int64_t>(numbers.size());
        for (std::int64_t i = 0; i < count; ++i) {
            const auto number = numbers[static_cast<std::size_t>(i)];
            schedule(options.fault_duration * (i + 1) / (count + 1),
                     [this, number] {
                         auto& node = site.daemons[number];
                         log_fault("replace the program of " + node.name);
                         node.program = options.site.program;
                         stop(number);
                     });
        }
    }

    void clear_faults()
    {
        log_fault("clear all faults");
        faults_ended = true;
        site.heal_partition();
        for (auto& each : site.leafs) {
            each.server->faults = {};
            each.link->set_condition(link_condition::normal);
        }
        for (auto& each : site.daemons) {
            each.store_link->set_condition(link_condition::normal);
            resume(each);
        }
        site.platform_store.set_condition(store_condition::normal);
        for (std::size_t i = 0; i < site.daemons.size(); ++i) {
            restart_later(i, milliseconds{10});
        }
    }

    void run()
    {
        for (auto& each : site.daemons) {
            mark_disturbed(each);
            site.start(each);
        }
        save_copies();
        run_for(warm_up);
        replace_second_program();
        if (options.evacuate) {
            evacuate_in_turn();
        }
        if (options.site.cold_per_second > 0) {
            start_leafs_cold_in_turn();
        }
        const boot_time end = clock.now() + options.fault_duration;
        while (clock.now() < end) {
            options.planned_only ? inject_planned_work() : inject_fault();
            run_for(random_duration(milliseconds{100}, milliseconds{700}));
        }
        clear_faults();
        const boot_time latest = clock.now() + recovery_limit;
        run_for(seconds{1});
        while (load.recent_successes() < min_recent_successes &&
               clock.now() < latest) {
            run_for(milliseconds{100});
        }
        if (load.recent_successes() < min_recent_successes) {
            report.violations.push_back(
                "service did not recover: " +
                std::to_string(load.recent_successes()) +
                " of the last 100 requests succeeded");
        }
        load.stop_sending();
        late.stop_sending();
        run_for(seconds{3});
        load.check_executions();
        report.violations.insert(report.violations.end(),
                                 load.violations().begin(),
                                 load.violations().end());
        if (options.planned_only) {
            check_ends();
        }
        const auto lost = late.lost_requests();
        report.violations.insert(report.violations.end(), lost.begin(),
                                 lost.end());
        report.evacuations = evacuated.count;
        report.tally = load.tally();
        report.late = late.tally();
        report.store_calls = site.platform_store.calls();
    }
};

} // namespace

soak_report run_soak(const soak_options& options)
{
    const auto base = client::make_event_base();
    soak running(base.get(), options);
    running.run();
    return running.report;
}

} // namespace bulrushspring::site
