#include "fakes/experiment/simulation.hpp"

#include <algorithm>
#include <cmath>

namespace bulrushspring::experiment
{
namespace
{

bool applies(const leaf_fault& fault, const leaf& to, duration at)
{
    return to.shard >= fault.first_shard &&
           to.shard < fault.first_shard + fault.shards &&
           to.number < fault.leafs && at >= fault.from &&
           at < fault.from + fault.span;
}

bool is_down(const simulation& self, const leaf& each)
{
    return std::any_of(self.plan.faults.begin(), self.plan.faults.end(),
                       [&](const auto& fault) {
                           return fault.kind == fault_kind::down &&
                                  applies(fault, each, self.now - self.start);
                       });
}

// The time that the leaf takes for its next request: half of the mean and an
// exponentially distributed rest.
duration draw_work(simulation& self, const leaf& each)
{
    double work = static_cast<double>(self.plan.work.count());
    for (const auto& fault : self.plan.faults) {
        if (fault.kind == fault_kind::slow &&
            applies(fault, each, self.now - self.start)) {
            work *= fault.factor;
        }
    }
    const double rest = -std::log(1.0 - random_fraction(self.random));
    return duration{static_cast<std::int64_t>(work * (0.5 + 0.5 * rest))};
}

const leaf_fault* find_limit(const simulation& self, const leaf& each)
{
    const auto found =
        std::find_if(self.plan.faults.begin(), self.plan.faults.end(),
                     [&](const auto& fault) {
                         return fault.kind == fault_kind::limited &&
                                applies(fault, each, self.now - self.start);
                     });
    return found == self.plan.faults.end() ? nullptr : &*found;
}

void check_limit(simulation& self, leaf& each)
{
    const auto* limit = find_limit(self, each);
    if (limit == nullptr) {
        forget_arrivals(each.rate);
        return;
    }
    count_arrival(each.rate, limit->factor, self.start + limit->from, self.now);
    self.result.over_limit = std::max(self.result.over_limit, each.rate.excess);
}

// Whether packets between the daemon and the leafs are lost.
bool is_silenced(const simulation& self, std::size_t daemon)
{
    const auto* partition = find_partition(self, daemon);
    return partition != nullptr && partition->kind == partition_kind::silent;
}

void reply(simulation& self, const job& to, unsigned status, bool not_run)
{
    gateway::leaf_reply answer;
    const auto& links = self.daemons[to.daemon].links;
    const auto link = links.find(raw(to.connection));
    const auto* limit = link == links.end()
                            ? nullptr
                            : find_limit(self, self.leafs[link->second.leaf]);
    if (limit != nullptr) {
        answer.rate = {true, limit->factor};
    }
    answer.status = status;
    answer.not_run = not_run;
    answer.signature = not_run ? "" : "seal";
    answer.body = status == 200 ? std::string(16, 'x') : "";
    after(self, network_latency, [&self, to, answer] {
        if (!is_silenced(self, to.daemon) &&
            self.daemons[to.daemon].links.count(raw(to.connection)) > 0) {
            feed(self, to.daemon,
                 gateway::leaf_replied{to.connection, answer, true});
        }
    });
}

void start_jobs(simulation& self, std::size_t index)
{
    constexpr unsigned timed_out = 504;
    auto& leaf = self.leafs[index];
    while (leaf.running < self.plan.slots && !leaf.queue.empty()) {
        const auto next = leaf.queue.front();
        leaf.queue.pop_front();
        const duration work = draw_work(self, leaf);
        const bool in_time = self.now + work <= next.until;
        if (next.until <= self.now) {
            reply(self, next, timed_out, false);
            continue;
        }
        ++leaf.running;
        after(self, std::min(work, duration{next.until - self.now}),
              [&self, index, next, in_time, starts = leaf.starts] {
                  auto& worker = self.leafs[index];
                  if (worker.starts != starts) {
                      return; // the process has ended
                  }
                  --worker.running;
                  reply(self, next, in_time ? 200U : timed_out, false);
                  start_jobs(self, index);
              });
    }
}

} // namespace

const daemon_partition* find_partition(const simulation& self,
                                       std::size_t daemon)
{
    const auto at = self.now - self.start;
    const auto found = std::find_if(
        self.plan.partitions.begin(), self.plan.partitions.end(),
        [&](const auto& partition) {
            return daemon >= partition.first_daemon &&
                   daemon < partition.first_daemon + partition.daemons &&
                   at >= partition.from && at < partition.from + partition.span;
        });
    return found == self.plan.partitions.end() ? nullptr : &*found;
}

void disconnect(simulation& self, std::size_t daemon, connection_id connection)
{
    after(self, network_latency, [&self, daemon, connection] {
        if (remove_link(self, daemon, connection)) {
            feed(self, daemon, gateway::leaf_disconnected{connection, error{}});
        }
    });
}

bool remove_link(simulation& self, std::size_t daemon, connection_id connection)
{
    auto& links = self.daemons[daemon].links;
    const auto found = links.find(raw(connection));
    if (found == links.end()) {
        return false;
    }
    self.leafs[found->second.leaf].connections -=
        found->second.accepted ? 1 : 0;
    links.erase(found);
    return true;
}

void arrive(simulation& self, std::size_t index, const job& request)
{
    constexpr unsigned unavailable = 503;
    auto& leaf = self.leafs[index];
    if (is_silenced(self, request.daemon)) {
        return;
    }
    if (is_down(self, leaf)) {
        disconnect(self, request.daemon, request.connection);
        return;
    }
    check_limit(self, leaf);
    self.result.leaf_requests += is_counting(self) ? 1 : 0;
    if (leaf.running >= self.plan.slots &&
        leaf.queue.size() >= self.plan.queue) {
        reply(self, request, unavailable, true);
        return;
    }
    leaf.queue.push_back(request);
    start_jobs(self, index);
}

void accept(simulation& self, std::size_t daemon, connection_id connection)
{
    auto& links = self.daemons[daemon].links;
    const auto found = links.find(raw(connection));
    if (found == links.end()) {
        return;
    }
    if (is_silenced(self, daemon)) {
        return;
    }
    auto& leaf = self.leafs[found->second.leaf];
    if (find_partition(self, daemon) != nullptr || is_down(self, leaf) ||
        leaf.connections >= self.plan.connections) {
        disconnect(self, daemon, connection);
        return;
    }
    ++leaf.connections;
    found->second.accepted = true;
    after(self, network_latency, [&self, daemon, connection] {
        if (self.daemons[daemon].links.count(raw(connection)) > 0) {
            feed(self, daemon, gateway::leaf_connected{connection});
        }
    });
}

void schedule_faults(simulation& self)
{
    for (const auto& partition : self.plan.partitions) {
        if (partition.kind != partition_kind::reset) {
            continue;
        }
        after(self, preparation + partition.from, [&self, partition] {
            for (std::size_t i = 0; i < partition.daemons; ++i) {
                const auto daemon = partition.first_daemon + i;
                for (const auto& [id, to] : self.daemons[daemon].links) {
                    disconnect(self, daemon, connection_id{id});
                }
            }
        });
    }
    for (const auto& fault : self.plan.faults) {
        if (fault.kind != fault_kind::down) {
            continue;
        }
        after(self, preparation + fault.from, [&self, fault] {
            for (std::size_t i = 0; i < self.leafs.size(); ++i) {
                auto& leaf = self.leafs[i];
                if (!applies(fault, leaf, fault.from)) {
                    continue;
                }
                leaf.running = 0;
                leaf.queue.clear();
                ++leaf.starts;
                for (std::size_t d = 0; d < self.daemons.size(); ++d) {
                    for (const auto& [id, to] : self.daemons[d].links) {
                        if (to.leaf == i) {
                            disconnect(self, d, connection_id{id});
                        }
                    }
                }
            }
        });
    }
}

} // namespace bulrushspring::experiment
