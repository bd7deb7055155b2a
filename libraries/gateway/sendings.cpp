#include "libraries/gateway/sendings.hpp"

#include "libraries/gateway/events.hpp"
#include "libraries/gateway/leaf_evidence.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

std::uint32_t part_number(const exchange& of, const request_part& part)
{
    return static_cast<std::uint32_t>(&part - of.parts.data());
}

std::size_t leafs_used(const request_part& part)
{
    return static_cast<std::size_t>(std::count_if(
        part.tried.begin(), part.tried.end(), [](const tried_leaf& each) {
            return each.fate != sending_fate::misdirected;
        }));
}

bool leaf_limit_reached(const exchange& of, const request_part& part)
{
    return leafs_used(part) >= std::max(of.route->most_leafs, 1U);
}

// A part that only idempotent requests may be sent again for, unless nothing
// has run.
bool may_send_again(const exchange& of, const request_part& part)
{
    return of.route->idempotent ||
           std::all_of(part.tried.begin(), part.tried.end(),
                       [](const tried_leaf& each) {
                           return each.fate == sending_fate::refused ||
                                  each.fate == sending_fate::misdirected;
                       });
}

std::vector<std::string> names_of(const request_part& part)
{
    std::vector<std::string> names;
    for (const auto& each : part.tried) {
        names.push_back(each.leaf);
    }
    return names;
}

// Where a part goes next: to a leaf that has not had it, or, with the limit
// on leafs reached, back to one that refused it.
leaf_state* next_leaf(exchange_step& step, const exchange& of,
                      const request_part& part)
{
    const auto now = step.context.now;
    if (!leaf_limit_reached(of, part)) {
        const auto tried = names_of(part);
        auto* fresh = choose(step.pool, part.service, tried, now);
        if (fresh != nullptr) {
            return fresh;
        }
    }
    const auto found = step.pool.by_service.find(part.service);
    if (found == step.pool.by_service.end() ||
        now - step.self.settings.retry_pause < part.refused_at) {
        return nullptr;
    }
    std::vector<std::string> excluded;
    for (const auto& id : found->second) {
        const bool refused = std::any_of(
            part.tried.begin(), part.tried.end(), [&](const auto& each) {
                return each.leaf == id && each.fate == sending_fate::refused;
            });
        if (!refused) {
            excluded.push_back(id);
        }
    }
    return choose(step.pool, part.service, excluded, now);
}

bool pay_if_extra(exchange_step& step, const request_part& part)
{
    if (!part.arrived) {
        return true;
    }
    return limits::spend(step.self.budgets[part.service],
                         step.self.settings.budget, step.context.now);
}

// Starts a sending to the leaf: at once on an idle connection, or as soon as
// a new one opens. False if the leaf has no connection to give.
bool start_sending(exchange_step& step, exchange& of, request_part& part,
                   leaf_state& leaf)
{
    const auto id = step.context.shared.new_identifier<sending_id>();
    const auto connection =
        acquire(step.pool, leaf, id, of.route->idempotent, step.context);
    if (!connection) {
        return false;
    }
    auto& made = step.self.sendings[raw(id)];
    made.exchange = of.token;
    made.part = part_number(of, part);
    made.leaf = leaf.published.id;
    made.connection = *connection;
    made.began = step.context.now;
    made.expected = of.expected;
    made.route = of.route->name;
    made.give_up_at = of.deadline;
    made.paid = part.arrived;
    ++leaf.in_flight;
    part.outstanding.push_back(id);
    const auto known =
        std::find_if(part.tried.begin(), part.tried.end(),
                     [&](const auto& each) { return each.leaf == made.leaf; });
    if (known == part.tried.end()) {
        part.tried.push_back({made.leaf, sending_fate::pending});
    } else {
        known->fate = sending_fate::pending;
    }
    if (step.pool.connections.at(raw(*connection)).open) {
        transmit(step, of, part, made);
    }
    return true;
}

void log_second_sending(exchange_step& step, const exchange& of,
                        const request_part& part, const leaf_state& leaf,
                        std::string_view why)
{
    auto& budget = step.self.budgets[part.service];
    step.context.log(make_record(
        second_sending, field("request", of.request->id),
        field("route", of.route->name), field("service", part.service),
        field("why", why), field("leaf", leaf.published.id),
        field("after_ms", whole_milliseconds(step.context.now - of.began)),
        field("budget_left",
              static_cast<std::int64_t>(limits::left(
                  budget, step.self.settings.budget, step.context.now)))));
}

void fail_part(exchange& of, request_part& part)
{
    part.phase = part_phase::failed;
    ++of.failed;
}

// Looks again later, or gives the part up where no later look can help.
void wait_or_fail(exchange_step& step, exchange& of, request_part& part)
{
    const bool refused_somewhere =
        std::any_of(part.tried.begin(), part.tried.end(), [](const auto& each) {
            return each.fate == sending_fate::refused;
        });
    if (leaf_limit_reached(of, part) && !refused_somewhere) {
        fail_part(of, part);
        return;
    }
    part.act_at = step.context.now + step.self.settings.retry_pause;
}

void send_part(exchange_step& step, exchange& of, request_part& part,
               std::string_view why)
{
    if (!may_send_again(of, part)) {
        fail_part(of, part);
        return;
    }
    auto* leaf = next_leaf(step, of, part);
    if (leaf == nullptr) {
        wait_or_fail(step, of, part);
        return;
    }
    if (!pay_if_extra(step, part)) {
        step.context.log(make_record(budget_spent,
                                     field("request", of.request->id),
                                     field("service", part.service)));
        fail_part(of, part);
        return;
    }
    const bool again = part.arrived;
    if (!start_sending(step, of, part, *leaf)) {
        wait_or_fail(step, of, part);
        return;
    }
    part.act_at = step.context.now + of.hedge_delay;
    if (again) {
        step.context.count(metrics::counter::leaf_retries);
        log_second_sending(step, of, part, *leaf, why);
    }
}

// A second leaf is asked while the first one is silent.
void hedge_part(exchange_step& step, exchange& of, request_part& part)
{
    const auto now = step.context.now;
    const auto& first = step.self.sendings.at(raw(part.outstanding.front()));
    if (auto* silent = find_leaf(step.pool, first.leaf)) {
        avoid(*silent, now + step.pool.settings.silence_penalty);
        ++silent->silences;
    }
    part.act_at = boot_time::max();
    if (!of.route->idempotent || leaf_limit_reached(of, part)) {
        return;
    }
    const auto tried = names_of(part);
    auto* leaf = choose(step.pool, part.service, tried, now);
    if (leaf == nullptr || !pay_if_extra(step, part)) {
        part.act_at = now + step.self.settings.retry_pause;
        return;
    }
    if (start_sending(step, of, part, *leaf)) {
        ++of.hedges;
        step.context.count(metrics::counter::leaf_hedges);
        log_second_sending(step, of, part, *leaf, "silent");
    }
}

// Leaves a sending that was not transmitted: its connection goes on opening
// for others.
void unsend(exchange_step& step, request_part& part, sending_id id)
{
    const auto found = step.self.sendings.find(raw(id));
    const auto connection =
        step.pool.connections.find(raw(found->second.connection));
    if (connection != step.pool.connections.end()) {
        connection->second.sending.reset();
    }
    if (auto* leaf = find_leaf(step.pool, found->second.leaf)) {
        --leaf->in_flight;
    }
    forget_unsent(step, part, id, found->second);
    step.self.sendings.erase(found);
}

// Moves a sending from a connection that does not open in time.
void move_stuck(exchange_step& step, request_part& part)
{
    const auto outstanding = part.outstanding;
    for (const auto id : outstanding) {
        const auto& each = step.self.sendings.at(raw(id));
        if (each.sent || step.context.now - each.began <
                             step.self.settings.connect_patience) {
            continue;
        }
        if (auto* leaf = find_leaf(step.pool, each.leaf)) {
            avoid(*leaf, step.context.now + step.pool.settings.silence_penalty);
        }
        unsend(step, part, id);
    }
}

} // namespace

void transmit(exchange_step& step, exchange& of, request_part& part,
              sending& what)
{
    const auto now = step.context.now;
    what.sent = true;
    what.sent_at = now;
    what.give_up_at = of.deadline + step.self.settings.overdue_grace;
    part.arrived = true;
    ++of.sendings;
    step.context.count(metrics::counter::leaf_requests);
    step.context.emit(send_to_leaf{what.connection, of.request, what.leaf,
                                   of.answer_by - now});
}

bool covers_enough(const exchange& of)
{
    return of.covered > 0 && static_cast<double>(of.covered) + 1e-9 >=
                                 of.route->minimum_coverage *
                                     static_cast<double>(of.parts.size());
}

void act_on_part(exchange_step& step, exchange& of, request_part& part)
{
    move_stuck(step, part);
    if (part.outstanding.empty()) {
        if (step.context.now >= part.act_at) {
            send_part(step, of, part, "failed");
        }
    } else if (part.outstanding.size() == 1 &&
               step.context.now >= part.act_at) {
        if (step.self.sendings.at(raw(part.outstanding.front())).sent) {
            hedge_part(step, of, part);
        } else {
            part.act_at =
                step.context.now + step.self.settings.connect_patience;
        }
    }
}

void withdraw_part(exchange_step& step, exchange& of, request_part& part,
                   bool caller_left)
{
    const auto outstanding = part.outstanding;
    for (const auto id : outstanding) {
        auto& each = step.self.sendings.at(raw(id));
        if (!each.sent) {
            unsend(step, part, id);
            continue;
        }
        each.wanted = false;
        if (caller_left && of.route->idempotent) {
            each.give_up_at = step.context.now + step.self.settings.left_grace;
        }
    }
    part.outstanding.clear();
}

void withdraw(exchange_step& step, exchange& of, bool caller_left)
{
    for (auto& part : of.parts) {
        withdraw_part(step, of, part, caller_left);
    }
}

void forget_unsent(exchange_step& step, request_part& part, sending_id id,
                   const sending& unsent)
{
    std::erase(part.outstanding, id);
    std::erase_if(part.tried, [&](const auto& each) {
        return each.leaf == unsent.leaf && each.fate == sending_fate::pending;
    });
    if (unsent.paid) {
        limits::refund(step.self.budgets[part.service],
                       step.self.settings.budget, step.context.now);
    }
}

void note_fate(exchange_step& step, request_part& part, sending_id id,
               const sending& ended, sending_fate fate)
{
    std::erase(part.outstanding, id);
    part.act_at = std::min(part.act_at, step.context.now);
    for (auto& each : part.tried) {
        if (each.leaf == ended.leaf) {
            each.fate = fate;
        }
    }
    auto* leaf = find_leaf(step.pool, ended.leaf);
    if (leaf == nullptr) {
        return;
    }
    const auto now = step.context.now;
    if (fate == sending_fate::refused) {
        part.refused_at = now;
        avoid(*leaf, now + step.pool.settings.refusal_penalty);
        step.context.count(metrics::counter::leaf_shed);
    } else if (fate == sending_fate::misdirected) {
        leaf->misdirected = true;
    } else if (fate == sending_fate::failed) {
        avoid(*leaf, now + step.pool.settings.failure_penalty);
        step.context.count(metrics::counter::leaf_failures);
    }
}

} // namespace bulrushspring::gateway
