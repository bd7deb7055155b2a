#include "tests/queries/simulation.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace bulrushspring::tests
{
namespace
{

constexpr duration open_time = milliseconds{6};
// Time after which a leaf stops counting a connection on which it receives
// nothing.
constexpr duration leaf_idle_timeout = seconds{50};

template <typename Event>
constexpr bool handled_by_targets = requires(targets::state& state,
                                             const Event& event,
                                             context& context)
{
    targets::reduce(state, event, context);
};

template <typename Event>
constexpr bool
    handled_by_queries = requires(queries::state& state, targets::state& leafs,
                                  const Event& event, context& context)
{
    queries::reduce(state, leafs, event, context);
};

error make_error(errc code)
{
    return {make_error_code(code), "test", "leaf", ""};
}

} // namespace

simulation::simulation(manifest::manifest_pointer manifest, std::uint64_t seed)
{
    targets = targets::make_state("entry-0", {}, seed, now);
    queries = queries::make_state({});
    set_manifest(std::move(manifest));
    run_for(seconds{1});
}

void simulation::set_manifest(manifest::manifest_pointer manifest)
{
    current_manifest = manifest;
    for (const auto& [name, pool] : manifest->pools) {
        for (const auto& leaf : pool.leafs) {
            leafs.try_emplace(leaf.name);
        }
    }
    deliver(manifest_changed{std::move(manifest)});
}

// In the order of the node library: targets, then queries, then the assignment
// of freed connections.
void simulation::deliver(const event& what)
{
    auto context = make_context();
    std::visit(
        [&](const auto& event) {
            using type = std::decay_t<decltype(event)>;
            if constexpr (handled_by_targets<type>) {
                targets::reduce(targets, event, context);
            }
            if constexpr (handled_by_queries<type>) {
                queries::reduce(queries, targets, event, context);
            }
        },
        what);
    queries::assign_connections(queries, targets, context);
    apply_effects();
}

void simulation::deliver_at(boot_time at, event what)
{
    scheduled_.emplace(at, std::move(what));
}

void simulation::run_for(duration span)
{
    const auto end = now + span;
    while (true) {
        const auto wakeup = std::min(targets::next_wakeup(targets),
                                     queries::next_wakeup(queries));
        const auto event_at =
            scheduled_.empty() ? boot_time::max() : scheduled_.begin()->first;
        const auto next = std::min(wakeup, event_at);
        if (next > end) {
            break;
        }
        now = std::max(now, next);
        if (event_at <= wakeup) {
            const auto what = scheduled_.begin()->second;
            scheduled_.erase(scheduled_.begin());
            deliver(what);
        } else {
            deliver(tick{});
        }
    }
    now = end;
}

void simulation::begin_query(std::uint64_t token, const std::string& service,
                             duration time_left)
{
    caller_request request;
    request.service = service;
    request.id = "request-" + std::to_string(token);
    request.time_left = time_left;
    request.body = std::make_shared<const std::string>("words");
    auto context = make_context();
    queries::begin(queries, targets, caller_token{token}, request,
                   current_manifest, context);
    queries::assign_connections(queries, targets, context);
    apply_effects();
}

const attempt* simulation::send_single_request(bool idempotent)
{
    const auto& pool = current_manifest->pools.at("index");
    auto context = make_context();
    const auto assigned = targets::assign(
        targets, {pool, pool.served_snapshot, 0, idempotent, {}, seconds{1}},
        context);
    const auto* assigned_leaf = std::get_if<targets::assignment>(&assigned);
    if (assigned_leaf != nullptr) {
        leaf_request request;
        request.snapshot = pool.served_snapshot;
        request.idempotent = idempotent;
        context.emit(send_to_leaf{assigned_leaf->connection,
                                  assigned_leaf->attempt, request});
    }
    apply_effects();
    return assigned_leaf == nullptr ? nullptr : &attempts.back();
}

targets::leaf_state& simulation::find_leaf_state(const std::string& name)
{
    return targets::leaf_at(targets, targets.leaf_by_name.at(name));
}

std::size_t simulation::count_logged(std::string_view name) const
{
    return std::count_if(log.begin(), log.end(), [&](const auto& line) {
        return line.find(name) != std::string::npos;
    });
}

std::size_t simulation::attempts_to(const std::string& leaf) const
{
    return std::count_if(attempts.begin(), attempts.end(),
                         [&](const auto& sent) { return sent.leaf == leaf; });
}

void simulation::apply_effects()
{
    while (!effects_.empty()) {
        const auto effects = std::exchange(effects_, {});
        for (const auto& what : effects) {
            apply_effect(what);
        }
    }
}

void simulation::apply_effect(const effect& what)
{
    if (const auto* opened = std::get_if<open_connection>(&what)) {
        accept_connection(*opened);
    } else if (const auto* sent = std::get_if<send_to_leaf>(&what)) {
        answer_attempt(*sent);
    } else if (const auto* probed = std::get_if<probe_connection>(&what)) {
        const auto& leaf = leafs[leaf_of_[probed->connection]];
        if (!leaf.silenced.contains(probed->connection)) {
            deliver_at(now + milliseconds{1},
                       probe_answered{
                           probed->connection,
                           {leaf.mode == behaviour::draining, leaf.warm, 0}});
        }
    } else if (const auto* closed = std::get_if<close_connection>(&what)) {
        auto& leaf = leafs[leaf_of_[closed->connection]];
        if (leaf.silenced.contains(closed->connection)) {
            leaf.unnoticed_closes[closed->connection] = now + leaf_idle_timeout;
        } else {
            leaf.connections.erase(closed->connection);
        }
    } else if (const auto* answered = std::get_if<answer_caller>(&what)) {
        answers[raw(answered->token)].push_back(answered->answer);
    } else if (const auto* counted = std::get_if<add_to_counter>(&what)) {
        counters[counted->counter] += counted->amount;
    } else if (const auto* line = std::get_if<write_log>(&what)) {
        log.push_back(to_string(line->record));
    } else if (const auto* raised = std::get_if<raise_event>(&what)) {
        if (const auto* left = std::get_if<leaf_leaving>(&raised->raised)) {
            raised_leaving.push_back(*left);
        }
        deliver(raised->raised);
    }
}

void simulation::accept_connection(const open_connection& what)
{
    auto& leaf = leafs[what.leaf];
    leaf_of_[what.connection] = what.leaf;
    ++leaf.open_requests;
    if (leaf.mode == behaviour::unreachable) {
        deliver_at(
            now + what.timeout,
            connection_closed{what.connection, make_error(errc::timed_out)});
        return;
    }
    for (const auto& [connection, until] : leaf.unnoticed_closes) {
        if (until <= now) {
            leaf.connections.erase(connection);
        }
    }
    leaf.connections.insert(what.connection);
    leaf.max_connections =
        std::max(leaf.max_connections, leaf.connections.size());
    deliver_at(
        now + open_time,
        connection_opened{what.connection,
                          {leaf.mode == behaviour::draining, leaf.warm, 0}});
}

leaf_answer simulation::make_answer(const scripted_leaf& leaf,
                                    const send_to_leaf& what) const
{
    leaf_answer answer;
    answer.status = leaf_status::answered;
    answer.run = execution::ran;
    answer.request_id = what.request.request_id;
    answer.snapshot = what.request.snapshot;
    answer.shard = what.request.shard;
    answer.body = line_of(what.request.request_id, what.request.snapshot,
                          what.request.shard);
    if (what.request.snapshot < leaf.oldest_snapshot) {
        answer.status = leaf_status::snapshot_gone;
    }
    switch (leaf.mode) {
    case behaviour::shedding:
        answer.status = leaf_status::shed;
        break;
    case behaviour::failing:
        answer.status = leaf_status::failed;
        break;
    case behaviour::draining:
        answer.status = leaf_status::draining;
        answer.draining = true;
        break;
    default:
        break;
    }
    return answer;
}

void simulation::answer_attempt(const send_to_leaf& what)
{
    const auto name = leaf_of_[what.connection];
    auto& leaf = leafs[name];
    attempts.push_back({now, name, what});
    if (leaf.mode == behaviour::unreachable) {
        deliver_at(now + milliseconds{1},
                   leaf_failed{what.connection, what.attempt, true,
                               make_error(errc::closed)});
        leaf.connections.erase(what.connection);
        return;
    }
    if (leaf.mode == behaviour::silent) {
        leaf.silenced.insert(leaf.connections.begin(), leaf.connections.end());
        leaf.mode = behaviour::prompt;
    }
    if (leaf.silenced.contains(what.connection)) {
        return;
    }
    auto answer = make_answer(leaf, what);
    if (!intercept_answer || intercept_answer(what, answer)) {
        deliver_at(now + leaf.latency,
                   leaf_answered{what.connection, what.attempt, answer});
    }
}

std::string line_of(const std::string& request, manifest::snapshot_id snapshot,
                    manifest::shard_id shard)
{
    return "0." + std::to_string(999 - shard) + "\t" + request + "/" +
           std::to_string(snapshot) + "/" + std::to_string(shard) + "\n";
}

std::string leaf_name(std::uint32_t shard, std::uint32_t replica)
{
    return "leaf-" + std::to_string(shard) + "-" + std::to_string(replica);
}

manifest::manifest make_manifest(const layout& from)
{
    manifest::manifest made;
    made.version = 1;
    for (std::uint32_t i = 0; i < from.data_centres; ++i) {
        made.entries.data_centres.push_back({"dc-" + std::to_string(i), "kl"});
    }
    const auto centre = [&](std::uint32_t i) {
        return made.entries.data_centres[i % from.data_centres].name;
    };
    for (std::uint32_t i = 0; i < from.vms; ++i) {
        made.entries.vms.push_back({"entry-" + std::to_string(i), centre(i)});
    }
    made.entries.spare_vms = from.spare_vms;
    manifest::pool pool;
    pool.name = "index";
    pool.served_snapshot = from.snapshots.back();
    pool.slots = 3;
    pool.connections = from.connections;
    for (const auto id : from.snapshots) {
        pool.snapshots.push_back({id, from.shards});
    }
    for (std::uint32_t shard = 0; shard < from.shards; ++shard) {
        for (std::uint32_t i = 0; i < from.replicas; ++i) {
            manifest::leaf leaf;
            leaf.name = leaf_name(shard, i);
            leaf.data_centre = centre(i);
            for (const auto id : from.snapshots) {
                leaf.holdings.push_back({id, shard});
            }
            pool.leafs.push_back(leaf);
        }
    }
    made.pools.emplace("index", pool);
    manifest::service service;
    service.name = "find";
    service.pool = "index";
    service.deadline = from.deadline;
    service.hedge_budget = from.hedge_budget;
    service.minimum_coverage = from.minimum_coverage;
    service.wait_for_coverage = from.wait_for_coverage;
    service.result_limit = 50;
    made.services.emplace("find", service);
    return made;
}

manifest::manifest_pointer make_shared_manifest(manifest::manifest from)
{
    return std::make_shared<const manifest::manifest>(std::move(from));
}

} // namespace bulrushspring::tests
