#include "libraries/overload/queue.hpp"

#include "libraries/limits/decay.hpp"

#include <algorithm>
#include <numbers>

namespace bulrushspring::overload
{
namespace
{

// The longest time between two places of the schedule of returns.
constexpr double max_return_interval_s = 1.0;
// Shares of callers without waiting requests are kept until there are so many.
constexpr std::size_t max_idle_callers = 1024;

double to_seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

duration from_seconds(double span)
{
    constexpr double longest = 1e6;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(span, longest)));
}

auto find_place(queue& self, const position& place)
{
    return std::lower_bound(
        self.order.begin(), self.order.end(), place,
        [](const auto& each, const position& of) { return each.first > of; });
}

std::size_t count_ahead(const queue& self, const position& place)
{
    const auto first_ahead = std::upper_bound(
        self.order.begin(), self.order.end(), place,
        [](const position& of, const auto& each) { return of > each.first; });
    return static_cast<std::size_t>(self.order.end() - first_ahead);
}

void update_measured(queue& self, const options& settings, boot_time now)
{
    auto& measured = self.measured;
    if (self.entries.empty()) {
        if (now - measured.updated_at > settings.max_age) {
            measured = {};
        }
        return;
    }
    const double kept =
        limits::decay_factor(now - measured.updated_at, settings.half_life);
    const double mean_age_s =
        to_seconds(settings.half_life) / std::numbers::ln2;
    measured.ended *= kept;
    measured.waited_s = measured.waited_s * kept + mean_age_s * (1.0 - kept);
    measured.updated_at = now;
}

duration level_time(const options& settings, const arrival& request,
                    boot_time now)
{
    const duration objective = request.objective > duration{0}
                                   ? request.objective
                                   : request.answer_by - now;
    return std::max(
        std::chrono::duration_cast<duration>(objective * settings.level_share),
        duration{1});
}

bool is_returned(const queue& self, const options& settings,
                 const arrival& request)
{
    if (request.objective <= duration{0} ||
        to_seconds(request.spent) <
            settings.returned_share * to_seconds(request.objective)) {
        return false;
    }
    // A caller with many requests has many rejected ones, too.
    const auto callers = std::max<std::size_t>(self.callers_waiting, 1);
    const double mean =
        static_cast<double>(self.entries.size()) / static_cast<double>(callers);
    return static_cast<double>(size_of(self, request.caller)) <=
           settings.max_returned_load * mean;
}

position place_of(const queue& self, const options& settings,
                  const arrival& request)
{
    const auto share = self.callers.find(request.caller);
    position place;
    place.level = std::min(request.priority, max_level);
    place.first_call = !is_returned(self, settings, request);
    place.turn = share == self.callers.end()
                     ? self.virtual_time
                     : std::max(self.virtual_time, share->second.finish);
    place.sequence = self.arrivals + 1;
    return place;
}

// Sets the requests that go before this one and the time until its turn. It
// goes before those of more urgent routes once it has gained their level.
void estimate_turn(const queue& self, const options& settings, position place,
                   duration level_wait, decision& made)
{
    const auto rate = throughput_of(self, settings);
    made.ahead = count_ahead(self, place);
    if (!rate) {
        return;
    }
    const auto turn_after = [&](std::size_t ahead) {
        return from_seconds(static_cast<double>(ahead + 1) / *rate);
    };
    made.expected = turn_after(made.ahead);
    for (duration gained = level_wait; place.level > 0; gained += level_wait) {
        --place.level;
        const auto ahead = count_ahead(self, place);
        const duration turn = std::max(gained, turn_after(ahead));
        if (turn < made.expected) {
            made.expected = turn;
            made.ahead = ahead;
        }
    }
}

void add(queue& self, const position& place, arrival request,
         duration level_wait, boot_time now)
{
    if (self.entries.empty()) {
        self.measured.updated_at = now;
    }
    auto& share = self.callers[request.caller];
    self.callers_waiting += share.waiting == 0 ? 1 : 0;
    ++share.waiting;
    share.finish = place.turn + 1.0;
    self.arrivals = place.sequence;
    const auto token = request.token;
    entry made{place, std::move(request), boot_time::max()};
    if (place.level > 0) {
        made.promoted_at = now + level_wait;
        self.promotions.emplace(made.promoted_at, raw(token));
    }
    self.order.emplace(find_place(self, place), place, token);
    self.entries.emplace(raw(token), std::move(made));
}

void promote(queue& self, const options& settings, boot_time now)
{
    while (!self.promotions.empty() && self.promotions.begin()->first <= now) {
        const auto token = self.promotions.begin()->second;
        auto& promoted = self.entries.at(token);
        self.promotions.erase(self.promotions.begin());
        self.order.erase(find_place(self, promoted.place));
        --promoted.place.level;
        self.order.emplace(find_place(self, promoted.place), promoted.place,
                           caller_token{token});
        // The objective is known or was replaced when the request arrived.
        const auto next =
            promoted.promoted_at +
            level_time(settings, promoted.request, promoted.promoted_at);
        promoted.promoted_at =
            promoted.place.level > 0 ? next : boot_time::max();
        if (promoted.place.level > 0) {
            self.promotions.emplace(next, token);
        }
    }
}

void forget_idle_callers(queue& self)
{
    if (self.entries.empty()) {
        self.callers.clear();
    } else if (self.callers.size() > self.callers_waiting + max_idle_callers) {
        std::erase_if(self.callers, [&](const auto& each) {
            return each.second.waiting == 0 &&
                   each.second.finish <= self.virtual_time;
        });
    }
}

// Removes a waiting request; returns its position, none if it does not wait.
std::optional<position> remove(queue& self, const options& settings,
                               caller_token token, double refund, boot_time now)
{
    const auto found = self.entries.find(raw(token));
    if (found == self.entries.end()) {
        return std::nullopt;
    }
    update_measured(self, settings, now);
    const auto removed = std::move(found->second);
    self.entries.erase(found);
    self.order.erase(find_place(self, removed.place));
    if (removed.place.level > 0) {
        self.promotions.erase({removed.promoted_at, raw(token)});
    }
    auto& share = self.callers.at(removed.request.caller);
    share.finish -= refund;
    --share.waiting;
    self.callers_waiting -= share.waiting == 0 ? 1 : 0;
    return removed.place;
}

} // namespace

decision arrive(queue& self, const options& settings, arrival request,
                boot_time now)
{
    update_measured(self, settings, now);
    promote(self, settings, now);
    decision made;
    made.latest_turn = request.may_have_run
                           ? boot_time::max()
                           : request.answer_by - request.usual_latency;
    const auto place = place_of(self, settings, request);
    const auto level_wait = level_time(settings, request, now);
    estimate_turn(self, settings, place, level_wait, made);
    const auto margin = std::chrono::duration_cast<duration>(
        request.objective * settings.margin_share);
    const bool expected_late = made.ahead > 0 && made.expected > duration{0} &&
                               now + made.expected + margin > made.latest_turn;
    if (!request.may_have_run && (expected_late || now >= made.latest_turn)) {
        made.what = verdict::reject;
        return made;
    }
    add(self, place, std::move(request), level_wait, now);
    return made;
}

std::size_t size(const queue& self)
{
    return self.entries.size();
}

bool contains(const queue& self, caller_token token)
{
    return self.entries.contains(raw(token));
}

std::optional<caller_token> at(queue& self, const options& settings,
                               std::size_t index, boot_time now)
{
    promote(self, settings, now);
    if (index >= self.order.size()) {
        return std::nullopt;
    }
    return self.order[self.order.size() - 1 - index].second;
}

void take(queue& self, const options& settings, caller_token token,
          boot_time now)
{
    if (const auto place = remove(self, settings, token, 0.0, now)) {
        self.virtual_time = std::max(self.virtual_time, place->turn);
        forget_idle_callers(self);
    }
}

void leave(queue& self, const options& settings, caller_token token,
           boot_time now)
{
    if (remove(self, settings, token, 1.0, now)) {
        forget_idle_callers(self);
    }
}

boot_time latest_turn(const queue& self, caller_token token)
{
    const auto found = self.entries.find(raw(token));
    if (found == self.entries.end() || found->second.request.may_have_run) {
        return boot_time::max();
    }
    const auto& request = found->second.request;
    return request.answer_by - request.usual_latency;
}

std::vector<caller_token> displaced(queue& self, const options& settings,
                                    boot_time now)
{
    std::vector<caller_token> late;
    const auto rate = throughput_of(self, settings);
    if (!rate || now < self.review_at) {
        return late;
    }
    self.review_at = now + settings.review_interval;
    promote(self, settings, now);
    double turns = 0.0;
    for (auto each = self.order.rbegin(); each != self.order.rend(); ++each) {
        turns += 1.0;
        const auto& request = self.entries.at(raw(each->second)).request;
        // The first request waits whatever the throughput, and those of other
        // levels will go before some of these.
        if (each == self.order.rbegin() || each->first.level > 0 ||
            request.may_have_run) {
            continue;
        }
        if (now + from_seconds(turns / *rate) >
            request.answer_by - request.usual_latency) {
            late.push_back(each->second);
            turns -= 1.0;
        }
    }
    return late;
}

std::size_t size_of(const queue& self, const std::string& caller)
{
    const auto found = self.callers.find(caller);
    return found == self.callers.end() ? 0 : found->second.waiting;
}

boot_time return_place(queue& self, const options& settings,
                       const arrival& request, duration fallback, boot_time now)
{
    update_measured(self, settings, now);
    const auto rate = throughput_of(self, settings);
    if (!rate) {
        return now + fallback;
    }
    const double interval_s =
        std::min(1.0 / std::max(*rate, 1e-9), max_return_interval_s);
    const auto interval = from_seconds(interval_s);
    const boot_time queue_end =
        now +
        from_seconds(interval_s * static_cast<double>(self.entries.size()));
    const boot_time place = std::max(self.next_return_at, queue_end);
    const auto honoured = std::chrono::duration_cast<duration>(
        (request.deadline - now) * settings.honoured_share);
    if (place <= now + honoured) {
        self.next_return_at = place + interval;
        return place;
    }
    boot_time early = self.next_early_return_at;
    if (early < now + honoured / 2 || early > now + honoured) {
        early = now + honoured / 2;
    }
    self.next_early_return_at = early + interval;
    return early;
}

void count_end(queue& self, const options& settings, boot_time now)
{
    if (self.entries.empty()) {
        return;
    }
    update_measured(self, settings, now);
    self.measured.ended += 1.0;
    ++self.measured.observed;
}

std::optional<double> throughput_of(const queue& self, const options& settings)
{
    const auto& measured = self.measured;
    if (measured.observed < settings.min_ended || measured.waited_s <= 0.0) {
        return std::nullopt;
    }
    return measured.ended / measured.waited_s;
}

} // namespace bulrushspring::overload
