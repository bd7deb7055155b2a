#include "fakes/leaf/connections.hpp"

#include <event2/bufferevent.h>

#include <algorithm>

namespace bulrushspring::fakes
{
namespace
{

void remove(open_connection& connection)
{
    auto& open = connection.table.open;
    open.remove_if(
        [&](const open_connection& it) { return &it == &connection; });
}

void on_close(evhttp_connection* /*unused*/, void* argument)
{
    auto& connection = *static_cast<open_connection*>(argument);
    connection.table.on_close(connection);
    remove(connection);
}

// evhttp does not read while an answer is pending, so it would not detect that
// the peer has closed. It closes idle connections itself.
void on_peer_closed(evutil_socket_t /*unused*/, short /*unused*/,
                    void* argument)
{
    auto& connection = *static_cast<open_connection*>(argument);
    if (connection.pending != nullptr) {
        evhttp_connection_free(connection.handle);
    }
}

void on_release(evutil_socket_t /*unused*/, short /*unused*/, void* argument)
{
    evhttp_connection_free(static_cast<open_connection*>(argument)->handle);
}

void on_setup(evutil_socket_t /*unused*/, short /*unused*/, void* argument)
{
    auto& connection = *static_cast<open_connection*>(argument);
    auto& table = connection.table;
    void* owner = nullptr;
    bufferevent_getcb(connection.stream, nullptr, nullptr, nullptr, &owner);
    if (owner == nullptr) {
        remove(connection);
        return;
    }
    connection.handle = static_cast<evhttp_connection*>(owner);
    if (table.open.size() > table.limit) {
        ++table.counts.connections_refused;
        auto* refused = connection.handle;
        remove(connection);
        evhttp_connection_free(refused);
        return;
    }
    ++table.counts.connections_opened;
    table.counts.most_connections = std::max<std::uint64_t>(
        table.counts.most_connections, table.open.size());
    evhttp_connection_set_closecb(connection.handle, on_close, &connection);
    connection.peer_closed.reset(
        event_new(&table.base, bufferevent_getfd(connection.stream),
                  EV_CLOSED | EV_PERSIST, on_peer_closed, &connection));
    event_add(connection.peer_closed.get(), nullptr);
}

// evhttp requests a bufferevent after it has accepted a connection and before
// it creates the evhttp_connection, so an event that fires right afterwards
// completes the setup.
bufferevent* create_stream(event_base* base, void* argument)
{
    auto& table = *static_cast<connection_table*>(argument);
    auto* stream = bufferevent_socket_new(base, -1, 0);
    auto& connection = table.open.emplace_back(
        open_connection{table, stream, nullptr, table.time.now()});
    connection.setup_event.reset(event_new(base, -1, 0, on_setup, &connection));
    event_active(connection.setup_event.get(), EV_TIMEOUT, 0);
    return stream;
}

} // namespace

void track_connections(evhttp& server, connection_table& table)
{
    evhttp_set_bevcb(&server, create_stream, &table);
}

open_connection* connection_of(connection_table& table, evhttp_request& request)
{
    const auto* handle = evhttp_request_get_connection(&request);
    const auto found = std::find_if(
        table.open.begin(), table.open.end(),
        [&](const open_connection& it) { return it.handle == handle; });
    return found == table.open.end() ? nullptr : &*found;
}

void silence_connections(connection_table& table, duration hold)
{
    for (auto& connection : table.open) {
        if (connection.silent || connection.handle == nullptr) {
            continue;
        }
        connection.silent = true;
        bufferevent_disable(connection.stream, EV_READ);
        connection.peer_closed.reset();
        connection.release_timer.reset(
            evtimer_new(&table.base, on_release, &connection));
        client::arm_timer(connection.release_timer.get(), hold);
    }
}

void close_connections(connection_table& table)
{
    for (auto it = table.open.begin(); it != table.open.end();) {
        auto* handle = (it++)->handle;
        if (handle != nullptr) {
            evhttp_connection_free(handle);
        }
    }
}

} // namespace bulrushspring::fakes
