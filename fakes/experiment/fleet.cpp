#include "fakes/experiment/fleet.hpp"

#include "libraries/gateway/gateway.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>

namespace bulrushspring::experiment
{
namespace
{

// One way between two machines of a region.
constexpr duration network_latency = std::chrono::microseconds{500};
constexpr std::uint16_t first_port = 10'000;
// Time in which the daemons learn their fleet and connect.
constexpr seconds preparation{8};

// A daemon's connection to a leaf.
struct link {
    std::size_t leaf = 0;
    bool accepted = false; // counts against the leaf's limit
};

struct daemon {
    gateway::state state;
    std::vector<gateway::effect> effects;
    std::vector<bulrushspring::effect> shared;
    std::uint64_t last_identifier = 0;
    std::map<std::uint64_t, link> links;   // by connection_id
    boot_time wakes_at = boot_time::max(); // the next tick
};

struct job {
    std::size_t daemon = 0;
    connection_id connection{};
    boot_time until{};
};

struct leaf {
    std::size_t shard = 0;
    std::size_t number = 0; // in its shard
    std::uint32_t connections = 0;
    std::size_t running = 0;
    std::deque<job> queue;
    std::uint32_t starts = 0; // of its process
};

struct query {
    boot_time sent_at{};
    std::size_t second = 0;
    bool measured = false;
};

struct timed_action {
    boot_time at{};
    std::uint64_t number = 0; // keeps the order of actions at the same time
    std::function<void()> run;
};
struct later {
    bool operator()(const timed_action& one, const timed_action& other) const
    {
        return std::pair(one.at, one.number) >
               std::pair(other.at, other.number);
    }
};

struct simulation {
    const pattern& plan;
    random_source random;
    boot_time now{seconds{1000}};
    boot_time start = now;
    std::uint64_t last_number = 0;
    std::uint64_t last_query = 0;
    std::priority_queue<timed_action, std::vector<timed_action>, later> actions;
    std::vector<daemon> daemons;
    std::vector<leaf> leafs;
    std::map<std::uint64_t, query> queries; // in progress, by token
    topology::records_learned records;
    run_result result;
};

void after(simulation& self, duration delay, std::function<void()> run)
{
    self.actions.push({self.now + delay, ++self.last_number, std::move(run)});
}

endpoint peer_address(std::size_t daemon)
{
    return {0x7F000001, static_cast<std::uint16_t>(first_port + daemon)};
}

endpoint leaf_address(std::size_t leaf)
{
    return {0x7F000002, static_cast<std::uint16_t>(first_port + leaf)};
}

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

// The current second of the measured time; null during the warm-up.
tally* current_second(simulation& self)
{
    const duration measured = self.now - self.start - self.plan.warm_up;
    if (measured < duration{0}) {
        return nullptr;
    }
    const auto second = static_cast<std::size_t>(measured / seconds{1});
    return second < self.result.seconds.size() ? &self.result.seconds[second]
                                               : nullptr;
}

void feed(simulation& self, std::size_t daemon, const gateway::any_event& what);

void reply(simulation& self, const job& to, unsigned status, bool not_run)
{
    gateway::leaf_reply answer;
    answer.status = status;
    answer.not_run = not_run;
    answer.signature = not_run ? "" : "seal";
    answer.body = status == 200 ? std::string(16, 'x') : "";
    after(self, network_latency, [&self, to, answer] {
        if (self.daemons[to.daemon].links.count(raw(to.connection)) > 0) {
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
        if (auto* second = current_second(self); second && !in_time) {
            ++second->leaf_expirations;
        }
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

// Removes a connection. Returns false if it has ended already.
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

// The leaf ends a connection, or does not accept it.
void disconnect(simulation& self, std::size_t daemon, connection_id connection)
{
    after(self, network_latency, [&self, daemon, connection] {
        if (remove_link(self, daemon, connection)) {
            feed(self, daemon, gateway::leaf_disconnected{connection, error{}});
        }
    });
}

void arrive(simulation& self, std::size_t index, const job& request)
{
    constexpr unsigned unavailable = 503;
    auto& leaf = self.leafs[index];
    auto* second = current_second(self);
    if (is_down(self, leaf)) {
        disconnect(self, request.daemon, request.connection);
        return;
    }
    if (second != nullptr) {
        ++second->leaf_requests;
    }
    if (leaf.running >= self.plan.slots &&
        leaf.queue.size() >= self.plan.queue) {
        if (second != nullptr) {
            ++second->leaf_refusals;
        }
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
    auto& leaf = self.leafs[found->second.leaf];
    if (is_down(self, leaf) || leaf.connections >= self.plan.connections) {
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

void perform(simulation& self, std::size_t daemon,
             const gateway::open_leaf& open)
{
    const std::size_t leaf = open.address.port - first_port;
    self.daemons[daemon].links[raw(open.connection)] = {leaf};
    after(self, network_latency,
          [&self, daemon, open] { accept(self, daemon, open.connection); });
}

void perform(simulation& self, std::size_t daemon,
             const gateway::close_leaf& closed)
{
    remove_link(self, daemon, closed.connection);
}

void perform(simulation& self, std::size_t daemon,
             const gateway::send_to_leaf& sent)
{
    const auto& links = self.daemons[daemon].links;
    const auto found = links.find(raw(sent.connection));
    if (found == links.end()) {
        return;
    }
    const job request{daemon, sent.connection, self.now + sent.time_left};
    after(self, network_latency, [&self, index = found->second.leaf, request] {
        arrive(self, index, request);
    });
}

void perform(simulation& self, std::size_t /*daemon*/,
             const gateway::answer_request& answered)
{
    const auto found = self.queries.find(raw(answered.token));
    const auto asked = found->second;
    self.queries.erase(found);
    if (!asked.measured) {
        return;
    }
    auto& second = self.result.seconds[asked.second];
    const duration took = self.now - asked.sent_at + 2 * network_latency;
    const auto& answer = answered.answer;
    if (answer.kind == gateway::answer_kind::merged) {
        second.in_time += took <= self.plan.objective ? 1 : 0;
        second.late += took <= self.plan.objective ? 0 : 1;
        second.answered_parts += self.plan.shards;
        second.covered_parts += self.plan.shards - answer.missing_shards;
        self.result.latencies.push_back(took);
    } else if (answer.kind == gateway::answer_kind::not_run) {
        ++second.refused;
    } else {
        ++second.failed;
    }
}

// A read is answered with all records, a watch request with none when its wait
// is over: the store doesn't change.
void perform(simulation& self, std::size_t daemon,
             const gateway::call_store& call)
{
    auto answer = self.records;
    duration delay = 2 * network_latency;
    if (const auto* watch = std::get_if<topology::watch_changes>(&call.call)) {
        answer.records.clear();
        answer.complete = false;
        delay += watch->wait;
    }
    after(self, delay, [&self, daemon, answer] { feed(self, daemon, answer); });
}

// The other effects have no counterpart in the model.
template <typename Effect>
void perform(simulation& /*self*/, std::size_t /*daemon*/,
             const Effect& /*effect*/)
{
}

void perform(simulation& self, std::size_t daemon, const send_datagram& sent)
{
    const std::size_t to = sent.to.port - first_port;
    after(self, network_latency, [&self, daemon, to, message = sent.message] {
        feed(self, to, datagram_received{peer_address(daemon), message});
    });
}

void perform(simulation& self, std::size_t daemon,
             const send_peer_request& sent)
{
    after(self, network_latency, [&self, daemon, id = sent.exchange] {
        const error refused{errc::closed, "connect", "peer", "not modelled"};
        feed(self, daemon, peer_reply_received{id, refused});
    });
}

void schedule_tick(simulation& self, std::size_t index)
{
    auto& daemon = self.daemons[index];
    const auto due = std::max(gateway::next_wakeup(daemon.state),
                              self.now + std::chrono::microseconds{100});
    if (due >= daemon.wakes_at) {
        return;
    }
    daemon.wakes_at = due;
    after(self, due - self.now, [&self, index, due] {
        if (self.daemons[index].wakes_at == due) {
            self.daemons[index].wakes_at = boot_time::max();
            feed(self, index, tick{});
        }
    });
}

void feed(simulation& self, std::size_t index, const gateway::any_event& what)
{
    auto& daemon = self.daemons[index];
    context shared_context{self.now, daemon.shared, daemon.last_identifier};
    gateway::context context{self.now, daemon.effects, shared_context};
    gateway::reduce(daemon.state, what, context);
    const auto effects = std::exchange(daemon.effects, {});
    const auto shared = std::exchange(daemon.shared, {});
    for (const auto& each : effects) {
        std::visit([&](const auto& one) { perform(self, index, one); }, each);
    }
    for (const auto& each : shared) {
        std::visit([&](const auto& one) { perform(self, index, one); }, each);
    }
    schedule_tick(self, index);
}

void make_records(simulation& self)
{
    auto table = std::make_shared<routing::table>();
    table->version = 1;
    auto& route = table->routes.emplace_back();
    route.name = "query";
    route.host = "h";
    route.prefix = "/";
    route.idempotent = true;
    route.timeout = self.plan.timeout;
    route.objective = self.plan.objective;
    route.max_leafs = self.plan.max_leafs;
    route.result_limit = 10;
    route.minimum_coverage = self.plan.minimum_coverage;
    self.records.source = "store";
    self.records.revision = 1;
    self.records.complete = true;
    for (std::size_t shard = 0; shard < self.plan.shards; ++shard) {
        const auto service = "s" + std::to_string(shard);
        route.shards.push_back(service);
        table->services[service] = {service, "/health", self.plan.connections};
        for (std::size_t number = 0; number < self.plan.leafs; ++number) {
            routing::leaf published;
            published.id = service + "-" + std::to_string(number);
            published.service = service;
            published.address = leaf_address(self.leafs.size());
            published.data_centre = "dc-1";
            published.slots = static_cast<std::uint32_t>(self.plan.slots);
            self.records.records.push_back(
                {{"leaf/" + published.id, 1, false, ""}, published});
            self.leafs.push_back({shard, number});
        }
    }
    self.records.records.push_back(
        {{"table", 1, false, ""}, routing::table_pointer(table)});
}

void make_daemons(simulation& self)
{
    gateway::options settings;
    settings.exchanges.budget.ratio = self.plan.extra_share;
    std::vector<endpoint> seeds;
    for (std::size_t i = 0; i < self.plan.daemons; ++i) {
        seeds.push_back(peer_address(i));
    }
    for (std::size_t i = 0; i < self.plan.daemons; ++i) {
        wire::member_record own;
        own.name = "daemon-" + std::to_string(i);
        own.data_centre = "dc-1";
        own.region = "region";
        own.peer = peer_address(i);
        own.caller = own.peer;
        own.incarnation = self.random() >> 32U;
        auto& made = self.daemons.emplace_back();
        made.state = gateway::make_state(own, seeds, settings, self.now);
    }
}

// Ends the connections and the work of leafs that go down, and starts them
// again.
void schedule_faults(simulation& self)
{
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

// Sends the next query, to a random daemon, and schedules the one after it.
void send_queries(simulation& self)
{
    const duration elapsed = self.now - self.start;
    if (elapsed >= self.plan.warm_up + self.plan.span) {
        return;
    }
    const std::uint64_t token = ++self.last_query;
    auto request = std::make_shared<gateway::forward_request>();
    request->id = "r" + std::to_string(token);
    request->method = "GET";
    request->host = "h";
    request->target = "/q";
    request->time_left = self.plan.timeout;
    auto& asked = self.queries[token];
    asked.sent_at = self.now;
    if (auto* second = current_second(self)) {
        ++second->asked;
        second->parts += self.plan.shards;
        asked.measured = true;
        asked.second =
            static_cast<std::size_t>(second - self.result.seconds.data());
    }
    const auto to = static_cast<std::size_t>(
        random_below(self.random, self.daemons.size()));
    feed(self, to, gateway::forward_requested{caller_token{token}, request});
    const double pause = -std::log(1.0 - random_fraction(self.random)) /
                         self.plan.queries_per_second;
    after(self,
          std::chrono::duration_cast<duration>(
              std::chrono::duration<double>(pause)),
          [&self] { send_queries(self); });
}

} // namespace

void add(tally& to, const tally& other)
{
    to.asked += other.asked;
    to.in_time += other.in_time;
    to.late += other.late;
    to.refused += other.refused;
    to.failed += other.failed;
    to.parts += other.parts;
    to.answered_parts += other.answered_parts;
    to.covered_parts += other.covered_parts;
    to.leaf_requests += other.leaf_requests;
    to.leaf_refusals += other.leaf_refusals;
    to.leaf_expirations += other.leaf_expirations;
}

tally total(const run_result& result)
{
    tally sum;
    for (const auto& each : result.seconds) {
        add(sum, each);
    }
    return sum;
}

run_result play(const pattern& plan, std::uint64_t seed)
{
    simulation self{plan, random_source{seed}};
    self.result.seconds.resize(
        static_cast<std::size_t>(plan.span / seconds{1}));
    make_records(self);
    make_daemons(self);
    schedule_faults(self);
    for (std::size_t i = 0; i < self.daemons.size(); ++i) {
        feed(self, i, tick{});
    }
    self.start = self.now + preparation;
    after(self, preparation, [&self] { send_queries(self); });
    const auto end = self.start + plan.warm_up + plan.span + plan.timeout;
    while (!self.actions.empty() && self.actions.top().at <= end) {
        const auto next = self.actions.top();
        self.actions.pop();
        self.now = next.at;
        next.run();
    }
    for (const auto& [token, asked] : self.queries) {
        if (asked.measured) {
            ++self.result.seconds[asked.second].failed;
        }
    }
    std::sort(self.result.latencies.begin(), self.result.latencies.end());
    return std::move(self.result);
}

} // namespace bulrushspring::experiment
