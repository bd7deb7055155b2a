#include "libraries/gateway/reachability.hpp"

#include "libraries/gateway/connection_quota.hpp"
#include "libraries/gateway/events.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// The leafs that this daemon may use, in random order.
std::vector<leaf_state*> usable_leafs(reachability& reach, leaf_pool& pool,
                                      boot_time now)
{
    std::vector<leaf_state*> leafs;
    for (auto& [id, leaf] : pool.leafs) {
        if (leaf.listed && usable(pool, leaf, now)) {
            leafs.push_back(&leaf);
        }
    }
    shuffle(std::span(leafs), reach.random);
    return leafs;
}

// Whether a connection that was opened recently, and since the doubt began, is
// still open.
bool keeps_new_connection(const reachability& reach, const leaf_pool& pool,
                          boot_time now)
{
    const auto& settings = reach.settings;
    auto earliest = now - settings.recent_contact;
    if (reach.partitioned) {
        earliest = std::max(earliest, reach.partitioned_at);
    } else if (reach.suspected_since != boot_time::max()) {
        earliest = std::max(earliest, reach.suspected_since);
    }
    return std::any_of(pool.connections.begin(), pool.connections.end(),
                       [&](const auto& each) {
                           const auto& [id, connection] = each;
                           return connection.open && !connection.answered &&
                                  connection.since >= earliest &&
                                  now - connection.since >=
                                      settings.survival_time;
                       });
}

// The leafs at which an attempt sent since the given time is unanswered for
// this long.
std::size_t count_silent_leafs(const exchange_step& step,
                               duration unanswered_for, boot_time since)
{
    const auto now = step.context.now;
    std::set<std::string_view> silent;
    for (const auto& [id, each] : step.state.attempts) {
        if (each.sent && each.sent_at >= since &&
            now - each.sent_at >= unanswered_for) {
            silent.insert(each.leaf);
        }
    }
    return silent.size();
}

bool any_connection_failed(const leaf_pool& pool, boot_time since)
{
    return std::any_of(pool.leafs.begin(), pool.leafs.end(),
                       [&](const auto& each) {
                           return each.second.connection_failed_at > since;
                       });
}

std::size_t count_failed_connects(std::span<leaf_state* const> leafs,
                                  boot_time since)
{
    return static_cast<std::size_t>(
        std::count_if(leafs.begin(), leafs.end(), [&](const auto* leaf) {
            return leaf->connection_failed_at > since;
        }));
}

// Opens a connection to the leaf, if need be in place of an idle one.
bool check_leaf(exchange_step& step, leaf_state& leaf)
{
    if (leaf.connections > leaf.established) {
        return false; // one is being opened
    }
    if (open_check(step.pool, leaf, step.context)) {
        return true;
    }
    if (leaf.idle.empty()) {
        return false;
    }
    close_connection(step.pool, leaf.idle.front(), step.context);
    return open_check(step.pool, leaf, step.context);
}

void check_leafs(reachability& reach, exchange_step& step,
                 std::span<leaf_state* const> leafs, std::size_t count)
{
    if (step.context.now < reach.check_at) {
        return;
    }
    reach.check_at = step.context.now + reach.settings.check_interval;
    for (auto* leaf : leafs) {
        count -= count > 0 && check_leaf(step, *leaf) ? 1 : 0;
    }
}

void ask_peers(reachability& reach, exchange_step& step,
               std::span<const wire::member_record> live)
{
    std::vector<const wire::member_record*> peers;
    for (std::size_t i = 1; i < live.size(); ++i) {
        if (live[i].status == wire::member_status::alive &&
            !live[i].partitioned) {
            peers.push_back(&live[i]);
        }
    }
    shuffle(std::span(peers), reach.random);
    peers.resize(std::min(peers.size(), reach.settings.asked_peers));
    for (const auto* each : peers) {
        const auto question = step.context.shared.new_identifier<exchange_id>();
        reach.questions.insert(question);
        step.context.shared.emit(send_peer_request{
            question, each->peer, wire::leaf_contact_request{},
            reach.settings.question_timeout});
    }
}

struct evidence {
    bool connects_fail = false;
    bool silent = false; // although connects may succeed
};

evidence collect_evidence(const reachability& reach, const exchange_step& step,
                          std::span<leaf_state* const> leafs)
{
    const auto& settings = reach.settings;
    const auto expected = [&](std::size_t count) {
        return std::min(count, leafs.size());
    };
    evidence found;
    found.connects_fail =
        reach.contact_at < reach.suspected_since &&
        reach.suspected_since != boot_time::max() &&
        step.context.now - reach.suspected_since >= settings.check_time &&
        count_failed_connects(leafs, reach.contact_at) >=
            expected(settings.checked_leafs);
    const auto now = step.context.now;
    const auto recently =
        std::max(reach.answered_at, now - settings.silent_after);
    found.silent =
        now - reach.answered_at >= settings.silent_after &&
        count_silent_leafs(step, settings.unanswered_after, reach.answered_at) +
                count_failed_connects(leafs, recently) >=
            expected(settings.silent_leafs);
    return found;
}

// Whether contact was due and there was none.
bool is_suspicious(const reachability& reach, const exchange_step& step)
{
    const auto& settings = reach.settings;
    // After a check has succeeded, the next one may wait.
    const bool checked = reach.contact_at > reach.answered_at;
    const auto limit =
        checked ? settings.next_suspect_after : settings.suspect_after;
    return step.context.now - reach.contact_at >= limit &&
           (any_connection_failed(step.pool, reach.contact_at) ||
            count_silent_leafs(step, settings.suspect_after, reach.contact_at) >
                0);
}

void review_suspicion(reachability& reach, exchange_step& step,
                      std::span<const wire::member_record> live)
{
    const auto now = step.context.now;
    if (now - reach.answered_at < reach.settings.suspect_after) {
        reach.suspected_since = boot_time::max();
        reach.questions.clear();
        return;
    }
    const bool doubt = is_suspicious(reach, step);
    reach.suspected_since =
        doubt ? std::min(reach.suspected_since, now) : boot_time::max();
    const auto leafs = usable_leafs(reach, step.pool, now);
    const auto found = collect_evidence(reach, step, leafs);
    if (leafs.empty() || now < reach.check_at) {
        return;
    }
    if (found.connects_fail || found.silent) {
        step.context.log(make_record(
            path_suspected,
            field("silent_ms", to_milliseconds(now - reach.answered_at)),
            field("connects_fail", found.connects_fail ? 1 : 0),
            field("failed_connects",
                  count_failed_connects(leafs, reach.contact_at)),
            field("leafs", leafs.size())));
        ask_peers(reach, step, live);
    }
    if (doubt || found.silent) {
        check_leafs(reach, step, leafs, reach.settings.checked_leafs);
    }
}

void log_change(const reachability& reach, exchange_step& step,
                std::int64_t peer_contact_ms)
{
    const auto now = step.context.now;
    step.context.log(make_record(
        path_changed, field("partitioned", reach.partitioned ? 1 : 0),
        field("silent_ms", to_milliseconds(now - reach.answered_at)),
        field("peer_contact_ms", peer_contact_ms),
        field("hold_down_ms", to_milliseconds(reach.hold_down))));
}

// Whether this daemon has returned, after contact for long enough.
bool review_recovery(reachability& reach, exchange_step& step)
{
    const auto now = step.context.now;
    const auto& settings = reach.settings;
    check_leafs(reach, step, usable_leafs(reach, step.pool, now),
                settings.checked_leafs);
    if (now - reach.contact_at > 2 * settings.recent_contact) {
        reach.contact_since = boot_time::max();
    } else if (reach.contact_since == boot_time::max() &&
               reach.contact_at > reach.partitioned_at) {
        reach.contact_since = now;
        forget_failures(step.pool, now);
    }
    if (reach.contact_since == boot_time::max() ||
        now - reach.contact_since < reach.hold_down) {
        return false;
    }
    reach.partitioned = false;
    reach.suspected_since = boot_time::max();
    reach.recovered_at = now;
    log_change(reach, step, -1);
    reach.answered_at = now; // from which silence counts again
    return true;
}

} // namespace

reachability make_reachability(const reachability_options& settings,
                               std::uint64_t seed, boot_time now)
{
    reachability made;
    made.settings = settings;
    made.random.seed(seed);
    made.answered_at = now;
    made.contact_at = now;
    made.review_at = now;
    made.hold_down = settings.hold_down;
    return made;
}

void note_answer(reachability& reach, boot_time now)
{
    reach.answered_at = now;
    reach.contact_at = now;
}

bool review_reachability(reachability& reach, exchange_step& step,
                         std::span<const wire::member_record> live)
{
    const auto now = step.context.now;
    if (now < reach.review_at) {
        return false;
    }
    const bool busy = reach.partitioned || step.pool.opening > 0 ||
                      !step.state.attempts.empty();
    reach.review_at = now + (busy ? reach.settings.review_interval
                                  : reach.settings.idle_review_interval);
    if (keeps_new_connection(reach, step.pool, now)) {
        reach.contact_at = now;
    }
    if (reach.partitioned) {
        return review_recovery(reach, step);
    }
    review_suspicion(reach, step, live);
    return false;
}

void reply_to_contact_request(reachability& reach, exchange_step& step,
                              peer_token token)
{
    const auto now = step.context.now;
    step.context.shared.emit(reply_to_peer{
        token, wire::leaf_contact_reply{wire::age_of(reach.answered_at, now),
                                        wire::age_of(reach.contact_at, now)}});
    if (now - reach.contact_at > reach.settings.recent_contact) {
        check_leafs(reach, step, usable_leafs(reach, step.pool, now), 1);
    }
}

bool handle_contact_reply(reachability& reach, exchange_step& step,
                          const peer_reply_received& event)
{
    if (reach.questions.erase(event.exchange) == 0 || !event.reply ||
        reach.partitioned) {
        return false;
    }
    const auto* reply =
        std::get_if<wire::leaf_contact_reply>(&event.reply.value());
    if (reply == nullptr) {
        return false;
    }
    const auto now = step.context.now;
    const auto& settings = reach.settings;
    const auto leads = [&](std::uint32_t age, boot_time own, duration lead) {
        return wire::time_of(age, now) >= own + lead;
    };
    const auto found =
        collect_evidence(reach, step, usable_leafs(reach, step.pool, now));
    const bool partitioned =
        (found.connects_fail &&
         leads(reply->contact_ms_ago, reach.contact_at, settings.min_lead)) ||
        (found.silent && leads(reply->answered_ms_ago, reach.answered_at,
                               settings.min_silent_lead));
    if (!partitioned) {
        return false;
    }
    const bool flapping = reach.recovered_at != boot_time::min() &&
                          now - reach.recovered_at < settings.flap_window;
    reach.hold_down =
        flapping ? std::min(2 * reach.hold_down, settings.max_hold_down)
                 : settings.hold_down;
    reach.partitioned = true;
    reach.partitioned_at = now;
    reach.contact_since = boot_time::max();
    reach.questions.clear();
    log_change(reach, step, reply->contact_ms_ago);
    return true;
}

bool reaches_no_leaf(const reachability& reach)
{
    return reach.partitioned && reach.contact_since == boot_time::max();
}

boot_time next_wakeup(const reachability& reach)
{
    return reach.review_at;
}

} // namespace bulrushspring::gateway
