#include "libraries/admission/admission.hpp"

#include "libraries/admission/events.hpp"
#include "libraries/admission/refusal.hpp"

#include <algorithm>
#include <limits>

namespace bulrushspring::admission
{
namespace
{

// Number of complete answers per measurement of a service's baseline time.
constexpr std::uint32_t window_size = 20;

// Weight of the newest sample in the moving average of a service's time.
constexpr double smoothing_factor = 0.1;

// Minimum cost of a request in seconds, also used until the service has been
// measured.
constexpr double min_cost = 0.0001;

// A query indicates congestion if more than this share of its shards is missing
// for lack of capacity. A smaller share points to a few bad shards.
constexpr double congested_shard_share = 0.25;

std::uint32_t find_or_add_pool(state& self, const std::string& name)
{
    const auto found = self.pool_index.find(name);
    if (found != self.pool_index.end()) {
        return found->second;
    }
    const auto index = static_cast<std::uint32_t>(self.pools.size());
    self.pools.push_back({});
    self.pools.back().name = name;
    self.pools.back().limit.limit = self.settings.limits.initial_limit;
    self.pool_index.emplace(name, index);
    return index;
}

void update_from_manifest(service_state& service,
                          const manifest::service& described)
{
    service.name = described.name;
    service.weight = std::max<double>(1.0, described.weight);
    service.deadline = described.deadline;
}

// Returns the index of a service, which is added on its first request.
std::uint32_t find_or_add_service(state& self,
                                  const manifest::service& described)
{
    const auto found = self.service_index.find(described.name);
    if (found != self.service_index.end()) {
        return found->second;
    }
    const auto index = static_cast<std::uint32_t>(self.services.size());
    self.services.push_back({});
    update_from_manifest(self.services.back(), described);
    self.services.back().pool = find_or_add_pool(self, described.pool);
    self.service_index.emplace(described.name, index);
    return index;
}

duration time_left(const caller_request& request,
                   const manifest::service& described)
{
    const duration max = described.deadline;
    return request.time_left > duration{0} ? std::min(request.time_left, max)
                                           : max;
}

// Returns the reason why a request can't be queued, or an empty text if it can.
std::string_view refusal_reason(const state& self, const service_state& service,
                                const caller_request& request, duration left,
                                duration wait)
{
    const auto& settings = self.settings;
    const auto bytes = request.body ? request.body->size() : 0;
    if (self.waiting.size() >= settings.max_queued ||
        service.queue.queued >= settings.max_queued_per_service ||
        queued_of(service.queue, request.caller) >=
            settings.max_queued_per_caller ||
        self.queued_bytes + bytes > settings.max_queued_bytes) {
        return reason_queue_full;
    }
    // With no request in flight the measured time would never be updated, so
    // that one request is admitted regardless of it.
    const bool measured = service.in_flight > 0;
    const auto needed = measured ? needed_time(service) : duration{0};
    if (needed > left) {
        return reason_deadline;
    }
    return wait + needed > left ? reason_overloaded : std::string_view{};
}

// Refuses a request on arrival.
void refuse_on_arrival(caller_token token, const caller_request& request,
                       std::string_view reason, duration wait, duration left,
                       duration retry_delay, context& context)
{
    context.emit(write_log{make_record(
        request_refused, field("service", request.service),
        field("caller", request.caller), field("request", request.id),
        field("reason", reason), field("wait_ms", to_milliseconds(wait)),
        field("left_ms", to_milliseconds(left)),
        field("retry_after_ms", to_milliseconds(retry_delay)))});
    context.emit(
        answer_caller{token, make_refusal(request, reason, retry_delay)});
}

void enqueue(state& self, caller_token token, waiting_request&& entry)
{
    auto& service = self.services[entry.service];
    auto& pool = self.pools[service.pool];
    if (service.queue.queued == 0) {
        add(pool.turns, service.share, entry.service);
    }
    entry.place = push(service.queue, entry.request.caller, token);
    self.queued_bytes += entry.request.body ? entry.request.body->size() : 0;
    self.expiry.emplace(entry.latest_start, token);
    self.waiting.emplace(token, std::move(entry));
}

// Removes a request from all records except the queue itself.
waiting_request extract_waiting(
    state& self,
    std::unordered_map<caller_token, waiting_request>::iterator found)
{
    auto entry = std::move(found->second);
    self.expiry.erase({entry.latest_start, found->first});
    self.queued_bytes -= entry.request.body ? entry.request.body->size() : 0;
    self.waiting.erase(found);
    return entry;
}

waiting_request remove_waiting(
    state& self,
    std::unordered_map<caller_token, waiting_request>::iterator found)
{
    auto entry = extract_waiting(self, found);
    auto& service = self.services[entry.service];
    remove(service.queue, entry.place);
    if (service.queue.queued == 0) {
        remove(self.pools[service.pool].turns, service.share, entry.service);
    }
    return entry;
}

void refuse_queued(state& self, caller_token token, context& context)
{
    const auto entry = remove_waiting(self, self.waiting.find(token));
    const auto& service = self.services[entry.service];
    const auto retry_delay = retry_after(self, service);
    context.emit(write_log{make_record(
        request_expired, field("service", service.name),
        field("caller", entry.request.caller),
        field("request", entry.request.id),
        field("waited_ms", to_milliseconds(context.now - entry.queued_at)),
        field("retry_after_ms", to_milliseconds(retry_delay)))});
    context.emit(answer_caller{
        token, make_refusal(entry.request, reason_overloaded, retry_delay)});
}

void refuse_expired(state& self, context& context)
{
    while (!self.expiry.empty() && self.expiry.begin()->first <= context.now) {
        refuse_queued(self, self.expiry.begin()->second, context);
    }
}

// Admits the next request of a pool in fair-queueing order.
admitted admit_next(state& self, pool_state& pool, context& context)
{
    const auto index = pool.turns.backlogged.begin()->second;
    auto& service = self.services[index];
    const double cost = std::max(min_cost, service.mean_time);
    charge(pool.turns, service.share, index, cost / service.weight);
    const auto token = pop(service.queue);
    if (service.queue.queued == 0) {
        remove(pool.turns, service.share, index);
    }
    auto entry = extract_waiting(self, self.waiting.find(token));
    acquire(pool.limit);
    ++service.in_flight;
    const bool idempotent =
        entry.request.kind != manifest::service_kind::request;
    self.running.emplace(token,
                         running_request{index, idempotent, context.now});
    entry.request.time_left = entry.deadline - context.now;
    return {token, std::move(entry.request), std::move(entry.manifest)};
}

bool lacks_capacity(missing_reason reason)
{
    return reason == missing_reason::shed ||
           reason == missing_reason::timed_out ||
           reason == missing_reason::no_connection;
}

// Whether an answer indicates that the pool as a whole is overloaded.
bool indicates_congestion(const caller_answer& answer)
{
    if (answer.shards > 0) {
        const auto short_of_capacity = std::count_if(
            answer.missing.begin(), answer.missing.end(),
            [](const auto& shard) { return lacks_capacity(shard.reason); });
        return static_cast<double>(short_of_capacity) >
               congested_shard_share * answer.shards;
    }
    return answer.status != answer_status::answered &&
           (answer.reason == to_string(missing_reason::shed) ||
            answer.reason == to_string(missing_reason::timed_out) ||
            answer.reason == to_string(missing_reason::no_connection));
}

// Updates the measured times of a service. Returns the ratio of this request's
// time to the baseline time; 0 if the answer allows no comparison.
double record_latency(service_state& service, const caller_answer& answer,
                      duration elapsed)
{
    if (answer.status == answer_status::refused) {
        return 0.0;
    }
    const double time = std::chrono::duration<double>(elapsed).count();
    service.mean_time =
        service.mean_time > 0.0
            ? service.mean_time + (time - service.mean_time) * smoothing_factor
            : time;
    if (answer.status != answer_status::answered) {
        return 0.0;
    }
    service.window_sum += time;
    ++service.window_samples;
    if (service.window_samples == window_size) {
        service.window_mean = service.window_sum / window_size;
        service.baseline_time =
            service.baseline_time > 0.0
                ? std::min(service.baseline_time, service.window_mean)
                : service.window_mean;
        service.window_sum = 0.0;
        service.window_samples = 0;
    }
    return service.baseline_time > 0.0 ? time / service.baseline_time : 0.0;
}

void raise_baselines(state& self, std::uint32_t pool, context& context)
{
    for (auto& service : self.services) {
        if (service.pool != pool ||
            service.window_mean <= service.baseline_time) {
            continue;
        }
        service.baseline_time = service.window_mean;
        context.emit(write_log{
            make_record(baseline_moved, field("pool", self.pools[pool].name),
                        field("service", service.name),
                        field("latency_ms", service.baseline_time * 1000.0))});
    }
}

void log_limit_change(state& self, std::uint32_t pool,
                      const limit_decision& decision, context& context)
{
    const auto& changed = self.pools[pool];
    switch (decision.change) {
    case limit_change::none:
        break;
    case limit_change::raised:
        context.emit(
            write_log{make_record(limit_raised, field("pool", changed.name),
                                  field("limit", changed.limit.limit))});
        break;
    case limit_change::lowered:
        context.emit(write_log{
            make_record(limit_lowered, field("pool", changed.name),
                        field("limit", changed.limit.limit),
                        field("congested", decision.congested_share),
                        field("latency_ratio", decision.latency_ratio))});
        break;
    case limit_change::baseline_raised:
        raise_baselines(self, pool, context);
        break;
    }
}

} // namespace

state make_state(const options& settings, std::uint64_t seed)
{
    state self;
    self.settings = settings;
    self.random.seed(seed);
    return self;
}

void offer(state& self, caller_token token, caller_request request,
           manifest::manifest_pointer manifest, context& context)
{
    const auto described = manifest->services.find(request.service);
    if (described == manifest->services.end()) {
        refuse_on_arrival(token, request, reason_no_service, {},
                          request.time_left, {}, context);
        return;
    }
    const auto index = find_or_add_service(self, described->second);
    auto& service = self.services[index];
    const auto left = time_left(request, described->second);
    const auto wait = expected_wait(self, service, request.caller);
    const auto reason = refusal_reason(self, service, request, left, wait);
    if (!reason.empty()) {
        refuse_on_arrival(token, request, reason, wait, left,
                          retry_after(self, service), context);
        return;
    }
    const bool measured = service.in_flight > 0;
    const auto needed = measured ? needed_time(service) : duration{0};
    const auto deadline = context.now + left;
    enqueue(self, token,
            {std::move(request),
             std::move(manifest),
             index,
             context.now,
             deadline,
             deadline - needed,
             {}});
}

std::vector<admitted> take_admitted(state& self, context& context)
{
    refuse_expired(self, context);
    std::vector<admitted> result;
    for (auto& pool : self.pools) {
        while (has_room(pool.limit) && !pool.turns.backlogged.empty()) {
            result.push_back(admit_next(self, pool, context));
        }
    }
    return result;
}

void finished(state& self, caller_token token, const caller_answer& answer,
              context& context)
{
    const auto found = self.running.find(token);
    if (found == self.running.end()) {
        return;
    }
    const auto ended = found->second;
    self.running.erase(found);
    auto& service = self.services[ended.service];
    auto& pool = self.pools[service.pool];
    --service.in_flight;
    release(pool.limit);
    const auto ratio =
        record_latency(service, answer, context.now - ended.admitted_at);
    const limit_sample sample{indicates_congestion(answer), ratio};
    const auto decision = add_sample(pool.limit, self.settings.limits, sample);
    log_limit_change(self, service.pool, decision, context);
}

void reduce(state& self, const tick&, context& context)
{
    refuse_expired(self, context);
}

void reduce(state& self, const caller_disconnected& event, context&)
{
    const auto queued = self.waiting.find(event.token);
    if (queued != self.waiting.end()) {
        remove_waiting(self, queued);
        return;
    }
    const auto running = self.running.find(event.token);
    if (running == self.running.end() || !running->second.idempotent) {
        return;
    }
    auto& service = self.services[running->second.service];
    --service.in_flight;
    release(self.pools[service.pool].limit);
    self.running.erase(running);
}

void reduce(state& self, const manifest_changed& event, context&)
{
    for (auto& service : self.services) {
        const auto found = event.manifest->services.find(service.name);
        if (found != event.manifest->services.end()) {
            update_from_manifest(service, found->second);
        }
    }
}

boot_time next_wakeup(const state& self)
{
    return self.expiry.empty() ? boot_time::max() : self.expiry.begin()->first;
}

double limit_of(const state& self, std::string_view pool)
{
    const auto found = self.pool_index.find(pool);
    return found == self.pool_index.end()
               ? self.settings.limits.initial_limit
               : self.pools[found->second].limit.limit;
}

} // namespace bulrushspring::admission
