#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_SHELL_PROTOCOL_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_SHELL_PROTOCOL_HPP

#include "libraries/gateway/effect.hpp"
#include "libraries/http/message.hpp"

#include <optional>
#include <string>

namespace bulrushspring::gateway_shell
{

// Maps the messages of an installation's callers and leafs to and from HTTP.
// The functions only convert and keep no state.
struct protocol {
    // The header in which a leaf's answer repeats the request id. Mismatched
    // answers are dropped.
    std::string correlation_header;
    // Fails with errc::malformed for a request that must not be forwarded.
    result<gateway::request_pointer> (*read_request)(http::request);
    http::response (*write_answer)(const gateway::forward_answer&);
    http::request (*write_leaf_request)(const gateway::send_to_leaf&);
    gateway::leaf_reply (*read_reply)(http::response);
    // Empty if the request is not one for the list of daemons.
    std::optional<gateway::entries_requested> (*read_entries_request)(
        caller_token, const http::request&);
    http::response (*write_entries)(const gateway::answer_entries&);
    http::response (*write_readiness)(const http::request&, bool ready);
    // Decodes the content of a record that was received from a peer.
    topology::learned_record (*decode_record)(wire::published_record);
};

} // namespace bulrushspring::gateway_shell

#endif
