#ifndef BULRUSHSPRING_LIBRARIES_TARGETS_CONNECTIONS_HPP
#define BULRUSHSPRING_LIBRARIES_TARGETS_CONNECTIONS_HPP

#include "libraries/reducer/effect.hpp"
#include "libraries/targets/state.hpp"

// Connection management: connections are opened a few at a time, probed while
// idle, closed when they time out or are surplus, and reopened with backoff.
namespace bulrushspring::targets
{

// The maximum number of connections that the leaf may count for this daemon
// now. An increased share may be used only once it has settled.
std::uint32_t usable_share(const leaf_state& leaf, boot_time now);

// Queues the leaf for a new connection if it has fewer than it should have.
void queue_connection(state& self, leaf_index leaf, boot_time now);

// Opens queued connections, up to `options::max_opening` at a time.
void open_queued_connections(state& self, context& context);

// Returns null if the connection has ended.
connection* find_connection(state& self, connection_id id);

// Marks the connection as idle and as having answered now.
void make_idle(state& self, connection& connection, boot_time now);

// Sends a health probe over an idle connection, which takes no requests until
// the probe is answered.
void probe(state& self, connection& connection, context& context);

// Closes a connection that has no attempt in flight.
void close_unused(state& self, connection_id id, context& context);

// Removes a connection that was closed because an answer timed out. Probes the
// leaf's other idle connections, because the same fault may affect them. If the
// connection was still being opened, counts a connection failure instead.
void remove_silent(state& self, connection_id id, context& context);

// Closes and removes a connection on which an answer timed out. The attempt of
// a busy connection ends with a leaf_failed event.
void close_silent(state& self, connection_id id, context& context);

// Removes a connection that has ended and queues a replacement. For the
// duration of `hold` the leaf may still count it against its limit, so this
// daemon counts it as well.
void remove_connection(state& self, connection_id id, duration hold,
                       context& context);

// Counts a connection failure of the leaf and sets when the next connection to
// it may be opened: exponential backoff with jitter.
void back_off(state& self, leaf_index leaf, const error& cause,
              context& context);

// Closes idle connections above the desired number, which is 0 for a leaf that
// is leaving or no longer in the manifest.
void close_surplus(state& self, leaf_index leaf, context& context);

// Closes connections that timed out, probes idle ones and queues missing ones.
void sweep(state& self, context& context);

} // namespace bulrushspring::targets

#endif
