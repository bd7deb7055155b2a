#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_EVENT_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_EVENT_HPP

#include "libraries/balancing/load_statement.hpp"
#include "libraries/http/message.hpp"
#include "libraries/memory/account.hpp"
#include "libraries/topology/topology.hpp"

#include <memory>
#include <optional>
#include <variant>

namespace bulrushspring::gateway
{

// A caller's request, to be forwarded unchanged.
struct forward_request {
    std::string id; // unique for each attempt of the caller
    std::string method;
    std::string host;
    std::string target;   // path and query
    http::fields headers; // forwarded unchanged
    std::string body;
    std::string credentials;          // with which its caller identifies itself
    std::uint32_t caller_address = 0; // endpoint::address; 0: unknown
    duration time_left{0};  // until the caller's deadline; 0: not given
    duration round_trip{0}; // between this daemon and the caller; 0: unknown
};

using request_pointer = std::shared_ptr<const forward_request>;

// What an answer states of the requests a second that its leaf takes from all
// daemons together.
struct rate_statement {
    bool present = false;             // there is a limit, readable or not
    std::optional<double> per_second; // not negative; none if not readable
};

// A leaf's complete answer.
struct leaf_reply {
    unsigned status = 0;
    std::string reason;
    http::fields headers; // forwarded unchanged
    std::string body;
    std::string signature;    // the leaf's signature of this answer
    bool not_run = false;     // the leaf states that it did not run the request
    bool leaving = false;     // the leaf states that it is leaving
    duration idle_timeout{0}; // of the connection at the leaf; 0: not given
    duration retry_after{0};  // the leaf wants no request before; 0: not given
    rate_statement rate;
    memory::charge held;                    // the memory that it occupies
    std::optional<duration> cold_remaining; // if the leaf states it
    std::optional<balancing::load_statement> load; // as the leaf states it
};

// A caller has sent a request.
struct forward_requested {
    caller_token token;
    request_pointer request;
};

// A connection requested by open_leaf is established.
struct leaf_connected {
    connection_id connection;
};

// An answer was received. The connection is idle again if `reusable`, else it
// has been closed.
struct leaf_replied {
    connection_id connection;
    leaf_reply reply;
    bool reusable = false;
};

// The connection was closed before the answer to the last request, or could
// not be established.
struct leaf_disconnected {
    connection_id connection;
    error cause;
};

// The leaf does not read as fast as a request is sent to it (`unread`), or has
// read all of it.
struct leaf_unread {
    connection_id connection;
    bool unread = false;
};

// The process's memory limit is exceeded, or no longer. The requests in `drop`
// are finished, if they still can be dropped. While it is `exhausted`, nothing
// more can be dropped, and new requests are refused.
struct memory_exceeded {
    std::vector<caller_token> drop;
    bool exhausted = false;
};

// A caller requests the list of daemons to connect to.
struct entries_requested {
    caller_token token;
    std::string data_centre; // where the caller is
};

struct options;

// The settings file has changed. Changed addresses and names take effect at
// the next start.
struct settings_changed {
    std::shared_ptr<const options> settings;
    std::vector<endpoint> seeds;
};

// All events of the gateway's reducer.
using any_event =
    std::variant<tick, settings_changed, forward_requested, caller_disconnected,
                 leaf_connected, leaf_replied, leaf_disconnected, leaf_unread,
                 memory_exceeded, entries_requested, topology::records_learned,
                 topology::store_failed, datagram_received,
                 peer_request_received, peer_reply_received, stop_requested>;

} // namespace bulrushspring::gateway

#endif
