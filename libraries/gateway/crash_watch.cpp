#include "libraries/gateway/crash_watch.hpp"

#include "base/hash.hpp"
#include "libraries/gateway/answers.hpp"
#include "libraries/gateway/attempts.hpp"
#include "libraries/gateway/crash_trials.hpp"
#include "libraries/gateway/events.hpp"
#include "libraries/gateway/leaf_connections.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// How often what is published of watched leafs is looked at.
constexpr milliseconds review_interval{50};

poison::fingerprint fingerprint_of(const forward_request& request)
{
    std::uint64_t hash = stable_hash(request.credentials);
    for (const auto* text :
         {&request.method, &request.host, &request.target, &request.body}) {
        hash = stable_hash(*text, hash);
    }
    return poison::fingerprint{hash};
}

bool nothing_known(const exchange_step& step)
{
    return step.state.poison.records.empty();
}

// Refuses a request that is poison, and lets it be remembered for as long
// again. Returns when its caller may come back.
duration remember_refusal(exchange_step& step, poison::fingerprint refused)
{
    auto& table = step.state.poison;
    const auto& known = table.records.at(static_cast<std::uint64_t>(refused));
    // The other daemons would forget it, but need not hear of each refusal.
    if (step.context.now - known.seen_at > table.settings.retention / 2) {
        step.state.to_share.push_back(refused);
    }
    return poison::add_refusal(table, refused, step.context.now);
}

// Lets the exchanges that wait for the verdict on a leaf go on.
void release_waiting(exchange_step& step, const leaf_watch& watch)
{
    for (const auto& each : watch.interrupted) {
        step.state.to_resume.push_back(each.exchange);
    }
}

void log_verdict(exchange_step& step, const std::string& leaf,
                 const leaf_watch& watch, bool crashed, std::size_t blamed)
{
    step.context.log(make_record(
        leaf_crash_checked, field("leaf", leaf),
        field("request", watch.interrupted.front().request->id),
        field("crashed", crashed ? 1 : 0),
        field("interrupted", watch.interrupted.size()), field("blamed", blamed),
        field("after_ms", to_milliseconds(step.context.now - watch.ended_at))));
}

void dismiss(exchange_step& step, const std::string& leaf, leaf_watch& watch)
{
    watch.decided = true;
    log_verdict(step, leaf, watch, false, 0);
    release_waiting(step, watch);
}

// Adds the crash to the blamed request's record.
void blame(exchange_step& step, const std::string& leaf,
           const leaf_watch& watch, const interrupted_attempt& blamed)
{
    auto& table = step.state.poison;
    const bool known = poison::is_poison(table, blamed.fingerprint);
    const poison::crash crash{watch.process, blamed.sent_at, watch.ended_at};
    if (!poison::add_crash(table, blamed.fingerprint, crash,
                           step.context.now)) {
        return;
    }
    step.state.to_share.push_back(blamed.fingerprint);
    if (known || !poison::is_poison(table, blamed.fingerprint)) {
        return;
    }
    step.context.log(make_record(
        request_poisonous, field("request", blamed.request->id),
        field("host", blamed.request->host),
        field("target", blamed.request->target), field("leaf", leaf),
        field("crashes", table.settings.max_crashes)));
    resume_poison(step.state);
}

void confirm(exchange_step& step, const std::string& leaf, leaf_watch& watch)
{
    watch.decided = true;
    std::vector<poison::fingerprint> running;
    for (const auto& each : watch.interrupted) {
        running.push_back(each.fingerprint);
    }
    const auto blamed = poison::to_blame(step.state.poison, running);
    log_verdict(step, leaf, watch, true, blamed.size());
    for (const auto& each : watch.interrupted) {
        if (std::find(blamed.begin(), blamed.end(), each.fingerprint) !=
            blamed.end()) {
            blame(step, leaf, watch, each);
        }
    }
    release_waiting(step, watch);
}

leaf_watch* find_undecided(exchange_step& step, const std::string& leaf)
{
    const auto found = step.state.watches.find(leaf);
    return found == step.state.watches.end() || found->second.decided
               ? nullptr
               : &found->second;
}

// Whether what is published says that the watched process has ended.
bool is_replaced(exchange_step& step, const std::string& id,
                 const leaf_watch& watch)
{
    const auto* leaf = find_leaf(step.pool, id);
    return leaf == nullptr || leaf->incarnations != watch.incarnations ||
           (watch.listed && !leaf->listed);
}

// The watch of the leaf that an attempt was interrupted at; null if the leaf is
// not to be watched: it ends as planned, or too many are watched.
leaf_watch* find_or_add_watch(exchange_step& step, const leaf_state& leaf)
{
    auto& watches = step.state.watches;
    const auto& id = leaf.published.id;
    const auto found = watches.find(id);
    if (found != watches.end() &&
        found->second.incarnations == leaf.incarnations &&
        !found->second.decided) {
        return &found->second;
    }
    if (leaf.leaving || leaf.published.draining ||
        (found == watches.end() &&
         watches.size() >= step.state.settings.max_watched_leafs)) {
        return nullptr;
    }
    if (watches.empty()) {
        step.state.watches_reviewed_at = step.context.now + review_interval;
    }
    auto& added = watches[id];
    added = {};
    added.process = stable_hash(id, leaf.published.incarnation);
    added.incarnations = leaf.incarnations;
    added.listed = leaf.listed;
    added.ended_at = step.context.now;
    return &added;
}

} // namespace

poison::fingerprint fingerprint_of(exchange& of)
{
    if (!of.fingerprint) {
        of.fingerprint = fingerprint_of(*of.request);
    }
    return *of.fingerprint;
}

void watch_leaf(exchange_step& step, const leaf_connection& connection,
                const attempt& ended)
{
    auto* leaf = find_leaf(step.pool, ended.leaf);
    if (leaf == nullptr || !ended.sent ||
        connection.incarnation != leaf->incarnations) {
        return;
    }
    auto* watch = find_or_add_watch(step, *leaf);
    const auto& settings = step.state.settings;
    if (watch == nullptr ||
        watch->interrupted.size() >= settings.max_interrupted) {
        return;
    }
    const auto fingerprint = fingerprint_of(*ended.request);
    watch->interrupted.push_back(
        {fingerprint, ended.request, ended.exchange, ended.sent_at});
    watch->checked =
        watch->checked || open_check(step.pool, *leaf, step.context);
    const auto found = step.state.exchanges.find(raw(ended.exchange));
    // Which of several requests crashed the leaf is told by later attempts, so
    // these must not run side by side again before the first is judged.
    const bool ambiguous = leaf->in_flight > 0 || watch->interrupted.size() > 1;
    // The parts of a query would reach as many leafs again at once.
    const bool many_parts =
        found != step.state.exchanges.end() && found->second.parts.size() > 1;
    if (found != step.state.exchanges.end() && watch->checked &&
        (ambiguous || many_parts ||
         poison::is_suspect(step.state.poison, fingerprint))) {
        found->second.held_until = step.context.now + settings.verdict_wait;
    }
}

void apply_connect_result(exchange_step& step,
                          const leaf_connection& connection, bool established)
{
    auto* watch = find_undecided(step, connection.leaf);
    if (watch == nullptr || connection.incarnation != watch->incarnations ||
        connection.since < watch->ended_at) {
        return;
    }
    if (established) {
        dismiss(step, connection.leaf, *watch);
    } else if (step.context.now - watch->ended_at <=
               step.state.settings.check_timeout) {
        confirm(step, connection.leaf, *watch);
    }
}

void apply_answer(exchange_step& step, const attempt& answered,
                  const leaf_reply& reply)
{
    auto* watch = find_undecided(step, answered.leaf);
    if (watch != nullptr && answered.sent_at >= watch->ended_at) {
        dismiss(step, answered.leaf, *watch);
    }
    if (nothing_known(step) || !has_run(reply)) {
        return;
    }
    const auto found = step.state.exchanges.find(raw(answered.exchange));
    const auto fingerprint = found == step.state.exchanges.end()
                                 ? fingerprint_of(*answered.request)
                                 : fingerprint_of(found->second);
    if (poison::add_answer(step.state.poison, fingerprint, step.context.now)) {
        step.state.to_share.push_back(fingerprint);
        step.state.to_resume.push_back(answered.exchange);
    }
}

void review_crashes(exchange_step& step)
{
    auto& state = step.state;
    if (step.context.now < state.watches_reviewed_at) {
        return;
    }
    state.watches_reviewed_at = step.context.now + review_interval;
    for (auto& [leaf, watch] : state.watches) {
        if (!watch.decided && is_replaced(step, leaf, watch)) {
            confirm(step, leaf, watch);
        }
    }
    std::erase_if(state.watches, [&](const auto& each) {
        return step.context.now - each.second.ended_at >=
               state.settings.watch_time;
    });
    poison::expire(state.poison, step.context.now);
    poison::expire(state.trials, state.poison);
}

boot_time next_crash_review(const exchanges_state& self)
{
    return self.watches.empty() ? boot_time::max() : self.watches_reviewed_at;
}

bool is_poison(exchange_step& step, exchange& of)
{
    return !nothing_known(step) &&
           poison::is_poison(step.state.poison, fingerprint_of(of));
}

bool is_suspect(exchange_step& step, exchange& of)
{
    return !nothing_known(step) &&
           poison::is_suspect(step.state.poison, fingerprint_of(of));
}

boot_time held_until(exchange_step& step, exchange& of)
{
    const auto now = step.context.now;
    if (now < of.held_until) {
        return of.held_until;
    }
    const bool outstanding =
        std::any_of(of.parts.begin(), of.parts.end(),
                    [](const auto& each) { return !each.outstanding.empty(); });
    if (outstanding && is_suspect(step, of)) {
        return now + step.state.settings.retry_delay;
    }
    return lacks_permission(step, of) ? want_permission(step, of)
                                      : boot_time::min();
}

bool may_transmit(exchange_step& step, exchange& of, const attempt& unsent)
{
    if (step.context.now < of.held_until || lacks_permission(step, of)) {
        return false;
    }
    if (!is_suspect(step, of)) {
        return true;
    }
    const auto* leaf = find_leaf(step.pool, unsent.leaf);
    const bool other_sent =
        std::any_of(of.parts.begin(), of.parts.end(), [&](const auto& each) {
            return awaits_answer(step.state, each);
        });
    return !is_poison(step, of) && leaf != nullptr && leaf->suspects == 0 &&
           !other_sent;
}

void mark_suspect(exchange_step& step, exchange& of, attempt& sent)
{
    auto* leaf = find_leaf(step.pool, sent.leaf);
    if (leaf != nullptr && is_suspect(step, of)) {
        sent.suspect = true;
        ++leaf->suspects;
    }
    sent.trial = std::exchange(of.trial, trial_phase::none) ==
                 trial_phase::permitted; // for one attempt
}

std::vector<std::string> leafs_with_suspects(const leaf_pool& pool,
                                             const std::string& service)
{
    std::vector<std::string> ids;
    const auto found = pool.by_service.find(service);
    if (found != pool.by_service.end()) {
        std::copy_if(
            found->second.begin(), found->second.end(), std::back_inserter(ids),
            [&](const auto& id) { return pool.leafs.at(id).suspects > 0; });
    }
    return ids;
}

forward_answer poison_answer(exchange_step& step, exchange& of)
{
    auto answer = empty_answer(step, of);
    if (answer.kind == answer_kind::not_run) {
        answer.retry_after = remember_refusal(step, fingerprint_of(of));
    }
    return answer;
}

bool refuse_poison(exchange_step& step, exchange& of)
{
    if (!is_poison(step, of)) {
        return false;
    }
    step.context.log(make_record(
        request_refused, field("request", of.request->id),
        field("host", of.request->host), field("reason", "crashes_leafs"),
        field("version", of.table->version)));
    step.context.count(metrics::counter::answers_refused);
    forward_answer answer;
    answer.kind = answer_kind::not_run;
    answer.retry_after = remember_refusal(step, fingerprint_of(of));
    step.context.emit(answer_request{of.token, std::move(answer)});
    return true;
}

void resume_poison(exchanges_state& self)
{
    for (auto& [token, each] : self.exchanges) {
        if (poison::is_poison(self.poison, fingerprint_of(each))) {
            self.to_resume.push_back(caller_token{token});
        }
    }
}

} // namespace bulrushspring::gateway
