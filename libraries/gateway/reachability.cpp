#include "libraries/gateway/reachability.hpp"

#include "libraries/gateway/connection_quota.hpp"
#include "libraries/gateway/events.hpp"
#include "libraries/gateway/leaf_connections.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// The leafs that this daemon may use, in random order.
std::vector<leaf_state*> usable_leafs(reachability& self, leaf_pool& pool,
                                      boot_time now)
{
    std::vector<leaf_state*> leafs;
    for (auto& [id, leaf] : pool.leafs) {
        if (leaf.listed && usable(pool, leaf, now)) {
            leafs.push_back(&leaf);
        }
    }
    shuffle(std::span(leafs), self.random);
    return leafs;
}

// Whether a connection that was opened recently, and since the suspicion began,
// is still open.
bool keeps_new_connection(const reachability& self, const leaf_pool& pool,
                          boot_time now)
{
    const auto& settings = self.settings;
    if (self.partitioned && self.connects_succeed) {
        return false; // they prove nothing
    }
    auto earliest = now - settings.recent_contact;
    if (self.partitioned) {
        earliest = std::max(earliest, self.partitioned_at);
    } else if (self.suspected_since != boot_time::max()) {
        earliest = std::max(earliest, self.suspected_since);
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
std::set<std::string_view> silent_leafs(const exchange_step& step,
                                        duration unanswered_for,
                                        boot_time since)
{
    const auto now = step.context.now;
    std::set<std::string_view> silent;
    for (const auto& [id, each] : step.state.attempts) {
        if (each.sent && each.sent_at >= since &&
            now - each.sent_at >= unanswered_for) {
            silent.insert(each.leaf);
        }
    }
    return silent;
}

// Notes the first request since the last answer.
void note_unanswered(reachability& self, const exchange_step& step)
{
    for (const auto& [id, each] : step.state.attempts) {
        if (each.sent && each.sent_at > self.answered_at) {
            self.unanswered_since =
                std::min(self.unanswered_since, each.sent_at);
        }
    }
}

// The leafs that have left requests since the last answer unanswered for long,
// or ended connections instead.
std::size_t count_unanswering_leafs(const reachability& self,
                                    const exchange_step& step,
                                    std::span<leaf_state* const> leafs)
{
    const auto since = self.unanswered_since;
    auto unanswering = silent_leafs(step, self.settings.min_silent_lead, since);
    for (const auto* each : leafs) {
        if (each->connection_failed_at > since || each->given_up_at > since) {
            unanswering.insert(each->published.id);
        }
    }
    return unanswering.size();
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

void check_leafs(reachability& self, exchange_step& step,
                 std::span<leaf_state* const> leafs, std::size_t count)
{
    if (step.context.now < self.check_at) {
        return;
    }
    self.check_at = step.context.now + self.settings.check_interval;
    for (auto* leaf : leafs) {
        count -= count > 0 && check_leaf(step, *leaf) ? 1 : 0;
    }
}

void ask_peers(reachability& self, exchange_step& step,
               std::span<const wire::member_record> live)
{
    std::vector<const wire::member_record*> peers;
    for (std::size_t i = 1; i < live.size(); ++i) {
        if (live[i].status == wire::member_status::alive &&
            !live[i].partitioned) {
            peers.push_back(&live[i]);
        }
    }
    shuffle(std::span(peers), self.random);
    peers.resize(std::min(peers.size(), self.settings.asked_peers));
    for (const auto* each : peers) {
        const auto question = step.context.shared.new_identifier<exchange_id>();
        self.questions.insert(question);
        step.context.shared.emit(send_peer_request{
            question, each->peer, wire::leaf_contact_request{},
            self.settings.question_timeout});
    }
}

struct evidence {
    bool connects_fail = false;
    bool silent = false; // although connects may succeed
};

evidence collect_evidence(const reachability& self, const exchange_step& step,
                          std::span<leaf_state* const> leafs)
{
    const auto& settings = self.settings;
    const auto expected = [&](std::size_t count) {
        return std::min(count, leafs.size());
    };
    evidence found;
    found.connects_fail =
        self.contact_at < self.suspected_since &&
        self.suspected_since != boot_time::max() &&
        step.context.now - self.suspected_since >= settings.check_time &&
        count_failed_connects(leafs, self.contact_at) >=
            expected(settings.checked_leafs);
    found.silent =
        self.unanswered_since != boot_time::max() &&
        step.context.now - self.unanswered_since >= settings.silent_after &&
        count_unanswering_leafs(self, step, leafs) >=
            expected(settings.silent_leafs);
    return found;
}

// Whether contact was due and there was none.
bool is_suspicious(const reachability& self, const exchange_step& step)
{
    const auto& settings = self.settings;
    // After a check has succeeded, the next one may wait.
    const bool checked = self.contact_at > self.answered_at;
    const auto limit =
        checked ? settings.next_suspect_after : settings.suspect_after;
    return step.context.now - self.contact_at >= limit &&
           (any_connection_failed(step.pool, self.contact_at) ||
            !silent_leafs(step, settings.suspect_after, self.contact_at)
                 .empty());
}

void review_suspicion(reachability& self, exchange_step& step,
                      std::span<const wire::member_record> live)
{
    const auto now = step.context.now;
    if (now - self.answered_at < self.settings.suspect_after) {
        self.suspected_since = boot_time::max();
        self.questions.clear();
        return;
    }
    const bool suspicious = is_suspicious(self, step);
    self.suspected_since =
        suspicious ? std::min(self.suspected_since, now) : boot_time::max();
    const auto leafs = usable_leafs(self, step.pool, now);
    const auto found = collect_evidence(self, step, leafs);
    if (leafs.empty() || now < self.check_at) {
        return;
    }
    if (found.connects_fail || found.silent) {
        step.context.log(make_record(
            path_suspected,
            field("silent_ms", to_milliseconds(now - self.answered_at)),
            field("connects_fail", found.connects_fail ? 1 : 0),
            field("failed_connects",
                  count_failed_connects(leafs, self.contact_at)),
            field("leafs", leafs.size())));
        ask_peers(self, step, live);
    }
    if (suspicious || found.silent) {
        check_leafs(self, step, leafs, self.settings.checked_leafs);
    }
}

void log_change(const reachability& self, exchange_step& step,
                std::int64_t peer_contact_ms)
{
    const auto now = step.context.now;
    step.context.log(make_record(
        path_changed, field("partitioned", self.partitioned ? 1 : 0),
        field("silent_ms", to_milliseconds(now - self.answered_at)),
        field("peer_contact_ms", peer_contact_ms),
        field("hold_down_ms", to_milliseconds(self.hold_down))));
}

// Sends health checks to leafs, over a new connection where none is idle.
void check_health(reachability& self, exchange_step& step,
                  std::span<leaf_state* const> leafs)
{
    if (step.context.now < self.check_at) {
        return;
    }
    self.check_at = step.context.now + self.settings.check_interval;
    std::size_t left = self.settings.checked_leafs;
    for (auto* leaf : leafs) {
        const bool checked =
            left > 0 && (send_health_check(step.pool, *leaf, step.context) ||
                         check_leaf(step, *leaf));
        left -= checked ? 1 : 0;
    }
}

// Whether this daemon has recovered: it has had contact for long enough.
bool review_recovery(reachability& self, exchange_step& step)
{
    const auto now = step.context.now;
    const auto& settings = self.settings;
    const auto leafs = usable_leafs(self, step.pool, now);
    if (self.connects_succeed) {
        check_health(self, step, leafs);
    } else {
        check_leafs(self, step, leafs, settings.checked_leafs);
    }
    if (now - self.contact_at > 2 * settings.recent_contact) {
        self.contact_since = boot_time::max();
    } else if (self.contact_since == boot_time::max() &&
               self.contact_at > self.partitioned_at) {
        self.contact_since = now;
        forget_failures(step.pool, now);
    }
    if (self.contact_since == boot_time::max() ||
        now - self.contact_since < self.hold_down) {
        return false;
    }
    self.partitioned = false;
    self.suspected_since = boot_time::max();
    self.recovered_at = now;
    log_change(self, step, -1);
    note_answer(self, now); // silence counts from here again
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

void note_answer(reachability& self, boot_time now)
{
    self.answered_at = now;
    self.contact_at = now;
    self.unanswered_since = boot_time::max();
}

bool review_reachability(reachability& self, exchange_step& step,
                         std::span<const wire::member_record> live)
{
    const auto now = step.context.now;
    if (now < self.review_at) {
        return false;
    }
    const bool busy = self.partitioned || step.pool.opening > 0 ||
                      !step.state.attempts.empty();
    self.review_at = now + (busy ? self.settings.review_interval
                                 : self.settings.idle_review_interval);
    if (keeps_new_connection(self, step.pool, now)) {
        self.contact_at = now;
    }
    if (self.partitioned) {
        return review_recovery(self, step);
    }
    note_unanswered(self, step);
    review_suspicion(self, step, live);
    return false;
}

void reply_to_contact_request(reachability& self, exchange_step& step,
                              peer_token token)
{
    const auto now = step.context.now;
    step.context.shared.emit(reply_to_peer{
        token, wire::leaf_contact_reply{wire::age_of(self.answered_at, now),
                                        wire::age_of(self.contact_at, now)}});
    if (now - self.contact_at > self.settings.recent_contact) {
        check_leafs(self, step, usable_leafs(self, step.pool, now), 1);
    }
}

bool handle_contact_reply(reachability& self, exchange_step& step,
                          const peer_reply_received& event)
{
    if (self.questions.erase(event.exchange) == 0 || !event.reply ||
        self.partitioned) {
        return false;
    }
    const auto* reply =
        std::get_if<wire::leaf_contact_reply>(&event.reply.value());
    if (reply == nullptr) {
        return false;
    }
    const auto now = step.context.now;
    const auto& settings = self.settings;
    const auto leads = [&](std::uint32_t age, boot_time own, duration lead) {
        return wire::time_of(age, now) >= own + lead;
    };
    const auto found =
        collect_evidence(self, step, usable_leafs(self, step.pool, now));
    const bool connects_fail =
        found.connects_fail &&
        leads(reply->contact_ms_ago, self.contact_at, settings.min_lead);
    const bool silent =
        found.silent && leads(reply->answered_ms_ago, self.unanswered_since,
                              settings.min_silent_lead);
    if (!connects_fail && !silent) {
        return false;
    }
    const bool flapping = self.recovered_at != boot_time::min() &&
                          now - self.recovered_at < settings.flap_window;
    self.hold_down = flapping
                         ? std::min(2 * self.hold_down, settings.max_hold_down)
                         : settings.hold_down;
    self.partitioned = true;
    self.partitioned_at = now;
    self.connects_succeed = !connects_fail;
    self.contact_since = boot_time::max();
    self.questions.clear();
    log_change(self, step, reply->contact_ms_ago);
    return true;
}

bool reaches_no_leaf(const reachability& self)
{
    return self.partitioned && self.contact_since == boot_time::max();
}

boot_time next_wakeup(const reachability& self)
{
    return self.review_at;
}

} // namespace bulrushspring::gateway
