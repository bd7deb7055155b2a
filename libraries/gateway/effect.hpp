#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_EFFECT_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_EFFECT_HPP

#include "libraries/gateway/event.hpp"
#include "libraries/reducer/effect.hpp"

#include <variant>
#include <vector>

namespace bulrushspring::gateway
{

// Opens a connection. Followed by leaf_connected or leaf_disconnected.
struct open_leaf {
    connection_id connection;
    endpoint address;
};

// Closes a connection. No further events are reported for it.
struct close_leaf {
    connection_id connection;
};

// Sends a request. Followed by leaf_replied or leaf_disconnected.
struct send_to_leaf {
    connection_id connection;
    request_pointer request;
    std::string leaf;       // the intended recipient; any other refuses
    duration time_left{0};  // until the answer is no longer awaited
    bool repeatable = true; // the request can be sent again
};

// The kind of final answer that a caller gets.
enum class answer_kind : std::uint8_t {
    relayed,   // a leaf's answer, unchanged
    merged,    // the parts of several leafs
    no_route,  // no route of the table in force matches
    not_run,   // refused: no leaf has run it and none will
    failed,    // it may have run, and there is no answer to forward
    timed_out, // it may have run; the deadline has passed
};

// The final answer to a forward_request.
struct forward_answer {
    answer_kind kind = answer_kind::failed;
    leaf_reply reply;                    // relayed
    std::vector<std::string> signatures; // merged: signatures of the parts
    std::uint32_t missing_shards = 0;    // merged: shards without an answer
    std::string body;                    // merged
    duration retry_after{0};             // not_run: delay before a retry
};

// Sends the final answer to a caller.
struct answer_request {
    caller_token token;
    forward_answer answer;
    bool repeatable = true; // the request can be sent again
};

// Answers entries_requested.
struct answer_entries {
    caller_token token;
    std::vector<endpoint> entries;
    duration ttl{0}; // how long the caller may cache the answer
};

// Calls the store. Followed by topology's records_learned or store_failed.
struct call_store {
    topology::store_call call;
};

// Applies a new routing table's limits on callers' requests.
struct set_caller_limits {
    routing::caller_limits limits;
};

// A planned stop has begun: each further answer tells its caller to close the
// connection.
struct close_caller_connections {
};

// A planned stop is complete: no request is in progress. The process accepts no
// further connection, closes idle ones, and ends once all answers are sent, or
// after the time limit.
struct end_process {
    duration time_limit{0};
};

// The gateway's effects, in addition to those that all libraries share.
using effect = std::variant<open_leaf, close_leaf, send_to_leaf, answer_request,
                            answer_entries, call_store, set_caller_limits,
                            close_caller_connections, end_process>;

// The context in which the gateway's reducers handle one event: the current
// time and the effects to be carried out.
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

    void count(metrics::counter counter, std::uint64_t amount = 1)
    {
        shared.emit(add_to_counter{counter, amount});
    }
};

} // namespace bulrushspring::gateway

#endif
