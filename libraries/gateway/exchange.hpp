#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_EXCHANGE_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_EXCHANGE_HPP

#include "libraries/gateway/caller_times.hpp"
#include "libraries/gateway/leaf_pool.hpp"
#include "libraries/limits/latency_histogram.hpp"
#include "libraries/limits/window_budget.hpp"
#include "libraries/overload/queue.hpp"
#include "libraries/poison/trials.hpp"

#include <queue>
#include <set>

// Exchanges: callers' requests in progress, each with its attempts at one
// leaf of a service or, for a query, at one leaf of each shard.
namespace bulrushspring::gateway
{

struct exchange_options {
    // Subtracted from the caller's deadline so that the answer reaches the
    // caller in time.
    duration answer_reserve = milliseconds{12};
    // Subtracted from the latency objective where the round-trip time to the
    // caller is unknown: network latency of request and answer, and scheduling
    // delay on this VM.
    duration objective_reserve = milliseconds{10};
    // Where it is known: scheduling delay and the time to merge the parts.
    duration processing_reserve = milliseconds{5};
    // A hedge is sent once the first attempt has taken longer than this
    // quantile of the route's recent latencies,
    double hedge_quantile = 0.9;
    // but no later than this share of the objective, so that the second leaf
    // still has time to answer within it.
    double max_hedge_share = 0.4;
    duration min_hedge_delay = milliseconds{3};
    // An attempt whose connection is not established within this time is
    // cancelled and made at another leaf.
    duration connect_timeout = milliseconds{25};
    // Delay before leafs are selected again after none could take a request,
    // and before a request is retried at a leaf that refused it.
    duration retry_delay = milliseconds{10};
    // Delay before a connection is replaced because the request that is to be
    // sent to its leaf once more has used it.
    duration reconnect_delay = milliseconds{30};
    // How long a query that needs every part waits, as a share of its
    // objective, until all shards can take it, before it is refused.
    double max_admission_wait = 0.25;
    // How long an abandoned attempt may remain unanswered before its
    // connection is closed: after the caller has disconnected, and after the
    // caller's deadline.
    duration caller_left_grace = milliseconds{250};
    duration deadline_grace = milliseconds{300};
    // Retry-After of a refusal: this share of the route's objective, at most
    // the maximum.
    duration max_retry_after = milliseconds{100};
    double retry_after_share = 0.2;
    // Retry-After while no leaf of a service is known, and the spread that is
    // added to a later time at random, so that refused callers don't return
    // together.
    duration unknown_retry_after = milliseconds{500};
    double retry_after_spread = 0.25;
    // Share of the budget that hedges leave to retries: a hedge makes an answer
    // faster, a retry makes it possible.
    double retry_reserve = 0.4;
    std::size_t max_exchanges = 4096; // in progress
    // A leaf whose connection ended without an answer has crashed if a new
    // connection to it fails within check_timeout, or if it is published anew
    // or removed within watch_time. Requests that it may have interrupted
    // together wait up to verdict_wait before they are sent again.
    milliseconds check_timeout{500};
    milliseconds watch_time{2000};
    milliseconds verdict_wait{100};
    // Limits on the leafs watched at a time, and on the requests of one.
    std::size_t max_watched_leafs = 256;
    std::size_t max_interrupted = 64;
    poison::trial_options trials;
    limits::window_limits budget; // of extra attempts, for each service
    // Requests with one part that find no leaf wait in a queue of their
    // service instead of selecting again every retry_delay.
    bool queue_admission = false;
    overload::options overload; // of these queues
};

struct tried_leaf {
    std::string leaf;
    attempt_outcome outcome = attempt_outcome::pending;
};

enum class part_phase : std::uint8_t { open, covered, failed };

// The part of an exchange that one service answers: the whole request, or
// one shard's share of a query.
struct request_part {
    std::string service;
    part_phase phase = part_phase::open;
    std::vector<tried_leaf> tried;
    std::vector<attempt_id> outstanding;
    // An attempt has been transmitted; further ones are charged to the budget.
    bool attempted = false;
    bool awaits_budget = false; // has waited for it, which is logged once
    boot_time next_action_at{}; // when a hedge or a retry is due
    std::uint32_t attempts = 0; // transmitted
    boot_time ended_at = boot_time::min(); // last attempt without success
    leaf_reply reply;
};

// Whether the exchange of a suspect may make its next attempt; see
// libraries/poison/trials.hpp.
enum class trial_phase : std::uint8_t { none, wanted, permitted, refused };

struct exchange {
    caller_token token{};
    request_pointer request;
    routing::table_pointer table; // in force when the exchange started
    const routing::route* route = nullptr;
    std::vector<request_part> parts;
    // On which its request was sent; it is not sent on them again.
    std::vector<connection_id> used_connections;
    std::uint32_t covered = 0;  // parts with an answer
    std::uint32_t failed = 0;   // parts that have failed for good
    std::uint32_t attempts = 0; // transmitted, hedges included
    std::uint32_t hedges = 0;
    bool may_have_run = false;
    bool admitted = false; // its parts may be sent
    boot_time started_at{};
    // Once it has passed, a query is answered as soon as its minimum coverage
    // is reached.
    boot_time objective_deadline{};
    boot_time answer_by{}; // the exchange is finished by then in any case
    boot_time deadline{};  // of the caller
    duration spent{0};     // by the caller before it arrived; see caller_times
    bool queued = false;   // in exchanges_state::queues
    // Its place in the schedule of returns, if its queue has rejected it.
    boot_time return_at = boot_time::min();
    // Until when no leaf of one of its services accepts requests, if that is
    // too late for this exchange; boot_time::max() if no leaf is known.
    boot_time unavailable_until = boot_time::min();
    boot_time timer{}; // other entries of the timer queue are obsolete
    duration expected_latency{0}; // median of the route; 0: not known yet
    duration hedge_delay{0};
    std::optional<poison::fingerprint> fingerprint; // once it was needed
    // No further attempt is made before: a leaf that ended is being checked.
    boot_time held_until = boot_time::min();
    trial_phase trial = trial_phase::none; // of the next attempt
};

// One request that is sent to one leaf.
struct attempt {
    caller_token exchange{};
    std::uint32_t part = 0; // index in exchange::parts
    std::string leaf;
    connection_id connection{};
    bool sent = false;
    bool charged = false; // took an extra attempt from the budget
    // The leaf got less time than is left until the answer is due.
    bool deadline_shortened = false;
    bool awaited = true; // false once its exchange has abandoned it
    boot_time started_at{};
    boot_time sent_at{};
    boot_time abandon_at{}; // when its connection is closed if abandoned
    duration expected_latency{0};
    std::string route;
    request_pointer request;
    bool suspect = false; // counted in leaf_state::suspects
    bool trial = false;   // sent with the permission of its arbiter
};

// An attempt whose leaf may have crashed.
struct interrupted_attempt {
    poison::fingerprint fingerprint{};
    request_pointer request;
    caller_token exchange{};
    boot_time sent_at{};
};

// A leaf process that has ended a connection without an answer, until it is
// known whether it crashed.
struct leaf_watch {
    std::uint64_t process = 0;      // see poison::crash
    std::uint32_t incarnations = 0; // of leaf_state
    bool listed = false;
    bool checked = false; // a connection is opened that tells
    bool decided = false;
    boot_time ended_at{};
    std::vector<interrupted_attempt> interrupted;
};

// A request to an arbiter that has not been answered yet.
struct asked_trial {
    caller_token token{};
    poison::fingerprint fingerprint{};
    std::string arbiter;
};

// Latencies of a route's leafs, kept when the routing table changes.
struct route_statistics {
    limits::latency_histogram latencies;
    caller_times callers;
    std::uint64_t requests = 0; // input of choose_service for a split route
};

struct exchange_timer {
    boot_time at{};
    caller_token token{};
};
// Orders the timer queue so that the earliest timer is at its top.
struct fires_later {
    bool operator()(const exchange_timer& one,
                    const exchange_timer& other) const
    {
        return one.at > other.at;
    }
};

struct exchanges_state {
    exchange_options settings;
    std::unordered_map<std::uint64_t, exchange> exchanges; // by caller_token
    std::unordered_map<std::uint64_t, attempt> attempts;   // by attempt_id
    std::map<std::string, limits::window_budget> budgets;  // by service
    std::map<std::string, route_statistics> routes;        // by name
    std::priority_queue<exchange_timer, std::vector<exchange_timer>,
                        fires_later>
        timers;
    boot_time sweep_at{}; // next check for overdue abandoned attempts
    poison::state poison;
    std::vector<poison::fingerprint> to_share; // news for other daemons
    poison::trials trials;
    std::vector<caller_token> trials_wanted;        // to be asked for
    std::vector<poison::fingerprint> trials_unused; // to be reported
    std::map<exchange_id, asked_trial> trials_asked;
    std::map<std::string, leaf_watch> watches; // by leaf
    boot_time watches_reviewed_at{};           // the next time
    // Exchanges that wait no longer, by the end of the current step.
    std::vector<caller_token> to_resume;
    std::map<std::string, overload::queue> queues; // by service
    // Services whose queues are advanced by the end of the current step: a leaf
    // may have become free, or the first request has changed.
    std::set<std::string> queues_to_advance;
    std::optional<caller_token> turn; // the queued request that may take a leaf
};

// The state and the context that one step of the reducers works on.
struct exchange_step {
    exchanges_state& state;
    leaf_pool& pool;
    gateway::context& context;
};

// Starts an exchange for a request on a route of the table.
void begin(exchange_step&, caller_token, const request_pointer&,
           const routing::table_pointer&, const routing::route&);

void reduce(exchange_step&, const caller_disconnected&);
void reduce(exchange_step&, const leaf_connected&);
void reduce(exchange_step&, const leaf_replied&);
void reduce(exchange_step&, const leaf_disconnected&);

// Handles all timers that are due.
void run_due_timers(exchange_step&);
boot_time next_wakeup(const exchanges_state&);

// Answers the exchanges whose requests have become poison. Called once another
// daemon's report has been merged.
void finish_poison(exchange_step&);

// Advances the queues whose first requests have changed. Called once exchanges
// have been finished by finish_now.
void resume_waiting(exchange_step&);

// Finishes an exchange with the answer that its parts allow now.
void finish_now(exchange_step&, exchange&);

// Finishes the exchanges whose requests their callers can send to another
// daemon: the idempotent ones, and those that were not sent to a leaf.
void finish_repeatable(exchange_step&);

// Finishes all exchanges with a final answer, before the process stops.
void finish_all(exchange_step&);

} // namespace bulrushspring::gateway

#endif
