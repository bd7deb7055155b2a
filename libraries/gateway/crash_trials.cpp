#include "libraries/gateway/crash_trials.hpp"

#include "libraries/gateway/answers.hpp"
#include "libraries/gateway/crash_watch.hpp"
#include "libraries/gateway/events.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// Applies the arbiter's decision to the exchange, which may have ended or may
// not need it any more.
void resolve(exchange_step& step, const asked_trial& asked, bool permitted)
{
    const auto found = step.state.exchanges.find(raw(asked.token));
    if (found == step.state.exchanges.end()) {
        if (permitted) {
            step.state.trials_unused.push_back(asked.fingerprint);
        }
        return;
    }
    auto& exchange = found->second;
    step.context.log(make_record(trial_decided,
                                 field("request", exchange.request->id),
                                 field("host", exchange.request->host),
                                 field("target", exchange.request->target),
                                 field("arbiter", asked.arbiter),
                                 field("permitted", permitted ? 1 : 0)));
    const auto otherwise = lacks_permission(step, exchange)
                               ? trial_phase::refused
                               : trial_phase::none;
    exchange.trial = permitted ? trial_phase::permitted : otherwise;
    step.state.to_resume.push_back(asked.token);
}

void withdraw_unused(exchange_step& step,
                     std::span<const wire::member_record> live)
{
    auto& state = step.state;
    for (const auto of : std::exchange(state.trials_unused, {})) {
        const auto& arbiter = poison::arbiter_of(of, live);
        if (&arbiter == &live.front()) {
            poison::withdraw_trial(state.trials, of);
            continue;
        }
        step.context.shared.emit(send_peer_request{
            step.context.shared.new_identifier<exchange_id>(), arbiter.peer,
            wire::crash_trial_request{
                poison::report_of(state.poison, of, step.context.now), true},
            state.settings.trials.arbiter_timeout});
    }
}

} // namespace

bool lacks_permission(const exchange_step& step, exchange& of)
{
    const auto& state = step.state;
    return !state.poison.records.empty() &&
           of.trial != trial_phase::permitted &&
           poison::requires_trial(state.settings.trials, state.poison,
                                  fingerprint_of(of), step.context.now);
}

boot_time want_permission(exchange_step& step, exchange& of)
{
    if (of.trial == trial_phase::none) {
        of.trial = trial_phase::wanted;
        step.state.trials_wanted.push_back(of.token);
    }
    // A reply, or its failure, resumes the exchange before.
    return step.context.now + 2 * step.state.settings.trials.arbiter_timeout;
}

void return_permission(exchange_step& step, exchange& of)
{
    if (of.trial == trial_phase::permitted) {
        step.state.trials_unused.push_back(fingerprint_of(of));
    }
}

void ask_arbiters(exchange_step& step,
                  std::span<const wire::member_record> live)
{
    auto& state = step.state;
    withdraw_unused(step, live);
    for (const auto token : std::exchange(state.trials_wanted, {})) {
        const auto found = state.exchanges.find(raw(token));
        if (found == state.exchanges.end()) {
            continue;
        }
        const auto of = fingerprint_of(found->second);
        const auto& arbiter = poison::arbiter_of(of, live);
        const asked_trial asked{token, of, arbiter.name};
        if (&arbiter == &live.front()) {
            const bool permitted =
                poison::permit_trial(state.settings.trials, state.trials,
                                     state.poison, of, step.context.now);
            resolve(step, asked, permitted);
            continue;
        }
        const auto id = step.context.shared.new_identifier<exchange_id>();
        state.trials_asked[id] = asked;
        step.context.shared.emit(
            send_peer_request{id, arbiter.peer,
                              wire::crash_trial_request{poison::report_of(
                                  state.poison, of, step.context.now)},
                              state.settings.trials.arbiter_timeout});
    }
}

void reply_to_trial_request(exchange_step& step, peer_token token,
                            const wire::crash_trial_request& request)
{
    auto& state = step.state;
    const poison::fingerprint of{request.known.fingerprint};
    if (request.withdrawn) {
        poison::withdraw_trial(state.trials, of);
    }
    const bool permitted =
        !request.withdrawn &&
        poison::permit_trial(state.settings.trials, state.trials, state.poison,
                             of, step.context.now);
    step.context.shared.emit(reply_to_peer{
        token,
        wire::crash_trial_reply{
            permitted, poison::report_of(state.poison, of, step.context.now)}});
}

void handle_trial_reply(exchange_step& step, const peer_reply_received& event)
{
    const auto found = step.state.trials_asked.find(event.exchange);
    if (found == step.state.trials_asked.end()) {
        return;
    }
    const auto asked = found->second;
    step.state.trials_asked.erase(found);
    const auto* reply =
        event.reply ? std::get_if<wire::crash_trial_reply>(&event.reply.value())
                    : nullptr;
    resolve(step, asked, reply != nullptr && reply->permitted);
}

forward_answer refused_trial_answer(const exchange_step& step, exchange& of)
{
    auto answer = empty_answer(step, of);
    if (answer.kind == answer_kind::not_run) {
        answer.retry_after = step.state.settings.trials.retry_after;
    }
    return answer;
}

} // namespace bulrushspring::gateway
