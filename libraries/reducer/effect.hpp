#ifndef BULRUSHSPRING_LIBRARIES_REDUCER_EFFECT_HPP
#define BULRUSHSPRING_LIBRARIES_REDUCER_EFFECT_HPP

#include "base/identifiers.hpp"
#include "base/time.hpp"
#include "libraries/log/record.hpp"
#include "libraries/metrics/names.hpp"
#include "libraries/reducer/caller_message.hpp"
#include "libraries/reducer/event.hpp"
#include "libraries/wire/message.hpp"

#include <variant>
#include <vector>

namespace bulrushspring
{

struct send_datagram {
    endpoint to;
    wire::datagram message;
};

// Sends a request to another daemon over TCP; answered by peer_reply_received.
struct send_peer_request {
    exchange_id exchange;
    endpoint peer;
    wire::peer_request request;
    duration timeout{0};
};

struct reply_to_peer {
    peer_token token;
    wire::peer_reply reply;
    bool compressed = false; // the peer accepts it
};

// Reads a key from the platform; answered by platform_read_finished. With a
// wait, the platform delays its answer until the key's revision exceeds the
// known one or the wait is over.
struct read_platform {
    std::string key;
    std::uint64_t known_revision = 0;
    duration wait{0};
    duration timeout{0};
};

// Connects to a leaf and sends a first probe; answered by connection_opened
// after the probe's answer, or by connection_closed.
struct open_connection {
    connection_id connection;
    std::string leaf;
    endpoint address;
    duration timeout{0};
};

struct close_connection {
    connection_id connection;
};

// Sends a probe to a leaf; answered by probe_answered or connection_closed.
struct probe_connection {
    connection_id connection;
    duration timeout{0};
};

// Sends one attempt to a leaf; answered by leaf_answered or leaf_failed.
struct send_to_leaf {
    connection_id connection;
    attempt_id attempt;
    leaf_request request;
};

// Asks a leaf, over another connection to it, to cancel an attempt. The attempt
// still ends with leaf_answered or leaf_failed.
struct cancel_at_leaf {
    connection_id connection;
    attempt_id attempt;
};

struct answer_caller {
    caller_token token;
    caller_answer answer;
};

struct answer_addresses {
    caller_token token;
    address_answer answer;
};

struct write_log {
    log_record record;
};

struct add_to_counter {
    metrics::counter counter;
    std::uint64_t amount = 1;
};

struct record_duration {
    metrics::histogram histogram;
    duration value{0};
};

// An event from one library for the others, which the node processes next.
struct raise_event {
    event raised;
};

// Ends the process: the graceful shutdown is complete.
struct stop_process {
};

using effect =
    std::variant<send_datagram, send_peer_request, reply_to_peer, read_platform,
                 open_connection, close_connection, probe_connection,
                 send_to_leaf, cancel_at_leaf, answer_caller, answer_addresses,
                 write_log, add_to_counter, record_duration, raise_event,
                 stop_process>;

// The environment of a reduce function: the current time, its output and the
// source of new identifiers.
struct context {
    boot_time now;
    std::vector<effect>& effects;
    std::uint64_t& last_identifier; // the last one that new_identifier returned

    template <typename Effect>
    void emit(Effect&& what)
    {
        effects.emplace_back(std::forward<Effect>(what));
    }

    // Returns an identifier that is unique within this process.
    template <typename Identifier>
    Identifier new_identifier()
    {
        return static_cast<Identifier>(++last_identifier);
    }
};

} // namespace bulrushspring

#endif
