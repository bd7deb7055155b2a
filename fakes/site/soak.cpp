#include "fakes/site/soak.hpp"

#include <csignal>

namespace bulrushspring::site
{
namespace
{

constexpr seconds warm_up{3};
constexpr seconds recovery_limit{12};     // as the users' rules bound it
constexpr milliseconds disturbance{4000}; // after which a daemon is calm again
constexpr std::size_t recovered_successes = 90; // of the last 100 requests

// A soak in progress.
struct soak {
    event_base* base;
    const soak_options& options;
    installation site;
    callers asking;
    random_source random;
    machine_clock clock;
    boot_time began = clock.now();
    std::vector<std::pair<boot_time, std::function<void()>>> later;
    soak_report report;

    soak(event_base* loop, const soak_options& settings)
        : base(loop), options(settings), site(loop, settings.site),
          asking(loop, site, settings.callers, settings.site.seed + 1),
          random(settings.site.seed)
    {
    }

    void note(const std::string& what)
    {
        report.faults.push_back(
            std::to_string(whole_milliseconds(clock.now() - began)) + " ms " +
            what);
    }

    void after(duration span, std::function<void()> act)
    {
        later.emplace_back(clock.now() + span, std::move(act));
    }

    duration some(milliseconds least, milliseconds most)
    {
        return least +
               milliseconds{random_below(
                   random, static_cast<std::uint64_t>((most - least).count()))};
    }

    std::size_t pick(std::size_t count) { return random_below(random, count); }

    void turn(duration span)
    {
        const boot_time end = clock.now() + span;
        while (clock.now() < end) {
            const auto step = shell::to_timeval(milliseconds{10});
            event_base_loopexit(base, &step);
            event_base_dispatch(base);
            act_on_later();
            check_now();
        }
    }

    void act_on_later()
    {
        std::vector<std::function<void()>> due;
        std::erase_if(later, [&](auto& each) {
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

    void check_now()
    {
        if (!site.collect()) {
            report.violations.emplace_back("a daemon ended by itself");
        }
        for (const auto& each : site.leafs) {
            if (each.server->connections() > site.connection_limit) {
                report.violations.push_back("over its connections: " +
                                            each.server->options().id);
            }
        }
    }

    void disturb(daemon& which, duration span = duration{0})
    {
        which.disturbed_until =
            std::max(which.disturbed_until, clock.now() + span + disturbance);
    }

    void restart_later(std::size_t number, duration span)
    {
        after(span, [this, number] {
            auto& which = site.daemons[number];
            if (which.process < 0) {
                site.start(which);
            } else if (which.stopping) {
                restart_later(number, milliseconds{200});
            }
        });
    }

    void stop_or_kill()
    {
        const auto number = pick(site.daemons.size());
        auto& which = site.daemons[number];
        if (which.process < 0) {
            return;
        }
        const bool planned = pick(2) == 0;
        note((planned ? "stop " : "kill ") + which.name);
        if (planned) {
            which.stopping = true;
            site.signal(which, SIGTERM);
            if (pick(3) == 0) {
                site.signal(which, SIGHUP);
                site.signal(which, SIGTERM);
            }
        } else {
            disturb(which, seconds{2});
            site.signal(which, SIGKILL);
        }
        restart_later(number, some(milliseconds{300}, milliseconds{1500}));
    }

    void pause()
    {
        const auto number = pick(site.daemons.size());
        auto& which = site.daemons[number];
        if (which.process < 0 || which.paused) {
            return;
        }
        const auto span = some(milliseconds{300}, milliseconds{3000});
        note("pause " + which.name);
        which.paused = true;
        disturb(which, span);
        site.signal(which, SIGSTOP);
        after(span, [this, number] {
            site.signal(site.daemons[number], SIGCONT);
            site.daemons[number].paused = false;
        });
    }

    void spoil_leaf()
    {
        const auto number = pick(site.leafs.size());
        auto& faults = site.leafs[number].server->faults;
        faults = {};
        const std::array<double*, 5> shares = {&faults.refuse, &faults.lose,
                                               &faults.fail, &faults.truncate,
                                               &faults.repeat};
        const auto which = pick(shares.size() + 1);
        if (which < shares.size()) {
            *shares[which] = 0.1 + 0.5 * random_fraction(random);
        } else {
            faults.slow_factor = 8;
        }
        note("spoil " + site.leafs[number].server->options().id + " kind " +
             std::to_string(which));
        after(some(milliseconds{1000}, milliseconds{4000}),
              [this, number] { site.leafs[number].server->faults = {}; });
    }

    void harm_link(proxy& link, const std::string& name)
    {
        const auto which = pick(4);
        note("harm the link to " + name + " kind " + std::to_string(which));
        if (which == 0) {
            link.reset_connections();
            return;
        }
        constexpr std::array<link_mood, 3> moods = {
            link_mood::slow, link_mood::silent, link_mood::one_way};
        link.set_mood(moods[which - 1]);
        after(some(milliseconds{500}, milliseconds{3000}),
              [&link] { link.set_mood(link_mood::well); });
    }

    void harm_store()
    {
        const auto which = pick(3);
        note("harm the store, kind " + std::to_string(which));
        if (which == 0) {
            site.platform_store.drop_history();
            return;
        }
        site.platform_store.set_mood(which == 1 ? store_mood::refusing
                                                : store_mood::silent);
        after(some(milliseconds{500}, milliseconds{3000}),
              [this] { site.platform_store.set_mood(store_mood::well); });
    }

    void change_table()
    {
        if (pick(4) == 0) {
            note("reshard");
            site.reshard();
            return;
        }
        const auto count = 1 + pick(5);
        note("publish " + std::to_string(count) + " versions");
        for (std::size_t i = 0; i < count; ++i) {
            after(milliseconds{50 * i}, [this] { site.publish_table(); });
        }
    }

    void act()
    {
        switch (pick(8)) {
        case 0:
        case 1:
            stop_or_kill();
            return;
        case 2:
            pause();
            return;
        case 3:
        case 4:
            spoil_leaf();
            return;
        case 5: {
            auto& each = site.leafs[pick(site.leafs.size())];
            harm_link(*each.link, each.server->options().id);
            return;
        }
        case 6: {
            auto& each = site.daemons[pick(site.daemons.size())];
            if (pick(2) == 0) {
                harm_link(*each.store_link, "the store, of " + each.name);
            } else {
                harm_store();
            }
            return;
        }
        default:
            change_table();
        }
    }

    void heal()
    {
        note("heal");
        for (auto& each : site.leafs) {
            each.server->faults = {};
            each.link->set_mood(link_mood::well);
        }
        for (auto& each : site.daemons) {
            each.store_link->set_mood(link_mood::well);
            site.signal(each, SIGCONT);
        }
        site.platform_store.set_mood(store_mood::well);
        for (std::size_t i = 0; i < site.daemons.size(); ++i) {
            restart_later(i, milliseconds{10});
        }
    }

    void run()
    {
        for (auto& each : site.daemons) {
            disturb(each);
            site.start(each);
        }
        turn(warm_up);
        const boot_time end = clock.now() + options.faults_for;
        while (clock.now() < end) {
            act();
            turn(some(milliseconds{100}, milliseconds{700}));
        }
        heal();
        const boot_time latest = clock.now() + recovery_limit;
        turn(seconds{1});
        while (asking.recent_successes() < recovered_successes &&
               clock.now() < latest) {
            turn(milliseconds{100});
        }
        if (asking.recent_successes() < recovered_successes) {
            report.violations.push_back(
                "no recovery: " + std::to_string(asking.recent_successes()) +
                " of the last 100 requests succeeded");
        }
        asking.stop_asking();
        turn(seconds{3});
        asking.check_executions();
        report.violations.insert(report.violations.end(),
                                 asking.violations().begin(),
                                 asking.violations().end());
        report.tally = asking.tally();
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
