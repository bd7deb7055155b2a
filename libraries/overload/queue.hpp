#ifndef BULRUSHSPRING_LIBRARIES_OVERLOAD_QUEUE_HPP
#define BULRUSHSPRING_LIBRARIES_OVERLOAD_QUEUE_HPP

#include "base/identifiers.hpp"
#include "base/time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

// The requests that wait for a leaf of one service: in which order they take
// leafs, which of them are rejected, and when the rejected callers return.
namespace bulrushspring::overload
{

struct options {
    // A waiting request gains a level of priority each time that it has waited
    // this share of its objective.
    double level_share = 0.25;
    // A caller that has spent this share of its objective before its request
    // arrives has been rejected before. Callers that ask for the list of
    // daemons first spend up to half of a short objective.
    double returned_share = 0.5;
    // The requests of rejected callers come first only while their caller has
    // at most this many times the mean number of waiting requests.
    double max_returned_load = 2.0;
    // A request waits only if its expected turn leaves this share of its
    // objective as a margin: the measured throughput varies by some hundredths,
    // and a request that misses its time by little has waited for nothing.
    double margin_share = 0.1;
    duration review_interval = milliseconds{20}; // of these turns
    // Callers return at Retry-After if it is at most this share of the time
    // that is left to them.
    double honoured_share = 1.0 / 3.0;
    duration half_life = milliseconds{500}; // of the measured throughput
    // Nothing is rejected by the throughput before so many requests have ended
    // while others waited.
    std::uint32_t min_ended = 8;
    // A throughput measured longer ago is discarded.
    duration max_age = seconds{10};
};

// Levels of priority; a route's lower ones count as the last of these.
inline constexpr std::uint32_t max_level = 15;

// A request that finds no leaf, or finds others waiting.
struct arrival {
    caller_token token{};
    std::uint32_t priority = 0; // of its route, 0 is the most urgent
    std::string caller;         // identifies the caller; may be empty
    duration objective{0};
    duration spent{0};         // by the caller before it arrived
    duration usual_latency{0}; // of an attempt; 0: not known
    boot_time answer_by{};     // when its answer must be ready
    boot_time deadline{};      // of its caller, who may return until then
    // An attempt may have run: it is never rejected by the queue.
    bool may_have_run = false;
};

// The position of a request: the smallest is the first.
struct position {
    std::uint32_t level = 0; // of priority
    bool first_call = true;  // not of a caller that has been rejected before
    double turn = 0.0;       // start tag of start-time fair queueing by callers
    std::uint64_t sequence = 0; // of arrival
    auto operator<=>(const position&) const = default;
};

struct entry {
    position place;
    arrival request;
    boot_time promoted_at{}; // gains a level; boot_time::max() on level 0
};

// The fair share of one caller.
struct caller_share {
    double finish = 0.0; // finish tag of its last request
    std::size_t waiting = 0;
};

// Requests that ended while others waited, both exponentially decayed.
struct throughput {
    double ended = 0.0;
    double waited_s = 0.0;      // time in which requests waited
    std::uint32_t observed = 0; // ended, not decayed
    boot_time updated_at{};
};

struct queue {
    std::unordered_map<std::uint64_t, entry> entries; // by token
    // Sorted; the first request is at the back, where it is removed in constant
    // time.
    std::vector<std::pair<position, caller_token>> order;
    std::set<std::pair<boot_time, std::uint64_t>> promotions; // by token
    std::unordered_map<std::string, caller_share> callers;
    std::size_t callers_waiting = 0;
    double virtual_time = 0.0; // start tag of the last request that took a leaf
    std::uint64_t arrivals = 0;
    throughput measured;
    boot_time review_at{};      // next, see displaced
    boot_time next_return_at{}; // next free place of the schedule of returns
    // The same for callers that will not wait until then.
    boot_time next_early_return_at{};
};

enum class verdict : std::uint8_t { wait, reject };

struct decision {
    verdict what = verdict::wait;
    std::size_t ahead = 0;   // requests that are expected to go first
    duration expected{0};    // until its turn; 0: not known
    boot_time latest_turn{}; // later, it can't be answered in time
};

// Decides whether a request, which does not wait yet, waits or is rejected at
// once, and adds it to the queue if it waits. It is rejected if its expected
// turn plus the usual latency and the margin is later than answer_by. The first
// request of a queue is not rejected for the throughput, so that a throughput
// that has become too low is measured again.
decision arrive(queue&, const options&, arrival, boot_time now);

// The number of waiting requests.
std::size_t size(const queue&);
bool contains(const queue&, caller_token);

// The request at this index of the order, 0 being the first; none if fewer
// wait. Requests gain the priority that is due first.
std::optional<caller_token> at(queue&, const options&, std::size_t index,
                               boot_time now);

// Removes a request that has taken a leaf. Does nothing if it does not wait.
void take(queue&, const options&, caller_token, boot_time now);

// Removes a request that has ended without a leaf, whose caller is not charged
// for it. Does nothing if it does not wait.
void leave(queue&, const options&, caller_token, boot_time now);

// The time from which a waiting request can no longer be answered in time;
// boot_time::max() if it does not wait or may have run.
boot_time latest_turn(const queue&, caller_token);

// The waiting requests whose expected turn is too late because requests that
// arrived later go first or the throughput has decreased. None if this was
// reviewed less than review_interval ago; requests that still gain priority are
// not among them.
std::vector<caller_token> displaced(queue&, const options&, boot_time now);

// The number of waiting requests of a caller.
std::size_t size_of(const queue&, const std::string& caller);

// Gives a rejected caller the next place in the schedule of returns, which
// advances by 1/throughput and begins at the end of the present queue. If the
// caller will not wait until then, it gets the next place of another schedule
// in the time that it waits: its request goes before those of new callers then.
// Without a measured throughput it is now + `fallback`.
boot_time return_place(queue&, const options&, const arrival&,
                       duration fallback, boot_time now);

// Counts a request of the service that has run to its end.
void count_end(queue&, const options&, boot_time now);

// Requests a second; none if too few have ended while others waited.
std::optional<double> throughput_of(const queue&, const options&);

} // namespace bulrushspring::overload

#endif
