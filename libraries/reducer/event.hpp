#ifndef BULRUSHSPRING_LIBRARIES_REDUCER_EVENT_HPP
#define BULRUSHSPRING_LIBRARIES_REDUCER_EVENT_HPP

#include "base/identifiers.hpp"
#include "libraries/reducer/caller_message.hpp"
#include "libraries/wire/message.hpp"

#include <optional>
#include <string>
#include <variant>

namespace bulrushspring
{

// Time has passed. Sent no later than the state's next wake-up.
struct tick {
};

struct datagram_received {
    endpoint from;
    wire::datagram message;
};

struct peer_request_received {
    peer_token token;
    endpoint from;
    wire::peer_request request;
};

// The reply to a request sent with send_peer_request, or its failure.
struct peer_reply_received {
    exchange_id exchange;
    result<wire::peer_reply> reply;
};

// A value read from the platform. The revision is the platform's number of
// changes of that key.
struct platform_value {
    std::uint64_t revision = 0;
    std::string content;
};

// The answer to read_platform. There is no value if nothing newer was published
// within the wait.
struct platform_read_finished {
    std::string key;
    result<std::optional<platform_value>> value;
};

// The active configuration has changed. Raised by the configuration library;
// the node passes it to all other libraries.
struct manifest_changed {
    manifest::manifest_pointer manifest;
};

// The platform's list of VMs has changed. The names include entries and leafs.
struct vms_changed {
    std::vector<std::string> live;
    std::vector<std::string> leaving;
};

// A leaf is shutting down, as reported by itself or by a peer.
struct leaf_leaving {
    std::string leaf;
    std::string source;
};

struct connection_opened {
    connection_id connection;
    leaf_health health;
};

struct connection_closed {
    connection_id connection;
    error cause;
};

struct probe_answered {
    connection_id connection;
    leaf_health health;
};

struct leaf_answered {
    connection_id connection;
    attempt_id attempt;
    leaf_answer answer;
};

// An attempt has failed without an answer, and its connection is closed.
struct leaf_failed {
    connection_id connection;
    attempt_id attempt;
    bool sent = true; // false only if no byte was sent
    error cause;
};

struct caller_request_received {
    caller_token token;
    caller_request request;
};

struct address_query_received {
    caller_token token;
    std::string data_centre;
};

// The caller closed its connection before it was answered.
struct caller_disconnected {
    caller_token token;
};

// A graceful shutdown was requested.
struct stop_requested {
};

// Memory is short: these queries are answered with the parts that they have.
struct queries_dropped {
    std::vector<caller_token> tokens;
};

using event =
    std::variant<tick, datagram_received, peer_request_received,
                 peer_reply_received, platform_read_finished, manifest_changed,
                 vms_changed, leaf_leaving, connection_opened,
                 connection_closed, probe_answered, leaf_answered, leaf_failed,
                 caller_request_received, address_query_received,
                 caller_disconnected, stop_requested, queries_dropped>;

} // namespace bulrushspring

#endif
