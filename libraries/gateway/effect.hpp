#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_EFFECT_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_EFFECT_HPP

#include "libraries/gateway/event.hpp"
#include "libraries/reducer/effect.hpp"

#include <variant>
#include <vector>

namespace bulrushspring::gateway
{

// Answered by leaf_connected or leaf_disconnected.
struct open_leaf {
    connection_id connection;
    endpoint address;
};

// Nothing is heard of the connection any more.
struct close_leaf {
    connection_id connection;
};

// Answered by leaf_replied or leaf_disconnected.
struct send_to_leaf {
    connection_id connection;
    request_pointer request;
    std::string leaf;      // the one that is meant; any other refuses
    duration time_left{0}; // until nobody waits for the answer
};

enum class verdict : std::uint8_t {
    relayed,   // a leaf's answer, unchanged
    merged,    // the parts of several leafs
    no_route,  // the routes in force don't have it
    not_run,   // refused: no leaf has run it and none will
    failed,    // it may have run, and there is no answer to pass on
    timed_out, // it may have run; the time is over
};

// The final answer to a forward_request.
struct forward_answer {
    verdict what = verdict::failed;
    leaf_reply reply;               // relayed
    std::vector<std::string> seals; // merged: of the parts that are in
    std::uint32_t missing = 0;      // merged: shards that are left out
    std::string body;               // merged
    duration retry_after{0};        // not_run: when to come back
};

struct answer_forward {
    caller_token token;
    forward_answer answer;
};

struct answer_entries {
    caller_token token;
    std::vector<endpoint> entries;
    duration hold{0}; // how long the caller may keep the answer
};

struct call_store {
    topology::store_call call;
};

// A newer routing table sets what callers may send.
struct limit_callers {
    routing::caller_limits limits;
};

// A planned stop has begun: callers are told to leave their connections.
struct release_callers {
};

// What the gateway has besides the effects that all libraries share.
using effect =
    std::variant<open_leaf, close_leaf, send_to_leaf, answer_forward,
                 answer_entries, call_store, limit_callers, release_callers>;

// What each step of the gateway's reducers is given besides its state.
struct context {
    boot_time now;
    std::vector<effect>& effects;
    bulrushspring::context& shared; // log lines, counters, peers

    template <typename Effect>
    void emit(Effect&& what)
    {
        effects.emplace_back(std::forward<Effect>(what));
    }

    void log(log_record record) { shared.emit(write_log{std::move(record)}); }

    void count(metrics::counter which, std::uint64_t amount = 1)
    {
        shared.emit(add_to_counter{which, amount});
    }
};

} // namespace bulrushspring::gateway

#endif
