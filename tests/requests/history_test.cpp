#include "tests/requests/simulation.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace bulrushspring;
using namespace bulrushspring::requests_test;

namespace
{

// One step of a random history. `what` selects the action, `one` and `other`
// the daemons, requests and messages that it applies to.
struct step {
    std::uint32_t what = 0;
    std::uint32_t one = 0;
    std::uint32_t other = 0;
};

std::ostream& operator<<(std::ostream& out, const step& shown)
{
    return out << '{' << shown.what << ',' << shown.one << ',' << shown.other
               << '}';
}

constexpr std::size_t daemons = 3;
constexpr milliseconds spans[] = {milliseconds{1},    milliseconds{300},
                                  milliseconds{1100}, seconds{3},
                                  seconds{12},        seconds{32}};

// Runs random steps with callers that follow docs/CALLERS.md, except that they
// may repeat a request through another entry.
class history
{
public:
    explicit history(const requests::options& settings)
        : simulation(daemons, settings)
    {
    }

    requests_test::simulation simulation;

    void apply(const step& next)
    {
        switch (next.what % 16) {
        case 0:
        case 1:
            submit_first(next);
            break;
        case 2:
        case 3:
            repeat(next, false);
            break;
        case 4:
            repeat(next, true);
            break;
        case 5:
        case 6:
            with_message(next, [&](auto& sent) { simulation.execute(sent); });
            break;
        case 7:
            with_message(next, [&](auto& sent) {
                simulation.execute(sent, false);
                simulation.lose_connection(sent);
            });
            break;
        case 8:
            with_message(next,
                         [&](auto& sent) { simulation.lose_connection(sent); });
            break;
        case 9:
            with_message(next, [&](auto& sent) {
                simulation.refuse(sent, next.other % 2 == 0
                                            ? leaf_status::shed
                                            : leaf_status::draining);
            });
            break;
        case 10:
            with_message(next, [&](auto& sent) {
                simulation.fail_before_sending(sent);
            });
            break;
        case 11:
            deliver_mismatched_answer(next);
            break;
        case 12:
            with_message(next, [&](auto& sent) { deliver_answer_twice(sent); });
            break;
        case 13:
            simulation.run(spans[next.other % std::size(spans)]);
            break;
        case 14:
            suspend_or_restart(next);
            break;
        default:
            change(next);
            break;
        }
    }

    // Runs until nothing is pending. Messages that are still in transit are
    // executed late.
    void finish()
    {
        for (std::size_t i = 0; i < daemons; ++i) {
            simulation.resume(i);
        }
        simulation.run(seconds{2});
        for (std::size_t i = 0; i < simulation.messages.size(); ++i) {
            simulation.execute(simulation.messages[i]);
        }
        simulation.run(seconds{60});
    }

    // Checks that no request ran twice, that every caller got exactly one true
    // answer, and that no daemon keeps any state.
    void check() const
    {
        RC_ASSERT(simulation.violations.empty());
        for (const auto& [body, times] : simulation.executions) {
            RC_ASSERT(times <= 1);
        }
        for (const auto& [token, attempt] : simulation.caller_attempts) {
            check(attempt);
        }
        for (const auto& one : simulation.daemons) {
            RC_ASSERT(one.requests.request_ledger.expiries.empty());
            RC_ASSERT(one.requests.request_ledger.records.empty());
            RC_ASSERT(one.requests.pending.empty());
            RC_ASSERT(one.requests.attempts.empty());
            RC_ASSERT(one.requests.joined.empty());
            RC_ASSERT(one.admission.running.empty());
        }
    }

private:
    int ids_[2] = {};

    void check(const caller_attempt& attempt) const
    {
        const bool restarted = attempt.incarnation !=
                               simulation.daemons[attempt.daemon].incarnation;
        const bool reads = attempt.request.service == "tracker";
        if (attempt.answers.empty()) {
            RC_ASSERT(restarted || attempt.left);
            return;
        }
        const auto& body = *attempt.request.body;
        const auto found = simulation.executions.find(body);
        const int times =
            found == simulation.executions.end() ? 0 : found->second;
        const auto& answer = attempt.answers.front();
        if (attempt.left) {
            return;
        }
        RC_ASSERT(answer.request_id == attempt.request.id);
        if (answer.run == execution::not_run) {
            RC_ASSERT(times == 0 || reads);
        }
        if (answer.status == answer_status::partial) {
            RC_ASSERT(times >= 1);
            RC_ASSERT(answer.reason == "body_not_kept");
        }
        if (answer.status == answer_status::answered) {
            RC_ASSERT(times >= 1);
            RC_ASSERT(answer.body == "done " + body);
        }
        if (answer.status == answer_status::refused ||
            answer.status == answer_status::outcome_unknown) {
            RC_ASSERT(answer.run != execution::ran);
        }
    }

    void submit_first(const step& next)
    {
        const auto which = next.other % 2;
        const auto to = next.one % daemons;
        // Both callers use the same ids, some of which are bound to the grant.
        auto id = "r" + std::to_string(ids_[which]++);
        if (next.other % 4 >= 2) {
            id = simulation.daemons[to].grant.substr(0, 17) + id;
        }
        simulation.submit(
            to, simulation.make_request(which == 0 ? "home" : "school", id));
    }

    // Repeats the latest attempt of a request, unless the answer to it was "not
    // run": the caller would start over then.
    void repeat(const step& next, bool elsewhere)
    {
        if (simulation.caller_attempts.empty()) {
            return;
        }
        auto token = 1 + next.one % simulation.caller_attempts.size();
        for (const auto& [later, attempt] : simulation.caller_attempts) {
            const auto& chosen = simulation.caller_attempts.at(token).request;
            if (attempt.request.id == chosen.id &&
                attempt.request.caller == chosen.caller) {
                token = std::max<std::uint64_t>(token, later);
            }
        }
        if (simulation.answer_of(token).run == execution::not_run) {
            return;
        }
        const auto home = simulation.caller_attempts.at(token).daemon;
        simulation.repeat(
            elsewhere ? (home + 1 + next.other % 2) % daemons : home, token);
    }

    template <typename Action>
    void with_message(const step& next, Action action)
    {
        if (!simulation.messages.empty()) {
            action(simulation.messages[next.one % simulation.messages.size()]);
        }
    }

    // Delivers the answer to, or refusal of, one message on the connection of
    // another.
    void deliver_mismatched_answer(const step& next)
    {
        if (simulation.messages.size() < 2) {
            return;
        }
        const auto& on =
            simulation.messages[next.one % simulation.messages.size()];
        const auto& of =
            simulation.messages[next.other % simulation.messages.size()];
        if (&on == &of || on.ended) {
            return;
        }
        auto answer = simulation.answer_to(of);
        // Both callers may use the same id; then only the attempt differs.
        const bool told_by_id =
            of.what.request.request_id != on.what.request.request_id;
        answer.same_attempt = told_by_id && next.other % 2 == 0;
        if (next.other % 3 == 0) {
            answer.status = leaf_status::shed;
            answer.run = execution::not_run;
        }
        simulation.deliver_answer(on, answer);
    }

    void deliver_answer_twice(message& sent)
    {
        const bool fresh = !sent.consumed && !sent.ended;
        simulation.execute(sent);
        if (fresh) {
            simulation.deliver_answer(sent, simulation.answer_to(sent));
        }
    }

    void suspend_or_restart(const step& next)
    {
        const auto which = next.one % daemons;
        switch (next.other % 4) {
        case 0:
        case 1:
            simulation.suspend(which);
            break;
        case 2:
            simulation.resume(which);
            break;
        default:
            simulation.restart(which);
            break;
        }
    }

    void change(const step& next)
    {
        switch (next.other % 3) {
        case 0:
            simulation.renew_grant(next.one % daemons);
            break;
        case 1:
            simulation.change_manifest(2 + next.one % 3, 17 + next.one % 3);
            break;
        default:
            if (!simulation.caller_attempts.empty()) {
                simulation.disconnect_caller(
                    1 + next.one % simulation.caller_attempts.size());
            }
            break;
        }
    }
};

rc::Gen<step> arbitrary_step()
{
    const auto number = [] { return rc::gen::inRange<std::uint32_t>(0, 1000); };
    return rc::gen::build<step>(rc::gen::set(&step::what, number()),
                                rc::gen::set(&step::one, number()),
                                rc::gen::set(&step::other, number()));
}

void run_history(const requests::options& settings)
{
    const auto steps = *rc::gen::resize(
        150, rc::gen::container<std::vector<step>>(arbitrary_step()));
    history history(settings);
    for (const auto& next : steps) {
        history.apply(next);
    }
    history.finish();
    history.check();
}

} // namespace

BOOST_AUTO_TEST_SUITE(histories)

RC_BOOST_PROP(run_at_most_once_and_refuse_truthfully, ())
{
    run_history({});
}

RC_BOOST_PROP(hold_with_a_small_ledger, ())
{
    requests::options settings;
    settings.ledger.max_records = 4;
    settings.ledger.max_total_body_bytes = 64;
    settings.max_joined = 1;
    run_history(settings);
}

BOOST_AUTO_TEST_SUITE_END()
