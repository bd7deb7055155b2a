#ifndef BULRUSHSPRING_FAKES_LEAF_CONNECTIONS_HPP
#define BULRUSHSPRING_FAKES_LEAF_CONNECTIONS_HPP

#include "base/time.hpp"
#include "fakes/leaf/record.hpp"
#include "libraries/client/event_pointers.hpp"

#include <functional>
#include <list>

struct bufferevent;

namespace bulrushspring::fakes
{

struct connection_table;

// A connection that a leaf has accepted and counts towards its limit.
struct open_connection {
    connection_table& table;
    bufferevent* stream = nullptr;
    evhttp_connection* handle = nullptr;
    boot_time opened_at;
    bool silent = false;                 // nothing is read or sent any more
    evhttp_request* pending = nullptr;   // received and not yet answered
    client::event_pointer setup_event;   // fires once libevent has set it up
    client::event_pointer peer_closed;   // fires when the peer closes it
    client::event_pointer release_timer; // closes a silent connection
};

// The open connections of a leaf. It must not be moved, because callbacks hold
// its address.
struct connection_table {
    event_base& base;
    const clock& time;
    leaf_counts& counts;
    std::size_t limit = 0;
    std::function<void(open_connection&)> on_close;
    std::list<open_connection> open;
};

// Tracks the connections of a server in the table and closes new ones over the
// limit at once. on_close is called when a tracked connection has closed.
void track_connections(evhttp& server, connection_table& table);

// Returns the connection that a request arrived on, or nullptr if it is not
// tracked.
open_connection* connection_of(connection_table& table,
                               evhttp_request& request);

// Makes all open connections silent: their sockets stay open, but nothing is
// received or sent any more, and a close by the peer goes undetected. Each
// counts towards the limit until `hold` has elapsed.
void silence_connections(connection_table& table, duration hold);

// Closes all connections.
void close_connections(connection_table& table);

} // namespace bulrushspring::fakes

#endif
