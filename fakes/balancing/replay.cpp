#include "fakes/balancing/replay.hpp"

#include "libraries/limits/latency_histogram.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <numeric>
#include <queue>

namespace bulrushspring::balancing_replay
{
namespace
{

using balancing::answer_kind;
using balancing::performance;

constexpr std::chrono::microseconds network_latency{300};
constexpr milliseconds bucket{250};
constexpr milliseconds retry_delay{10};
constexpr milliseconds hedged_penalty{200};
constexpr milliseconds refusal_penalty{100};
constexpr double hedge_budget = 0.2; // of the requests
constexpr std::uint32_t min_latency_samples = 20;

struct attempt {
    std::size_t part = 0;
    std::size_t leaf = 0;
    boot_time sent_at{};
    duration expected{0};
    balancing::load_statement stated; // in its answer
};

struct part {
    std::size_t request = 0;
    std::size_t service = 0;
    std::vector<std::size_t> tried;
    std::size_t open = 0; // attempts without an answer
    bool done = false;
    bool hedged = false;
};

struct request {
    std::size_t daemon = 0;
    boot_time sent_at{};
    std::size_t open = 0; // parts
    bool counted = false;
    bool failed = false;
};

struct leaf {
    std::size_t running = 0;
    std::deque<std::size_t> queue; // attempts
    std::vector<std::pair<boot_time, boot_time>> slow;
};

struct daemon {
    std::vector<performance> leafs;
    std::vector<std::uint32_t> in_flight;
    limits::latency_histogram latencies;
    double budget = 0;
};

enum class action_kind : std::uint8_t { issue, arrive, finish, answer, hedge };

struct action {
    boot_time at{};
    std::uint64_t number = 0;
    action_kind kind{};
    std::size_t subject = 0;
    balancing::answer_kind answer = answer_kind::success;
};

struct later {
    bool operator()(const action& one, const action& other) const
    {
        return std::pair(one.at, one.number) >
               std::pair(other.at, other.number);
    }
};

struct replay {
    const scenario& plan;
    policy by{};
    balancing::options settings;
    random_source random;
    boot_time start = boot_time{} + seconds{1000};
    boot_time now = start;
    std::uint64_t last_number = 0;
    std::priority_queue<action, std::vector<action>, later> actions;
    std::vector<daemon> daemons;
    std::vector<leaf> leafs;
    std::vector<request> requests;
    std::vector<part> parts;
    std::vector<attempt> attempts;
    std::vector<duration> latencies;
    std::vector<std::vector<std::size_t>> sent; // by bucket and leaf number
    std::size_t counted_parts = 0;
    std::size_t counted_attempts = 0;
    std::size_t counted_remote = 0;
    std::size_t counted_refusals = 0;
    result outcome;
};

void after(replay& self, duration delay, action_kind kind, std::size_t subject,
           answer_kind answer = answer_kind::success)
{
    self.actions.push(
        {self.now + delay, ++self.last_number, kind, subject, answer});
}

std::size_t number_of(const replay& self, std::size_t leaf)
{
    return leaf % self.plan.leafs;
}

bool is_remote(const replay& self, std::size_t leaf)
{
    const auto& remote = self.plan.remote;
    return remote[number_of(self, leaf) % remote.size()];
}

duration exponential(replay& self, duration mean)
{
    return std::chrono::duration_cast<duration>(
        mean * -std::log(1.0 - random_fraction(self.random)));
}

daemon& knowledge_of(replay& self, std::size_t index)
{
    return self.daemons[self.plan.shared_knowledge ? 0 : index];
}

duration expected_latency_of(const daemon& daemon)
{
    return daemon.latencies.total < min_latency_samples
               ? duration{0}
               : limits::quantile(daemon.latencies, 0.5);
}

// How many times as long work takes at a leaf at the moment.
double slowness_of(const replay& self, std::size_t index)
{
    const auto number = number_of(self, index);
    double factor = 1.0;
    for (const auto& each : self.plan.spells) {
        const auto from = self.start + each.from;
        if (number >= each.first_leaf &&
            number < each.first_leaf + each.leafs && self.now >= from &&
            self.now < from + each.span) {
            factor *= each.factor;
        }
    }
    const auto& slow = self.leafs[index].slow;
    const bool in_spell =
        std::any_of(slow.begin(), slow.end(), [&](const auto& each) {
            return self.now >= each.first && self.now < each.second;
        });
    return in_spell ? factor * self.plan.random_factor : factor;
}

// The time that the work of one request takes at a leaf that begins it now.
duration work_of(replay& self, std::size_t index)
{
    const auto& plan = self.plan;
    const auto& leaf = self.leafs[index];
    double factor = slowness_of(self, index) *
                    plan.speeds[number_of(self, index) % plan.speeds.size()];
    const double used =
        static_cast<double>(leaf.running) / static_cast<double>(plan.slots);
    if (used > plan.knee) {
        factor *= 1.0 + (plan.full_factor - 1.0) * (used - plan.knee) /
                            (1.0 - plan.knee);
    }
    const auto work = exponential(self, plan.work / 2) + plan.work / 2;
    return std::chrono::duration_cast<duration>(work * factor);
}

std::vector<balancing::candidate> candidates_of(replay& self,
                                                std::size_t daemon,
                                                const part& part,
                                                std::vector<std::size_t>& leafs)
{
    const auto& self_daemon = self.daemons[daemon];
    std::vector<balancing::candidate> candidates;
    for (std::size_t i = 0; i < self.plan.leafs; ++i) {
        const auto index = part.service * self.plan.leafs + i;
        const auto& known = knowledge_of(self, daemon).leafs[index];
        const auto in_flight = self_daemon.in_flight[index];
        if (std::find(part.tried.begin(), part.tried.end(), index) !=
                part.tried.end() ||
            !limits::admits(known.limit, in_flight, self.now)) {
            continue;
        }
        balancing::candidate made;
        made.leaf = &known;
        made.in_flight = in_flight;
        made.slots = static_cast<std::uint32_t>(self.plan.slots);
        made.remote = is_remote(self, index);
        candidates.push_back(made);
        leafs.push_back(index);
    }
    return candidates;
}

std::optional<std::size_t> choose(replay& self, std::size_t daemon,
                                  const part& part)
{
    std::vector<std::size_t> leafs;
    auto candidates = candidates_of(self, daemon, part, leafs);
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (self.by == policy::fixed_weights) {
        // All leafs of a scenario have the same number of slots.
        return leafs[random_below(self.random, leafs.size())];
    }
    const auto& request = self.requests[part.request];
    const auto left = request.sent_at + self.plan.objective - self.now;
    const auto expected = expected_latency_of(self.daemons[daemon]);
    balancing::demand demand;
    demand.part_of_query = self.plan.services > 1;
    if (expected > duration{0}) {
        demand.relative_time_left =
            std::chrono::duration<double>(left) / expected;
    }
    return leafs[balancing::choose(candidates, demand, self.settings,
                                   self.random, self.now)
                     ->index];
}

bool send(replay& self, std::size_t part_index)
{
    auto& part = self.parts[part_index];
    const auto& request = self.requests[part.request];
    const auto chosen = choose(self, request.daemon, part);
    if (!chosen) {
        return false;
    }
    auto& daemon = self.daemons[request.daemon];
    part.tried.push_back(*chosen);
    ++part.open;
    ++daemon.in_flight[*chosen];
    const auto expected = expected_latency_of(daemon);
    const bool remote = is_remote(self, *chosen);
    self.attempts.push_back({part_index, *chosen, self.now, expected});
    const auto index =
        static_cast<std::size_t>((self.now - self.start) / duration{bucket});
    self.sent.resize(std::max(self.sent.size(), index + 1),
                     std::vector<std::size_t>(self.plan.leafs));
    ++self.sent[index][number_of(self, *chosen)];
    if (request.counted) {
        ++self.counted_attempts;
        self.counted_remote += remote ? 1 : 0;
    }
    after(self,
          network_latency +
              (remote ? self.plan.remote_latency / 2 : duration{0}),
          action_kind::arrive, self.attempts.size() - 1);
    return true;
}

void finish_part(replay& self, part& part, bool failed)
{
    part.done = true;
    auto& request = self.requests[part.request];
    request.failed = request.failed || failed;
    if (--request.open > 0 || !request.counted) {
        return;
    }
    ++self.outcome.requests;
    if (request.failed) {
        ++self.outcome.failed;
        return;
    }
    self.latencies.push_back(self.now - request.sent_at);
}

void issue(replay& self)
{
    const auto& plan = self.plan;
    const duration elapsed = self.now - self.start;
    if (elapsed >= plan.warm_up + plan.span) {
        return;
    }
    request made;
    made.daemon = random_below(self.random, plan.daemons);
    made.sent_at = self.now;
    made.open = plan.services;
    made.counted = elapsed >= plan.warm_up;
    self.requests.push_back(made);
    auto& daemon = self.daemons[made.daemon];
    const bool known = daemon.latencies.total >= min_latency_samples;
    const auto latest = plan.objective * 2 / 5;
    const duration delay =
        known ? std::min<duration>(limits::quantile(daemon.latencies, 0.9),
                                   latest)
              : latest;
    for (std::size_t i = 0; i < plan.services; ++i) {
        self.counted_parts += made.counted ? 1 : 0;
        daemon.budget = std::min(daemon.budget + hedge_budget, 100.0);
        self.parts.push_back({self.requests.size() - 1, i});
        const auto index = self.parts.size() - 1;
        if (!send(self, index)) {
            after(self, retry_delay, action_kind::hedge, index);
        } else {
            after(self, delay, action_kind::hedge, index);
        }
    }
    const double pause = -std::log(1.0 - random_fraction(self.random)) /
                         plan.requests_per_second;
    after(self,
          std::chrono::duration_cast<duration>(
              std::chrono::duration<double>(pause)),
          action_kind::issue, 0);
}

void begin_work(replay& self, std::size_t attempt)
{
    const auto index = self.attempts[attempt].leaf;
    ++self.leafs[index].running;
    after(self, work_of(self, index), action_kind::finish, attempt);
}

// Fills in what the leaf states in its answer.
void state_load(replay& self, attempt& ended)
{
    const auto& leaf = self.leafs[ended.leaf];
    ended.stated.slots = static_cast<std::uint32_t>(self.plan.slots);
    constexpr double percent = 100.0;
    constexpr double pretended = 50.0;
    if (number_of(self, ended.leaf) == self.plan.liar) {
        ended.stated.slowness = pretended;
        return;
    }
    ended.stated.running = static_cast<std::uint32_t>(leaf.running);
    ended.stated.waiting = static_cast<std::uint32_t>(leaf.queue.size());
    ended.stated.slowness = percent * slowness_of(self, ended.leaf);
}

duration way_back(const replay& self, std::size_t leaf)
{
    return network_latency +
           (is_remote(self, leaf) ? self.plan.remote_latency / 2 : duration{0});
}

void arrive(replay& self, std::size_t attempt)
{
    const auto index = self.attempts[attempt].leaf;
    auto& leaf = self.leafs[index];
    if (leaf.running < self.plan.slots) {
        begin_work(self, attempt);
    } else if (leaf.queue.size() < self.plan.queue) {
        leaf.queue.push_back(attempt);
    } else {
        state_load(self, self.attempts[attempt]);
        after(self, way_back(self, index), action_kind::answer, attempt,
              answer_kind::refusal);
    }
}

void finish(replay& self, std::size_t attempt)
{
    const auto index = self.attempts[attempt].leaf;
    auto& leaf = self.leafs[index];
    --leaf.running;
    if (!leaf.queue.empty()) {
        const auto next = leaf.queue.front();
        leaf.queue.pop_front();
        begin_work(self, next);
    }
    state_load(self, self.attempts[attempt]);
    after(self, way_back(self, index), action_kind::answer, attempt);
}

// Sends a part once more: after a refusal, or a hedge.
void send_again(replay& self, std::size_t index)
{
    auto& part = self.parts[index];
    const auto& request = self.requests[part.request];
    auto& daemon = self.daemons[request.daemon];
    if (self.now - request.sent_at > 10 * self.plan.objective) {
        finish_part(self, part, true);
    } else if (part.tried.empty()) {
        if (!send(self, index)) {
            after(self, retry_delay, action_kind::hedge, index);
        }
    } else if (daemon.budget >= 1.0 && part.tried.size() < 2 &&
               send(self, index)) {
        daemon.budget -= 1.0;
    } else if (part.open == 0) {
        part.tried.clear(); // refused by all: any leaf may get it again
        after(self, retry_delay, action_kind::hedge, index);
    }
}

void hedge(replay& self, std::size_t index)
{
    auto& part = self.parts[index];
    if (part.done) {
        return;
    }
    if (part.open > 0 && !part.hedged) {
        part.hedged = true;
        const auto daemon = self.requests[part.request].daemon;
        auto& first = knowledge_of(self, daemon).leafs[part.tried.front()];
        if (self.settings.learned) {
            balancing::learn_silence(
                first, self.now - self.requests[part.request].sent_at,
                expected_latency_of(self.daemons[daemon]), self.settings,
                self.now);
        } else {
            balancing::avoid(first, self.now + hedged_penalty);
        }
    }
    send_again(self, index);
}

void answer(replay& self, std::size_t index, answer_kind kind)
{
    const auto ended = self.attempts[index];
    auto& part = self.parts[ended.part];
    const auto& request = self.requests[part.request];
    auto& daemon = self.daemons[request.daemon];
    auto& known = knowledge_of(self, request.daemon).leafs[ended.leaf];
    --daemon.in_flight[ended.leaf];
    --part.open;
    const duration seen = self.now - ended.sent_at;
    balancing::learn(known,
                     {kind, seen, ended.expected, daemon.in_flight[ended.leaf]},
                     self.settings, self.now);
    if (self.plan.states_load && self.settings.learned) {
        balancing::learn_load(known, ended.stated, self.now);
    }
    if (kind == answer_kind::success) {
        limits::add(daemon.latencies, seen);
        if (!part.done) {
            finish_part(self, part, false);
        }
        return;
    }
    balancing::avoid(known, self.now + refusal_penalty);
    self.counted_refusals += request.counted ? 1 : 0;
    if (!part.done && part.open == 0) {
        send_again(self, ended.part);
    }
}

void prepare(replay& self)
{
    const auto& plan = self.plan;
    self.leafs.resize(plan.services * plan.leafs);
    self.daemons.resize(plan.daemons);
    for (auto& each : self.daemons) {
        each.leafs.resize(self.leafs.size());
        each.in_flight.resize(self.leafs.size());
        for (auto& leaf : each.leafs) {
            leaf.limit.limit = static_cast<double>(plan.slots);
        }
    }
    if (plan.random_share <= 0) {
        return;
    }
    const auto end = self.start + plan.warm_up + plan.span;
    const auto pause = std::chrono::duration_cast<duration>(
        plan.random_spell * ((1.0 - plan.random_share) / plan.random_share));
    for (auto& each : self.leafs) {
        auto at = self.start + exponential(self, pause);
        while (at < end) {
            const auto until = at + exponential(self, plan.random_spell);
            each.slow.emplace_back(at, until);
            at = until + exponential(self, pause);
        }
    }
}

double share_of(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 0.0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

void summarize_shares(const replay& self, result& out)
{
    const auto leafs = self.plan.leafs;
    std::vector<std::size_t> totals(leafs);
    const auto first =
        static_cast<std::size_t>(self.plan.warm_up / duration{bucket});
    for (std::size_t i = first; i < self.sent.size(); ++i) {
        for (std::size_t leaf = 0; leaf < leafs; ++leaf) {
            totals[leaf] += self.sent[i][leaf];
        }
    }
    const auto sum_of = [](const auto& counts) {
        return std::accumulate(counts.begin(), counts.end(), std::size_t{0});
    };
    for (const auto each : totals) {
        out.per_leaf.push_back(share_of(each, sum_of(totals)));
    }
    for (const auto& each : self.sent) {
        out.first_leaf.push_back(share_of(each[0], sum_of(each)));
    }
    for (std::size_t i = first; i < self.sent.size(); ++i) {
        const auto top = static_cast<std::size_t>(
            std::max_element(self.sent[i].begin(), self.sent[i].end()) -
            self.sent[i].begin());
        out.surge += share_of(self.sent[i][top], sum_of(self.sent[i])) /
                     std::max(out.per_leaf[top], 0.01) /
                     static_cast<double>(self.sent.size() - first);
    }
}

result summarize(replay& self)
{
    auto& out = self.outcome;
    auto& values = self.latencies;
    std::sort(values.begin(), values.end());
    const auto ms = [](duration each) {
        return std::chrono::duration<double, std::milli>(each).count();
    };
    if (!values.empty()) {
        out.in_time =
            share_of(static_cast<std::size_t>(
                         std::upper_bound(values.begin(), values.end(),
                                          self.plan.objective) -
                         values.begin()),
                     out.requests);
        out.mean_ms =
            ms(std::accumulate(values.begin(), values.end(), duration{0})) /
            static_cast<double>(values.size());
        out.median_ms = ms(values[values.size() / 2]);
        out.p99_ms = ms(values[values.size() * 99 / 100]);
    }
    out.remote = share_of(self.counted_remote, self.counted_attempts);
    out.attempts = share_of(self.counted_attempts, self.counted_parts);
    out.refusals = share_of(self.counted_refusals, self.counted_parts);
    summarize_shares(self, out);
    return out;
}

} // namespace

result play(const scenario& plan, policy by, std::uint64_t seed)
{
    replay self{plan, by, plan.settings, random_source{seed}};
    self.settings.learned = by == policy::learned;
    prepare(self);
    after(self, duration{0}, action_kind::issue, 0);
    while (!self.actions.empty()) {
        const auto next = self.actions.top();
        self.actions.pop();
        self.now = next.at;
        switch (next.kind) {
        case action_kind::issue:
            issue(self);
            break;
        case action_kind::arrive:
            arrive(self, next.subject);
            break;
        case action_kind::finish:
            finish(self, next.subject);
            break;
        case action_kind::answer:
            answer(self, next.subject, next.answer);
            break;
        case action_kind::hedge:
            hedge(self, next.subject);
            break;
        }
    }
    return summarize(self);
}

std::string to_string(const result& from)
{
    constexpr std::size_t max_text = 256;
    char text[max_text];
    std::snprintf(text, sizeof text,
                  "in time %.4f, mean %.1f, median %.1f, p99 %.1f ms, failed "
                  "%zu of %zu, attempts %.3f, refusals %.3f, remote %.3f, "
                  "surge %.2f, shares",
                  from.in_time, from.mean_ms, from.median_ms, from.p99_ms,
                  from.failed, from.requests, from.attempts, from.refusals,
                  from.remote, from.surge);
    std::string line = text;
    for (const double each : from.per_leaf) {
        std::snprintf(text, sizeof text, " %.2f", each);
        line += text;
    }
    return line;
}

} // namespace bulrushspring::balancing_replay
