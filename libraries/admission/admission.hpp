#ifndef BULRUSHSPRING_LIBRARIES_ADMISSION_ADMISSION_HPP
#define BULRUSHSPRING_LIBRARIES_ADMISSION_ADMISSION_HPP

#include "base/random.hpp"
#include "libraries/admission/fair_queue.hpp"
#include "libraries/admission/pool_limit.hpp"
#include "libraries/reducer/effect.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

// Admission control: decides which requests are executed, and in which order.
// A request is queued here, before any attempt at a target, until its pool has
// capacity. It is refused on arrival if it is not expected to meet its
// deadline, and later as soon as it can no longer meet it.
namespace bulrushspring::admission
{

struct options {
    limit_options limits;
    std::size_t max_queued = 8192;             // requests, over all services
    std::size_t max_queued_per_service = 1024; // requests
    std::size_t max_queued_per_caller = 256;   // requests, per service
    std::size_t max_queued_bytes = std::size_t{32} << 20U; // of request bodies
    duration min_retry_after = milliseconds{50};
    duration max_retry_after = seconds{10};
};

// An admitted request. Its `time_left` is the time remaining on admission.
struct admitted {
    caller_token token;
    caller_request request;
    manifest::manifest_pointer manifest;
};

// A queued request.
struct waiting_request {
    caller_request request;
    manifest::manifest_pointer manifest;
    std::uint32_t service = 0; // index
    boot_time queued_at;
    boot_time deadline;
    boot_time latest_start; // it is refused if not admitted by then
    queue_place place;
};

// An admitted request that has not been answered yet.
struct running_request {
    std::uint32_t service = 0; // index
    bool idempotent = true;
    boot_time admitted_at;
};

// The queue and the measured latency of one service. The times are means in
// seconds; 0 if nothing has been measured yet.
struct service_state {
    std::string name;
    std::uint32_t pool = 0; // index
    double weight = 1.0;
    duration deadline{0};
    service_queue queue;
    service_share share;
    std::uint32_t in_flight = 0;
    double mean_time = 0.0;     // moving average, without refused requests
    double baseline_time = 0.0; // of complete answers without overload
    double window_sum = 0.0;    // of complete answers
    std::uint32_t window_samples = 0;
    double window_mean = 0.0; // of the last complete window
};

struct pool_state {
    std::string name;
    pool_limit limit;
    service_turns turns;
};

struct state {
    options settings;
    random_source random;
    std::vector<pool_state> pools;
    std::vector<service_state> services;
    std::map<std::string, std::uint32_t, std::less<>> pool_index;
    std::map<std::string, std::uint32_t, std::less<>> service_index;
    std::unordered_map<caller_token, waiting_request> waiting;
    std::unordered_map<caller_token, running_request> running;
    // Queued requests by `latest_start`.
    std::set<std::pair<boot_time, caller_token>> expiry;
    std::size_t queued_bytes = 0;
};

state make_state(const options& settings, std::uint64_t seed);

// Queues a request, or refuses it immediately through answer_caller.
void offer(state& self, caller_token token, caller_request request,
           manifest::manifest_pointer manifest, context& context);

// Admits as many queued requests as the pools have capacity for and returns
// them. Each is in flight until its answer is reported to `finished`.
std::vector<admitted> take_admitted(state& self, context& context);

// Reports the final answer to a request. Tokens of requests that are not in
// flight are ignored.
void finished(state& self, caller_token token, const caller_answer& answer,
              context& context);

// Refuses queued requests that can no longer meet their deadlines.
void reduce(state& self, const tick& event, context& context);

// Removes the request of a caller that has closed its connection, whether it is
// queued or an idempotent request in flight. A non-idempotent request in flight
// continues and is counted until its answer is reported to `finished`.
void reduce(state& self, const caller_disconnected& event, context& context);

void reduce(state& self, const manifest_changed& event, context& context);

// When the next tick is due; boot_time::max() if none is.
boot_time next_wakeup(const state& self);

// The number of requests of a pool that may currently be in flight.
double limit_of(const state& self, std::string_view pool);

} // namespace bulrushspring::admission

#endif
