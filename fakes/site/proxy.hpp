#ifndef BULRUSHSPRING_FAKES_SITE_PROXY_HPP
#define BULRUSHSPRING_FAKES_SITE_PROXY_HPP

#include "libraries/shell/handles.hpp"

#include <functional>
#include <list>
#include <set>

namespace bulrushspring::site
{

enum class link_condition : std::uint8_t {
    normal,
    slow,    // bytes are forwarded after a delay
    silent,  // connections stay open and nothing is forwarded
    one_way, // only bytes to the server are forwarded
    unread,  // clients' bytes stay in the kernel, as if the server read none
};

// Reading the ports of all connections takes milliseconds.
inline constexpr milliseconds port_cache_time{100};

// The clients that are partitioned from a proxy's server, while others pass.
struct client_partition {
    // The ports of the clients, as they were at most port_cache_time ago.
    std::function<std::set<std::uint16_t>()> ports;
    bool reset = false; // else their connections hang
};

// A TCP proxy in front of a server that injects network faults.
class proxy
{
public:
    proxy(event_base* base, const endpoint& address, const endpoint& server);

    void set_condition(link_condition condition,
                       duration delay = milliseconds{50});
    // Partitions these clients, until it is called without ports.
    void partition_clients(const client_partition& partition);
    // Sets the kernel's receive buffer, in bytes, of connections that clients
    // open from now on.
    void limit_receive_buffer(int bytes);
    // Resets all open connections. New connections are accepted.
    void reset_connections();

private:
    struct connection_pair {
        proxy* owner = nullptr;
        shell::stream_handle client_side;
        shell::stream_handle server_side;
        shell::event_handle delay_timer;
        bool closed = false;
        std::uint16_t client_port = 0;
        boot_time accepted_at{};
        bool partitioned = false; // of a client that is, or not known yet
    };

    static void accept(evconnlistener* listener, evutil_socket_t socket,
                       sockaddr* from, int size, void* argument);
    static void on_readable(bufferevent* buffer, void* argument);
    static void on_event(bufferevent* buffer, short events, void* argument);
    static void on_delay_elapsed(evutil_socket_t socket, short events,
                                 void* argument);
    static void free_closed(evutil_socket_t socket, short events,
                            void* argument);
    static void on_classify(evutil_socket_t socket, short events,
                            void* argument);
    // Partitions, or lets pass, the connections accepted long enough ago.
    void classify();
    void forward(connection_pair& connection);
    void enable_reading(connection_pair& connection);
    void close(connection_pair& connection, bool reset);

    event_base* base_;
    endpoint server_;
    shell::listener_handle listener_;
    std::list<connection_pair> pairs_;
    shell::event_handle cleanup_timer_;
    shell::event_handle classify_timer_; // while there is a partition
    link_condition condition_ = link_condition::normal;
    duration delay_{0};
    client_partition partition_;
};

} // namespace bulrushspring::site

#endif
