#ifndef BULRUSHSPRING_FAKES_SITE_PROXY_HPP
#define BULRUSHSPRING_FAKES_SITE_PROXY_HPP

#include "libraries/shell/handles.hpp"

#include <list>

namespace bulrushspring::site
{

enum class link_mood : std::uint8_t {
    well,
    slow,    // bytes are passed on after the delay
    silent,  // connections stay open and nothing is passed on
    one_way, // only what goes to the server is passed on
};

// A TCP relay in front of a server, through which its link is harmed.
class proxy
{
public:
    proxy(event_base* base, const endpoint& address, const endpoint& server);

    void set_mood(link_mood mood, duration delay = milliseconds{50});
    // Resets the connections there are; new ones work.
    void reset_connections();

private:
    struct pair {
        proxy* owner = nullptr;
        shell::stream_handle near;
        shell::stream_handle far;
        shell::event_handle later;
        bool ended = false;
    };

    static void accept(evconnlistener* listener, evutil_socket_t socket,
                       sockaddr* from, int size, void* self);
    static void read(bufferevent* buffer, void* which);
    static void notice(bufferevent* buffer, short what, void* which);
    static void pass_delay(evutil_socket_t socket, short what, void* which);
    static void free_ended(evutil_socket_t socket, short what, void* self);
    void pass_on(pair& between);
    void end(pair& between, bool reset);

    event_base* base_;
    endpoint server_;
    shell::listener_handle listener_;
    std::list<pair> pairs_;
    shell::event_handle free_later_;
    link_mood mood_ = link_mood::well;
    duration delay_{0};
};

} // namespace bulrushspring::site

#endif
