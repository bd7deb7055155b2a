#include "fakes/experiment/fleet.hpp"

#include "fakes/experiment/simulation.hpp"

#include <algorithm>
#include <cmath>

namespace bulrushspring::experiment
{
namespace
{

constexpr std::uint16_t first_port = 10'000;

endpoint peer_address(std::size_t daemon)
{
    return {0x7F000001, static_cast<std::uint16_t>(first_port + daemon)};
}

endpoint leaf_address(std::size_t leaf)
{
    return {0x7F000002, static_cast<std::uint16_t>(first_port + leaf)};
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
    if (!asked.counted) {
        return;
    }
    auto& result = self.result;
    const duration took = self.now - asked.sent_at + 2 * network_latency;
    const auto& answer = answered.answer;
    if (answer.kind == gateway::answer_kind::merged) {
        result.served_in_partition +=
            asked.during_partition && asked.in_partition ? 1 : 0;
        result.served_at_others +=
            asked.during_partition && !asked.in_partition ? 1 : 0;
        result.in_time += took <= self.plan.objective ? 1 : 0;
        result.late += took <= self.plan.objective ? 0 : 1;
        result.answered_parts += self.plan.shards;
        result.covered_parts += self.plan.shards - answer.missing_shards;
        result.latencies.push_back(took);
    } else if (answer.kind == gateway::answer_kind::not_run) {
        ++result.refused;
    } else {
        ++result.failed;
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

void perform(simulation& self, std::size_t /*daemon*/,
             const gateway::answer_entries& answered)
{
    const auto found = self.directory_calls.find(raw(answered.token));
    self.groups[found->second].entries = answered.entries;
    self.directory_calls.erase(found);
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

// Only questions about the contact with leafs are answered: they carry no
// records in the platform's encoding.
void perform(simulation& self, std::size_t daemon,
             const send_peer_request& sent)
{
    if (std::holds_alternative<wire::leaf_contact_request>(sent.request)) {
        const std::size_t to = sent.peer.port - first_port;
        const auto token = ++self.last_query;
        self.peer_calls[token] = {daemon, sent.exchange};
        after(self, network_latency, [&self, daemon, to, token, sent] {
            feed(self, to,
                 peer_request_received{peer_token{token}, peer_address(daemon),
                                       sent.request});
        });
        return;
    }
    after(self, network_latency, [&self, daemon, id = sent.exchange] {
        const error refused{errc::closed, "connect", "peer", "not modelled"};
        feed(self, daemon, peer_reply_received{id, refused});
    });
}

void perform(simulation& self, std::size_t /*daemon*/,
             const reply_to_peer& replied)
{
    const auto found = self.peer_calls.find(raw(replied.token));
    if (found == self.peer_calls.end()) {
        return;
    }
    const auto [daemon, exchange] = found->second;
    self.peer_calls.erase(found);
    after(self, network_latency,
          [&self, daemon = daemon, exchange = exchange, replied] {
              feed(self, daemon, peer_reply_received{exchange, replied.reply});
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

} // namespace

void after(simulation& self, duration delay, std::function<void()> run)
{
    self.actions.push({self.now + delay, ++self.last_number, std::move(run)});
}

bool is_counting(const simulation& self)
{
    const duration counted = self.now - self.start - self.plan.warm_up;
    return counted >= duration{0} && counted < self.plan.span;
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

namespace
{

void make_leafs(simulation& self)
{
    for (std::size_t shard = 0; shard < self.plan.shards; ++shard) {
        for (std::size_t number = 0; number < self.plan.leafs; ++number) {
            self.leafs.push_back({shard, number});
        }
    }
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

constexpr seconds entries_ttl{1};
// Some callers keep the directory's answers three times as long.
constexpr int max_ttl_multiple = 3;

void make_groups(simulation& self)
{
    self.groups.push_back({entries_ttl, self.now, {}});
    self.groups.push_back({max_ttl_multiple * entries_ttl, self.now, {}});
    self.groups.push_back(
        {max_ttl_multiple * entries_ttl, self.now + entries_ttl, {}});
}

// The daemon that a caller uses.
std::size_t choose_daemon(simulation& self)
{
    const auto any = static_cast<std::size_t>(
        random_below(self.random, self.daemons.size()));
    if (!self.plan.directory) {
        return any;
    }
    const auto number =
        static_cast<std::size_t>(random_below(self.random, self.groups.size()));
    auto& group = self.groups[number];
    if (self.now >= group.asks_at) {
        group.asks_at = self.now + group.ttl;
        const auto token = ++self.last_query;
        self.directory_calls[token] = number;
        feed(self, any,
             gateway::entries_requested{caller_token{token}, "dc-1"});
    }
    if (group.entries.empty()) {
        return any;
    }
    return group.entries[random_below(self.random, group.entries.size())].port -
           first_port;
}

// Counts a query that is sent during a partition.
void count_during_partition(simulation& self, std::size_t daemon, query& asked)
{
    const auto at = self.now - self.start;
    asked.during_partition =
        std::any_of(self.plan.partitions.begin(), self.plan.partitions.end(),
                    [&](const auto& partition) {
                        return at >= partition.from + partition_grace &&
                               at < partition.from + partition.span;
                    });
    asked.in_partition = find_partition(self, daemon) != nullptr;
    if (asked.during_partition) {
        ++(asked.in_partition ? self.result.asked_in_partition
                              : self.result.asked_at_others);
    }
}

// Sends the next query and schedules the one after it.
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
    if (is_counting(self)) {
        ++self.result.asked;
        self.result.parts += self.plan.shards;
        asked.counted = true;
    }
    const auto to = choose_daemon(self);
    count_during_partition(self, to, self.queries[token]);
    feed(self, to, gateway::forward_requested{caller_token{token}, request});
    const double pause = -std::log(1.0 - random_fraction(self.random)) /
                         self.plan.queries_per_second;
    after(self,
          std::chrono::duration_cast<duration>(
              std::chrono::duration<double>(pause)),
          [&self] { send_queries(self); });
}

} // namespace

topology::records_learned records_of(const pattern& plan)
{
    topology::records_learned records;
    records.source = "store";
    records.revision = 1;
    records.complete = true;
    auto table = std::make_shared<routing::table>();
    table->version = 1;
    auto& route = table->routes.emplace_back();
    route.name = "query";
    route.host = "h";
    route.prefix = "/";
    route.idempotent = true;
    route.timeout = plan.timeout;
    route.objective = plan.objective;
    route.max_leafs = plan.max_leafs;
    route.result_limit = 10;
    route.minimum_coverage = plan.minimum_coverage;
    for (std::size_t shard = 0; shard < plan.shards; ++shard) {
        const auto service = "s" + std::to_string(shard);
        route.shards.push_back(service);
        table->services[service] = {service, "/health", plan.connections};
        for (std::size_t number = 0; number < plan.leafs; ++number) {
            routing::leaf leaf;
            leaf.id = service + "-" + std::to_string(number);
            leaf.service = service;
            leaf.address = leaf_address(shard * plan.leafs + number);
            leaf.data_centre = "dc-1";
            leaf.slots = static_cast<std::uint32_t>(plan.slots);
            records.records.push_back(
                {{"leaf/" + leaf.id, 1, false, ""}, leaf});
        }
    }
    records.records.push_back(
        {{"table", 1, false, ""}, routing::table_pointer(table)});
    return records;
}

run_result play(const pattern& plan, std::uint64_t seed)
{
    simulation self{plan, random_source{seed}};
    self.records = records_of(plan);
    make_leafs(self);
    make_daemons(self);
    make_groups(self);
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
        if (asked.counted) {
            ++self.result.failed;
        }
    }
    std::sort(self.result.latencies.begin(), self.result.latencies.end());
    return std::move(self.result);
}

} // namespace bulrushspring::experiment
