#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_EVENT_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_EVENT_HPP

#include "libraries/http/message.hpp"
#include "libraries/topology/topology.hpp"

#include <memory>
#include <variant>

namespace bulrushspring::gateway
{

// A caller's request that is to be passed on unchanged.
struct forward_request {
    std::string id; // of the caller's attempt; new for each
    std::string method;
    std::string host;
    std::string target;   // path and query
    http::fields headers; // those that are passed on as they came
    std::string body;
    duration time_left{0}; // that the caller will wait; 0: it did not say
};

using request_pointer = std::shared_ptr<const forward_request>;

// A leaf's whole answer.
struct leaf_reply {
    unsigned status = 0;
    std::string reason;
    http::fields headers; // those that are passed on as they came
    std::string body;
    std::string seal;         // the leaf's signature of this answer
    bool not_run = false;     // the leaf says that it did not run the request
    duration idle_timeout{0}; // of the connection at the leaf; 0: not said
};

struct forward_asked {
    caller_token token;
    request_pointer request;
};

struct leaf_connected {
    connection_id connection;
};

// The connection is idle again if `reusable`, else it is gone.
struct leaf_replied {
    connection_id connection;
    leaf_reply reply;
    bool reusable = false;
};

// The connection is gone, without an answer to what was sent last.
struct leaf_disconnected {
    connection_id connection;
    error cause;
};

// A caller asks which daemons to connect to.
struct entries_asked {
    caller_token token;
    std::string data_centre; // where the caller is
};

struct options;

// The settings file has changed. Addresses and names stay as they were.
struct settings_changed {
    std::shared_ptr<const options> settings;
    std::vector<endpoint> seeds;
};

// All that the reducer takes in.
using any_event =
    std::variant<tick, settings_changed, forward_asked, caller_left,
                 leaf_connected, leaf_replied, leaf_disconnected, entries_asked,
                 topology::records_learned, topology::store_failed,
                 datagram_received, peer_asked, peer_replied, stop_requested>;

} // namespace bulrushspring::gateway

#endif
