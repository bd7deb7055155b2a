#ifndef BULRUSHSPRING_TESTS_GATEWAY_CRASHING_FIXTURE_HPP
#define BULRUSHSPRING_TESTS_GATEWAY_CRASHING_FIXTURE_HPP

#include "tests/gateway/gateway_fixture.hpp"

#include <set>

namespace bulrushspring::gateway::test
{

// Leafs that crash when a request to /s/poison or /q/poison is sent to them,
// and whose addresses refuse connections from then on.
struct crashing_fixture : gateway_fixture {
    std::set<std::string> down;
    std::set<std::string> replaced;    // another leaf answers at the address
    std::vector<send_to_leaf> running; // sent and not answered
    std::vector<answer_request> answers;
    std::size_t poisoned = 0; // leafs that got the poison request
    // The other daemon, as the arbiter of some requests.
    poison::state known_to_arbiter;
    poison::trials permitted_by_arbiter;
    bool arbiter_answers = true;

    static bool is_poison(const send_to_leaf& sent)
    {
        return sent.request->target.ends_with("/poison");
    }

    // Ends a leaf's process: its connections close.
    void crash(const std::string& leaf)
    {
        down.insert(leaf);
        std::erase_if(running,
                      [&](const auto& each) { return each.leaf == leaf; });
        std::vector<connection_id> ended;
        for (const auto& [id, each] : state.pool.connections) {
            if (each.leaf == leaf && each.open) {
                ended.push_back(connection_id{id});
            }
        }
        for (const auto id : ended) {
            feed(leaf_disconnected{id, error{}});
        }
    }

    // A crashed leaf is back under another id.
    void replace(const std::string& leaf, const std::string& service)
    {
        replaced.insert(leaf);
        publish(gateway_fixture::leaf(leaf, service), true);
        publish(gateway_fixture::leaf(leaf + "x", service));
    }

    // Establishes or refuses the connections that were requested.
    void answer_opens()
    {
        for (const auto& each : take<open_leaf>()) {
            const auto found =
                state.pool.connections.find(raw(each.connection));
            if (found == state.pool.connections.end()) {
                continue;
            }
            if (down.count(found->second.leaf) > 0) {
                feed(leaf_disconnected{each.connection, error{}});
            } else {
                feed(leaf_connected{each.connection});
            }
        }
    }

    // Takes what was sent; leafs that get the poison request crash.
    void run_leafs()
    {
        for (auto sent = take<send_to_leaf>(); !sent.empty();
             sent = take<send_to_leaf>()) {
            std::vector<send_to_leaf> run;
            for (const auto& each : sent) {
                if (replaced.count(each.leaf) > 0) {
                    refuse(each, 421);
                } else {
                    run.push_back(each);
                    running.push_back(each);
                }
            }
            for (const auto& each : run) {
                if (is_poison(each)) {
                    ++poisoned;
                    crash(each.leaf);
                }
            }
        }
    }

    void answer_running()
    {
        const auto answered = std::exchange(running, {});
        for (const auto& each : answered) {
            reply(each, "1 a");
        }
    }

    // Removes the requests to the arbiter from the effects and returns them.
    std::vector<send_peer_request> take_trial_requests()
    {
        std::vector<send_peer_request> requests;
        std::erase_if(shared, [&](const auto& each) {
            const auto* sent = std::get_if<send_peer_request>(&each);
            const bool asks = sent != nullptr &&
                              std::holds_alternative<wire::crash_trial_request>(
                                  sent->request);
            if (asks) {
                requests.push_back(*sent);
            }
            return asks;
        });
        return requests;
    }

    void answer_trials()
    {
        if (!arbiter_answers) {
            return;
        }
        for (const auto& each : take_trial_requests()) {
            const auto& known =
                std::get<wire::crash_trial_request>(each.request).known;
            poison::merge(known_to_arbiter, known, clock.now());
            if (std::get<wire::crash_trial_request>(each.request).withdrawn) {
                poison::withdraw_trial(permitted_by_arbiter,
                                       poison::fingerprint{known.fingerprint});
                continue;
            }
            const bool permitted = poison::permit_trial(
                settings.exchanges.trials, permitted_by_arbiter,
                known_to_arbiter, poison::fingerprint{known.fingerprint},
                clock.now());
            feed(peer_reply_received{
                each.exchange,
                wire::peer_reply{wire::crash_trial_reply{permitted, known}}});
        }
    }

    // Lets leafs, connections and timers run for this long. Requests are
    // answered after some milliseconds.
    void settle(duration span)
    {
        for (duration left = span; left > duration{0};
             left -= milliseconds{5}) {
            answer_trials();
            answer_opens();
            run_leafs();
            advance(milliseconds{5});
            answer_opens();
            answer_running();
            for (auto& each : take<answer_request>()) {
                answers.push_back(std::move(each));
            }
        }
    }
};

} // namespace bulrushspring::gateway::test

#endif
