#include "libraries/gateway/fleet.hpp"

#include "libraries/gateway/leaf_rates.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

constexpr milliseconds store_role_interval{200};
constexpr milliseconds rate_share_interval{500};

configuration::peers fleet_of(const state& self)
{
    return {membership::view_of(self.members).members,
            membership::self_of(self.members)};
}

// Whether this daemon reads the store because those that should don't. If they
// answer but don't reach the store, this may hold for all daemons, so that only
// as many others try.
bool replaces_readers(const state& self)
{
    switch (self.reader_check.readers) {
    case reader_state::working:
        return false;
    case reader_state::silent:
        return true;
    case reader_state::without_store:
        return configuration::select_readers(fleet_of(self),
                                             2 * self.settings.readers)
            .reading;
    }
    return false;
}

// Determines this daemon's role in reading the store. A daemon without any
// records lists the store at once, independently of other readers. One that
// has heard of no peer for a while, or learns no routes from its peers, reads
// the store itself. Differing views of the fleet only cause additional
// readers.
topology::store_role
store_role_of(const state& self, const configuration::reader_selection& review,
              boot_time now)
{
    const bool knows_routes = self.topology.table != nullptr;
    const bool awaiting_peers = now - self.started < self.settings.peer_timeout;
    if ((!knows_routes && !self.topology.listed) || self.members.isolated) {
        return topology::store_role::leader;
    }
    if (!membership::joined(self.members)) {
        return awaiting_peers ? topology::store_role::none
                              : topology::store_role::leader;
    }
    if (!review.reading && replaces_readers(self)) {
        return topology::store_role::leader;
    }
    if (!review.reading && knows_routes &&
        !topology::peers_deliver(self.topology, now)) {
        return topology::store_role::follower;
    }
    if (!review.reading) {
        return knows_routes || awaiting_peers ? topology::store_role::none
                                              : topology::store_role::leader;
    }
    return review.readers.front() == membership::self_of(self.members).name
               ? topology::store_role::leader
               : topology::store_role::follower;
}

// The daemons that callers can reach. An isolated daemon includes members that
// it suspects to be dead: callers may reach those that it can't.
std::vector<wire::member_record> reachable_members(const state& self)
{
    auto live = membership::view_of(self.members).members;
    const auto& own = membership::self_of(self.members).name;
    std::erase_if(live, [&](const auto& member) {
        return member.name == own
                   ? self.stop_requested_at.has_value()
                   : member.status != wire::member_status::alive &&
                         !self.members.isolated;
    });
    const auto is_partitioned = [](const auto& member) {
        return member.partitioned;
    };
    if (!std::all_of(live.begin(), live.end(), is_partitioned)) {
        std::erase_if(live, is_partitioned);
    }
    return live;
}

} // namespace

void update_store_role(state& self, bulrushspring::context& context)
{
    const auto now = context.now;
    if (now < self.store_role_due_at) {
        return;
    }
    const auto review =
        configuration::select_readers(fleet_of(self), self.settings.readers);
    review_readers(self.reader_check, self.members, review, context);
    topology::set_role(self.topology, store_role_of(self, review, now), now);
    self.store_role_due_at =
        std::min(now + store_role_interval, self.reader_check.due);
}

void update_fleet_summary(state& self, boot_time now)
{
    const auto& view = membership::view_of(self.members);
    auto& fleet = self.pool.fleet;
    fleet.known = membership::joined(self.members) ||
                  now - self.started >= self.settings.peer_timeout;
    fleet.recently_started =
        now - self.started < self.settings.fleet_discovery_time;
    if (view.generation == self.fleet_generation) {
        return;
    }
    self.fleet_generation = view.generation;
    const auto& live = view.members;
    fleet.largest_capacity =
        std::max(fleet.largest_capacity, largest_capacity(live));
    std::size_t near = 0;
    std::size_t large = 0;
    for (const auto& member : live) {
        near += member.data_centre == self.pool.data_centre ? 1 : 0;
        large += is_large(self.settings.serving, member, fleet.largest_capacity)
                     ? 1
                     : 0;
    }
    fleet.size = std::max(fleet.size, live.size());
    fleet.near = std::max(fleet.near, near);
    fleet.large = std::max(fleet.large, large);
    fleet.self_is_large =
        is_large(self.settings.serving, membership::self_of(self.members),
                 fleet.largest_capacity);
}

void update_serving_set(state& self, boot_time now)
{
    review(self.serving, self.settings.serving, reachable_members(self), now);
    self.pool.fleet.self_serves =
        serves(self.serving, membership::self_of(self.members).name);
}

void update_serving_set_if_due(state& self, boot_time now)
{
    if (self.serving.reviewed_at == boot_time::min() ||
        now - self.serving.reviewed_at >=
            self.settings.serving.review_interval) {
        update_serving_set(self, now);
    }
}

void update_rate_shares_if_due(state& self, boot_time now)
{
    if (now - self.pool.sharers.counted_at < rate_share_interval) {
        return;
    }
    update_rate_shares(
        self.pool, self.serving.members,
        membership::view_of(self.members).members.size(),
        self.pool.fleet.known && !self.pool.fleet.recently_started, now);
}

void update_budget(state& self, boot_time now)
{
    auto& limits = self.exchanges.settings.budget;
    if (!membership::joined(self.members)) {
        limits.slack = 0;
        return;
    }
    const double age = static_cast<double>((now - self.started).count()) /
                       static_cast<double>(limits.window.count());
    limits.slack =
        self.settings.budget_slack * self.settings.budget_share *
        std::min(age, 1.0) *
        daemon_share(self.pool.fleet, self.settings.large_slack_share);
}

} // namespace bulrushspring::gateway
