#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_EXCHANGE_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_EXCHANGE_HPP

#include "libraries/gateway/leaf_pool.hpp"
#include "libraries/limits/latency_histogram.hpp"
#include "libraries/limits/window_budget.hpp"

#include <queue>

// Callers' requests in progress: to one leaf, or to one leaf of each shard.
namespace bulrushspring::gateway
{

struct exchange_options {
    // Kept back of a caller's deadline for the answer's way to it.
    duration answer_reserve = milliseconds{12};
    // Kept back of the latency objective: the request's way here, the
    // answer's way back and the wait for the processor.
    duration objective_reserve = milliseconds{10};
    // A second leaf is asked when the first has taken longer than this
    // quantile of the route's recent latencies,
    double hedge_quantile = 0.9;
    // and at the latest at this share of the objective, so that the second
    // leaf has the rest of it.
    double latest_hedge = 0.4;
    duration least_hedge_delay = milliseconds{3};
    // A request that waits for a connection this long goes elsewhere.
    duration connect_patience = milliseconds{25};
    // Between two looks for a leaf where none can take a request, and before
    // a leaf that refused a request is sent it again.
    duration retry_pause = milliseconds{10};
    // How long an answer that nobody waits for may still take before its
    // connection is closed: after the caller has left, and after the leaf's
    // own deadline.
    duration left_grace = milliseconds{250};
    duration overdue_grace = milliseconds{300};
    // The most that callers are told to wait after a refusal, and the share
    // of the objective that they are told where that is less.
    duration longest_retry_after = milliseconds{100};
    double retry_after_share = 0.2;
    std::size_t most_exchanges = 4096; // in progress
    limits::window_limits budget;      // of extra requests, for each service
};

// What became of the sending of a part to one leaf.
enum class sending_fate : std::uint8_t {
    pending,
    refused,     // not run: the leaf said so
    misdirected, // not run: another server has the address
    failed,      // may have run
};

struct tried_leaf {
    std::string leaf;
    sending_fate fate = sending_fate::pending;
};

enum class part_phase : std::uint8_t { open, covered, failed };

// What one service owes to a request: all of the answer, or a shard's share.
struct request_part {
    std::string service;
    part_phase phase = part_phase::open;
    std::vector<tried_leaf> tried; // leafs that it was sent to
    std::vector<sending_id> outstanding;
    bool arrived = false; // a first sending left, later ones are extra
    boot_time act_at{};   // when a second sending or a new try is due
    boot_time refused_at = boot_time::min(); // by a leaf, the last time
    leaf_reply reply;
};

struct exchange {
    caller_token token{};
    request_pointer request;
    routing::table_pointer table; // in force when it began
    const routing::route* route = nullptr;
    std::vector<request_part> parts;
    std::uint32_t covered = 0;
    std::uint32_t failed = 0;
    std::uint32_t sendings = 0;
    std::uint32_t hedges = 0;
    bool may_have_run = false;
    boot_time began{};
    boot_time objective_at{}; // latest moment to answer within the objective
    boot_time answer_by{};
    boot_time deadline{}; // of the caller
    boot_time timer{};    // the entry of it that counts in the queue
    duration expected{0}; // latency of a leaf on this route
    duration hedge_delay{0};
};

struct sending {
    caller_token exchange{};
    std::uint32_t part = 0;
    std::string leaf;
    connection_id connection{};
    bool sent = false;
    bool paid = false;  // it took one of the budget's extra requests
    bool wanted = true; // its exchange still waits for it
    boot_time began{};
    boot_time sent_at{};
    boot_time give_up_at{};
    duration expected{0};
    std::string route;
};

// What is known of a route's leaf latencies, kept over configurations.
struct route_record {
    limits::latency_histogram latencies;
    std::uint64_t requests = 0; // for the weights of a split
};

struct exchange_timer {
    boot_time at{};
    caller_token token{};
};
struct later_timer {
    bool operator()(const exchange_timer& one,
                    const exchange_timer& other) const
    {
        return one.at > other.at;
    }
};

struct exchanges_state {
    exchange_options settings;
    std::unordered_map<std::uint64_t, exchange> exchanges;
    std::unordered_map<std::uint64_t, sending> sendings;
    std::map<std::string, limits::window_budget> budgets; // by service
    std::map<std::string, route_record> routes;           // by name
    std::priority_queue<exchange_timer, std::vector<exchange_timer>,
                        later_timer>
        timers;
    boot_time sweep_at{};
};

// What one step of the reducers of exchanges works on.
struct exchange_step {
    exchanges_state& self;
    leaf_pool& pool;
    gateway::context& context;
};

// Takes a request on a route of the table.
void begin(exchange_step&, caller_token, const request_pointer&,
           const routing::table_pointer&, const routing::route&);

void reduce(exchange_step&, const caller_left&);
void reduce(exchange_step&, const leaf_connected&);
void reduce(exchange_step&, const leaf_replied&);
void reduce(exchange_step&, const leaf_disconnected&);

// Does what is due by now.
void act_on_timers(exchange_step&);
boot_time next_wakeup(const exchanges_state&);

// Ends all that is in progress with its final answer: the process stops.
void answer_all(exchange_step&);

} // namespace bulrushspring::gateway

#endif
