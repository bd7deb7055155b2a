#include "tests/requests/simulation.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace bulrushspring::requests_test
{
namespace
{

// "order-desk" is non-idempotent and "tracker" is a read. Both run on one pool
// of four leafs that hold every shard of the snapshot.
manifest::manifest_pointer make_manifest(std::size_t daemons,
                                         std::uint32_t shards,
                                         manifest::snapshot_id snapshot)
{
    auto made = std::make_shared<manifest::manifest>();
    made->version = snapshot;
    made->entries.data_centres.push_back({"dc", "region"});
    for (std::size_t i = 0; i < daemons; ++i) {
        made->entries.vms.push_back({"entry-" + std::to_string(i), "dc"});
    }
    manifest::pool pool;
    pool.name = "orders";
    pool.served_snapshot = snapshot;
    pool.slots = 3;
    pool.connections = 65;
    pool.snapshots.push_back({snapshot, shards});
    for (int i = 0; i < 4; ++i) {
        manifest::leaf leaf;
        leaf.name = "leaf-" + std::to_string(i);
        leaf.data_centre = "dc";
        for (std::uint32_t shard = 0; shard < shards; ++shard) {
            leaf.holdings.push_back({snapshot, shard});
        }
        pool.leafs.push_back(leaf);
    }
    made->pools.emplace("orders", pool);
    manifest::service service{"order-desk", manifest::service_kind::request,
                              "orders", milliseconds{1000}};
    service.hedge_budget = 0.1;
    made->services.emplace("order-desk", service);
    service.name = "tracker";
    service.kind = manifest::service_kind::read;
    made->services.emplace("tracker", service);
    return made;
}

template <typename Event>
constexpr bool handled_by_targets = requires(targets::state& state,
                                             const Event& event, context& at)
{
    targets::reduce(state, event, at);
};

template <typename Event>
constexpr bool handled_by_requests = requires(requests::state& state,
                                              targets::state& leafs,
                                              const Event& event, context& at)
{
    requests::reduce(state, leafs, event, at);
};

template <typename Event>
constexpr bool handled_by_admission = requires(admission::state& state,
                                               const Event& event, context& at)
{
    admission::reduce(state, event, at);
};

} // namespace

simulation::simulation(std::size_t daemon_count,
                       const requests::options& options,
                       double concurrency_limit)
    : settings(options)
{
    admission_settings.limits.initial_limit = concurrency_limit;
    manifest = make_manifest(daemon_count, 2, 17);
    daemons.resize(daemon_count);
    for (std::size_t i = 0; i < daemon_count; ++i) {
        daemons[i].name = "entry-" + std::to_string(i);
        start(daemons[i]);
        deliver(i, manifest_changed{manifest});
    }
    run(seconds{1});
    for (std::size_t i = 0; i < daemon_count; ++i) {
        renew_grant(i);
    }
}

context simulation::context_of(daemon& in)
{
    return {now, effects_, in.last_identifier};
}

void simulation::start(daemon& started)
{
    started.targets =
        targets::make_state(started.name, {}, started.incarnation, now);
    started.requests =
        requests::make_state(started.name, started.incarnation, settings, 3);
    started.admission = admission::make_state(admission_settings, 5);
    started.inbox.clear();
    started.suspended = false;
    // Each incarnation has identifiers of its own, so that none is mistaken
    // for one of an earlier incarnation.
    started.last_identifier = started.incarnation << 32U;
}

std::uint64_t simulation::submit(std::size_t to, caller_request request)
{
    const auto token = ++last_token_;
    if (request.grant.empty()) {
        request.grant = daemons[to].grant;
    }
    caller_attempts[token] = {to, daemons[to].incarnation, request, false, {}};
    deliver(to,
            caller_request_received{caller_token{token}, std::move(request)});
    return token;
}

caller_request simulation::make_request(const std::string& caller,
                                        const std::string& id,
                                        std::uint32_t attempt_number) const
{
    caller_request request;
    request.kind = manifest::service_kind::request;
    request.service = "order-desk";
    request.key = id;
    request.id = id;
    request.caller_attempt = attempt_number;
    request.caller = caller;
    request.body = std::make_shared<const std::string>(caller + "/" + id);
    return request;
}

std::uint64_t simulation::repeat(std::size_t to, std::uint64_t token)
{
    const auto& earlier = caller_attempts.at(token);
    auto request = earlier.request;
    ++request.caller_attempt;
    if (to != earlier.daemon) {
        request.grant = daemons[to].grant;
    }
    return submit(to, std::move(request));
}

void simulation::disconnect_caller(std::uint64_t token)
{
    auto& attempt = caller_attempts.at(token);
    if (attempt.left || !attempt.answers.empty() ||
        attempt.incarnation != daemons[attempt.daemon].incarnation) {
        return;
    }
    attempt.left = true;
    deliver(attempt.daemon, caller_disconnected{caller_token{token}});
}

void simulation::renew_grant(std::size_t of)
{
    auto& issuer = daemons[of];
    if (!issuer.suspended) {
        issuer.grant = requests::issue_grant(issuer.requests, now);
    }
}

void simulation::deliver(std::size_t to, const event& what)
{
    if (daemons[to].suspended) {
        daemons[to].inbox.push_back(what);
        return;
    }
    reduce(to, what);
    apply_effects(to);
}

void simulation::reduce(std::size_t in, const event& what)
{
    auto& daemon = daemons[in];
    auto at = context_of(daemon);
    std::visit(
        [&](const auto& event) {
            using type = std::decay_t<decltype(event)>;
            if constexpr (handled_by_targets<type>) {
                targets::reduce(daemon.targets, event, at);
            }
            if constexpr (handled_by_requests<type>) {
                requests::reduce(daemon.requests, daemon.targets, event, at);
            }
            if constexpr (handled_by_admission<type>) {
                admission::reduce(daemon.admission, event, at);
            }
        },
        what);
    if (const auto* arrived = std::get_if<caller_request_received>(&what)) {
        const auto token = arrived->token;
        if (!requests::answer_without_admission(daemon.requests, token,
                                                arrived->request, at)) {
            admission::offer(daemon.admission, token, arrived->request,
                             manifest, at);
        }
    }
    for (const auto& one : admission::take_admitted(daemon.admission, at)) {
        requests::begin(daemon.requests, daemon.targets, one.token, one.request,
                        one.manifest, at);
    }
    requests::advance(daemon.requests, daemon.targets, at);
}

void simulation::apply_effects(std::size_t in)
{
    while (!effects_.empty()) {
        const auto effects = std::exchange(effects_, {});
        for (const auto& what : effects) {
            apply_effect(in, what);
        }
    }
}

void simulation::apply_effect(std::size_t in, const effect& what)
{
    auto& daemon = daemons[in];
    if (const auto* opened = std::get_if<open_connection>(&what)) {
        reduce(in, connection_opened{opened->connection, {}});
    } else if (const auto* probed = std::get_if<probe_connection>(&what)) {
        reduce(in, probe_answered{probed->connection, {}});
    } else if (const auto* raised = std::get_if<raise_event>(&what)) {
        reduce(in, raised->raised);
    } else if (const auto* sent = std::get_if<send_to_leaf>(&what)) {
        messages.push_back({in, daemon.incarnation, *sent, false, false});
        if (sent->request.time_left <= duration{0}) {
            violations.push_back("request sent past its deadline: " +
                                 sent->request.request_id);
        }
    } else if (std::holds_alternative<cancel_at_leaf>(what)) {
        ++cancelled;
    } else if (const auto* line = std::get_if<write_log>(&what)) {
        log.push_back(line->record);
        check_fields(line->record);
    } else if (const auto* reply = std::get_if<answer_caller>(&what)) {
        auto at = context_of(daemon);
        admission::finished(daemon.admission, reply->token, reply->answer, at);
        auto& attempt = caller_attempts[raw(reply->token)];
        const bool misdelivered =
            attempt.daemon != in || attempt.incarnation != daemon.incarnation;
        if (misdelivered || (!attempt.left && !attempt.answers.empty())) {
            violations.push_back("misdelivered or second answer to " +
                                 attempt.request.id);
        }
        attempt.answers.push_back(reply->answer);
    }
}

// Checks that a log line has exactly the fields of its event definition.
void simulation::check_fields(const log_record& line)
{
    std::string fields;
    for (const auto& one : line.fields) {
        fields += (fields.empty() ? "" : " ") + std::string(one.key);
    }
    if (fields != line.definition->fields) {
        violations.push_back("log line differs from its event definition: " +
                             to_string(line));
    }
}

void simulation::run(duration span)
{
    const auto end = now + span;
    while (now < end) {
        auto next = end;
        for (const auto& one : daemons) {
            if (!one.suspended) {
                next = std::min({next, targets::next_wakeup(one.targets),
                                 requests::next_wakeup(one.requests),
                                 admission::next_wakeup(one.admission)});
            }
        }
        now = std::max(next, now);
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            if (!daemons[i].suspended) {
                deliver(i, tick{});
            }
        }
        if (next < end && next <= now) {
            now += milliseconds{1};
        }
    }
}

void simulation::suspend(std::size_t which)
{
    daemons[which].suspended = true;
}

void simulation::resume(std::size_t which)
{
    auto& resumed = daemons[which];
    resumed.suspended = false;
    const auto inbox = std::exchange(resumed.inbox, {});
    for (const auto& what : inbox) {
        deliver(which, what);
    }
    deliver(which, tick{});
}

void simulation::restart(std::size_t which)
{
    auto& restarted = daemons[which];
    for (auto& sent : messages) {
        sent.ended = sent.ended || sent.daemon == which;
    }
    ++restarted.incarnation;
    start(restarted);
    deliver(which, manifest_changed{manifest});
}

void simulation::change_manifest(std::uint32_t shards,
                                 manifest::snapshot_id snapshot)
{
    change_manifest(make_manifest(daemons.size(), shards, snapshot));
}

void simulation::change_manifest(manifest::manifest_pointer next)
{
    manifest = std::move(next);
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        deliver(i, manifest_changed{manifest});
    }
}

leaf_answer simulation::answer_to(const message& sent) const
{
    leaf_answer answer;
    answer.status = leaf_status::answered;
    answer.run = execution::ran;
    answer.request_id = sent.what.request.request_id;
    answer.snapshot = sent.what.request.snapshot;
    answer.shard = sent.what.request.shard;
    answer.body = "done " + *sent.what.request.body;
    return answer;
}

void simulation::execute(message& sent, bool answer)
{
    if (sent.consumed) {
        return;
    }
    sent.consumed = true;
    ++executions[*sent.what.request.body];
    if (answer && !sent.ended) {
        deliver_answer(sent, answer_to(sent));
        sent.ended = true;
    }
}

void simulation::refuse(message& sent, leaf_status status)
{
    if (sent.consumed || sent.ended) {
        return;
    }
    sent.consumed = true;
    sent.ended = true;
    auto answer = answer_to(sent);
    answer.status = status;
    answer.run = execution::not_run;
    answer.body.clear();
    deliver_answer(sent, std::move(answer));
}

void simulation::lose_connection(message& sent)
{
    if (std::exchange(sent.ended, true)) {
        return;
    }
    const error cause{make_error_code(errc::closed), "send", "leaf", ""};
    deliver(sent.daemon,
            leaf_failed{sent.what.connection, sent.what.attempt, true, cause});
}

void simulation::fail_before_sending(message& sent)
{
    if (sent.consumed || sent.ended) {
        return;
    }
    sent.consumed = true;
    sent.ended = true;
    const error cause{make_error_code(errc::closed), "send", "leaf", ""};
    deliver(sent.daemon,
            leaf_failed{sent.what.connection, sent.what.attempt, false, cause});
}

void simulation::deliver_answer(const message& on, leaf_answer answer)
{
    if (on.incarnation != daemons[on.daemon].incarnation) {
        return;
    }
    deliver(on.daemon, leaf_answered{on.what.connection, on.what.attempt,
                                     std::move(answer)});
}

const caller_answer& simulation::answer_of(std::uint64_t token) const
{
    static const caller_answer none{answer_status::failed, execution::unknown,
                                    "no answer"};
    const auto& answers = caller_attempts.at(token).answers;
    return answers.empty() ? none : answers.front();
}

std::size_t simulation::count_logged(std::string_view name) const
{
    return std::count_if(log.begin(), log.end(), [&](const auto& record) {
        return record.definition->name == name;
    });
}

} // namespace bulrushspring::requests_test
