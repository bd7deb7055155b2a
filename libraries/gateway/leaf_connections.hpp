#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_CONNECTIONS_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_LEAF_CONNECTIONS_HPP

#include "libraries/gateway/leaf_pool.hpp"

// Which connection to a leaf an attempt or a health check gets.
//
// A leaf may send a second copy of an answer late, where the answer to the next
// request is expected. Only the request's id tells it from that answer, so a
// request is never sent twice on one connection, and a connection that has
// carried a health check, which has no id, is closed once it is answered.
namespace bulrushspring::gateway
{

// What an attempt requires of its connection.
struct connection_demand {
    bool idempotent = false;
    // On which its request has been sent already, in any order.
    std::span<const connection_id> used;
};

// Whether the leaf has an idle connection that is not in `used`, or one can be
// opened besides the present ones.
bool has_unused_connection(const leaf_pool&, const leaf_state&,
                           std::span<const connection_id> used, boot_time now);

// Assigns an idle connection to the attempt, or opens one for it. If the leaf's
// quota is used up and its idle connections are all in `used`, the oldest of
// them is closed for the new one. Nothing if all of the quota is busy.
std::optional<connection_id> acquire(leaf_pool&, leaf_state&, attempt_id,
                                     const connection_demand&, context&);

// Opens a connection for the attempt, or in advance.
connection_id open_connection(leaf_pool&, leaf_state&,
                              std::optional<attempt_id>, context&);

// Opens a connection that tells whether the leaf still runs. Returns false if
// it may not be opened now.
bool open_check(leaf_pool&, leaf_state&, context&);

// Sends a health check on an idle connection. Returns false if there is none,
// or the leaf takes no request now.
bool send_health_check(leaf_pool&, leaf_state&, context&);

// Returns a connection that has been answered to the idle ones, or closes it if
// it has carried a health check.
void release(leaf_pool&, connection_id, const leaf_reply&, context&);

} // namespace bulrushspring::gateway

#endif
