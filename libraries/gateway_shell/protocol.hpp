#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_SHELL_PROTOCOL_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_SHELL_PROTOCOL_HPP

#include "libraries/gateway/effect.hpp"
#include "libraries/http/message.hpp"

#include <optional>
#include <string>

namespace bulrushspring::gateway_shell
{

// How an installation's callers and leafs put their messages into HTTP. The
// functions only translate.
struct protocol {
    // The header by which a leaf's answer names its request. Answers that
    // name another one are dropped.
    std::string correlation_header;
    // Fails with errc::malformed for a request that must not be passed on.
    result<gateway::request_pointer> (*read_request)(http::request);
    http::response (*write_answer)(const gateway::forward_answer&);
    http::request (*write_leaf_request)(const gateway::send_to_leaf&);
    gateway::leaf_reply (*read_reply)(http::response);
    // Nothing if the request does not ask for the list of daemons.
    std::optional<gateway::entries_asked> (*read_entries_question)(
        caller_token, const http::request&);
    http::response (*write_entries)(const gateway::answer_entries&);
    http::response (*write_readiness)(const http::request&, bool ready);
    // Adds what its content says to a record that a peer passed on.
    topology::learned_record (*decode_record)(wire::published_record);
};

} // namespace bulrushspring::gateway_shell

#endif
