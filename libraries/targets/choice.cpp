#include "libraries/targets/choice.hpp"

#include "libraries/targets/connections.hpp"
#include "libraries/targets/targets.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

namespace bulrushspring::targets
{
namespace
{

// Time after which an observation of a leaf counts for half.
constexpr duration observation_half_life = seconds{5};
// Factors on the cost of a leaf: if it is in another data centre; for errors,
// as 1 plus this value times the error rate; and during its warm-up, in those
// choices in which it is not yet treated as warm.
constexpr double remote_factor = 1.15;
constexpr double error_factor = 10;
constexpr double warm_up_factor = 8;
// The share of choices in which a cold leaf, or one at the start of its
// warm-up, is treated like any other.
constexpr double min_warm_up_share = 0.1;
// A hundredth of this is the lower bound of the median latency in comparisons
// of cost. Before the first answers the median is unknown, and any value above
// 0 will do.
constexpr duration min_latency_scale = milliseconds{1};
// Maximum number of replicas of a shard that are considered for one choice.
constexpr std::size_t max_candidates = 64;
// Maximum time to wait for an answer, also of requests without a deadline.
constexpr duration max_attempt_time = seconds{60};

using candidates = std::array<leaf_index, max_candidates>;

const shard_replicas* find_replicas(const state& self,
                                    const leaf_requirements& requirements)
{
    const auto pool = self.pools.find(requirements.pool.name);
    if (pool == self.pools.end()) {
        return nullptr;
    }
    const auto id = requirements.snapshot == 0
                        ? requirements.pool.served_snapshot
                        : requirements.snapshot;
    for (const auto& snapshot : pool->second.snapshots) {
        if (snapshot.id == id && requirements.shard < snapshot.shards.size()) {
            return &snapshot.shards[requirements.shard];
        }
    }
    return nullptr;
}

bool excluded(const leaf_requirements& requirements, leaf_index leaf)
{
    return std::find(requirements.excluded.begin(), requirements.excluded.end(),
                     leaf) != requirements.excluded.end();
}

bool answered_recently(const state& self, const connection& connection,
                       boot_time now)
{
    return now - connection.last_answer_at <= self.settings.max_answer_age;
}

// Whether the leaf can be sent the request now. If the only obstacle is that a
// non-idempotent request needs a connection that answered recently, sends a
// probe, so that a later call can succeed.
bool can_accept(state& self, leaf_index index,
                const leaf_requirements& requirements, context& context)
{
    const auto& leaf = leaf_at(self, index);
    if (leaf.idle.empty() ||
        !limits::admits(leaf.limit, leaf.in_flight, context.now)) {
        return false;
    }
    auto& most_recent = self.connections.at(raw(leaf.idle.back()));
    if (requirements.idempotent ||
        answered_recently(self, most_recent, context.now)) {
        return true;
    }
    probe(self, most_recent, context);
    return false;
}

// The share of choices, 0 to 1, in which the leaf is treated as warm. Grows
// linearly during the warm-up.
double warm_up_share(const state& self, const leaf_state& leaf, boot_time now)
{
    const auto elapsed = now - leaf.warm_up_started_at;
    if (!leaf.warm || elapsed < duration{0}) {
        return min_warm_up_share;
    }
    if (elapsed >= self.settings.warm_up_time) {
        return 1;
    }
    return std::max(
        min_warm_up_share,
        static_cast<double>(elapsed.count()) /
            static_cast<double>(self.settings.warm_up_time.count()));
}

double random_warm_up_factor(state& self, const leaf_state& leaf, boot_time now)
{
    const double share = warm_up_share(self, leaf, now);
    return share >= 1 || random_fraction(self.random) < share ? 1
                                                              : warm_up_factor;
}

// Whether the leaf has had no requests for so long that its statistics are
// outdated and it has to be sent one as a trial. Only first attempts that can
// be hedged are used for this.
bool trial_due(const leaf_state& leaf, const leaf_requirements& requirements,
               boot_time now)
{
    return requirements.idempotent && requirements.excluded.empty() &&
           leaf.in_flight == 0 &&
           now - leaf.last_sent_at >= leaf.trial_interval;
}

// Power of two choices: returns the cheaper of two candidates chosen at random.
// This is close to the best choice, but prevents all daemons from sending to
// the same leaf at once.
leaf_index choose_of_two(state& self, const pool_state& pool, candidates& from,
                         std::size_t count, boot_time now)
{
    const auto first = random_below(self.random, count);
    if (count == 1) {
        return from[first];
    }
    const auto step = 1 + random_below(self.random, count - 1);
    const auto second = (first + step) % count;
    const auto cost = [&](std::size_t i) {
        const auto& leaf = leaf_at(self, from[i]);
        return estimated_cost(pool, leaf, now) *
               random_warm_up_factor(self, leaf, now);
    };
    return cost(second) < cost(first) ? from[second] : from[first];
}

// Reserves the leaf's most recently used idle connection for a new attempt.
assignment take_connection(state& self, leaf_index index,
                           const leaf_requirements& requirements,
                           context& context)
{
    auto& leaf = leaf_at(self, index);
    const auto id = leaf.idle.back();
    leaf.idle.pop_back();
    if (leaf.in_flight == 0) {
        leaf.busy_since = context.now;
    }
    ++leaf.in_flight;
    leaf.last_sent_at = context.now;
    auto& connection = self.connections.at(raw(id));
    connection.phase = connection_phase::busy;
    connection.phase_since = context.now;
    connection.attempt = context.new_identifier<attempt_id>();
    const auto time_left =
        requirements.time_left > duration{0}
            ? std::min(requirements.time_left, max_attempt_time)
            : max_attempt_time;
    connection.deadline = context.now + time_left + self.settings.answer_grace;
    self.attempts.emplace(raw(connection.attempt), id);
    return {index, id, connection.attempt};
}

// The value after exponential decay over the given age.
double decayed(double value, duration age)
{
    const double half_lives =
        static_cast<double>(age.count()) /
        static_cast<double>(observation_half_life.count());
    return half_lives > 30 ? 0 : value * std::exp2(-half_lives);
}

} // namespace

double estimated_cost(const pool_state& pool, const leaf_state& leaf,
                      boot_time now)
{
    const auto median_latency = static_cast<double>(
        std::max(pool.median_latency, min_latency_scale / 100).count());
    const auto age = now - leaf.answered_at;
    double cost = median_latency;
    if (leaf.latency > duration{0}) {
        const double above =
            static_cast<double>(leaf.latency.count()) - median_latency;
        cost = median_latency + (above > 0 ? decayed(above, age) : above);
    }
    if (leaf.in_flight > 0) {
        cost = std::max(cost,
                        static_cast<double>((now - leaf.busy_since).count()));
    }
    cost *= leaf.in_flight + 1;
    cost *= 1 + error_factor * decayed(leaf.error_rate, age);
    cost *= leaf.same_data_centre ? 1 : remote_factor;
    return cost;
}

std::variant<assignment, unavailable_reason>
assign(state& self, const leaf_requirements& requirements, context& context)
{
    const auto* replicas = find_replicas(self, requirements);
    if (replicas == nullptr) {
        return unavailable_reason::no_replica;
    }
    candidates eligible;
    std::size_t count = 0;
    bool any_live = false;
    for (const auto index : *replicas) {
        const auto& leaf = leaf_at(self, index);
        if (leaf.leaving.any() || excluded(requirements, index)) {
            continue;
        }
        any_live = true;
        if (count == eligible.size() ||
            !can_accept(self, index, requirements, context)) {
            continue;
        }
        if (trial_due(leaf, requirements, context.now)) {
            return take_connection(self, index, requirements, context);
        }
        eligible[count++] = index;
    }
    if (count == 0) {
        return any_live ? unavailable_reason::no_connection
                        : unavailable_reason::no_replica;
    }
    const auto& pool = self.pools.at(requirements.pool.name);
    const auto chosen = choose_of_two(self, pool, eligible, count, context.now);
    return take_connection(self, chosen, requirements, context);
}

void cancel(state& self, attempt_id attempt, context& context)
{
    const auto found = self.attempts.find(raw(attempt));
    if (found == self.attempts.end()) {
        return;
    }
    auto& connection = self.connections.at(raw(found->second));
    const auto& leaf = leaf_at(self, connection.leaf);
    if (leaf.idle.empty()) {
        return;
    }
    context.emit(cancel_at_leaf{leaf.idle.back(), attempt});
    context.emit(add_to_counter{metrics::counter::leaf_cancellations});
    connection.deadline = std::min(
        connection.deadline, context.now + 2 * self.settings.answer_grace);
}

} // namespace bulrushspring::targets
