#ifndef BULRUSHSPRING_LIBRARIES_SHELL_PEER_DATAGRAMS_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_PEER_DATAGRAMS_HPP

#include "libraries/reducer/effect.hpp"
#include "libraries/shell/handles.hpp"
#include "libraries/shell/sink.hpp"

namespace bulrushspring::shell
{

// The UDP socket for messages between daemons.
class peer_datagrams
{
public:
    static result<std::unique_ptr<peer_datagrams>>
    bind(event_base* base, const endpoint& address, sink out);
    peer_datagrams(const peer_datagrams&) = delete;
    peer_datagrams& operator=(const peer_datagrams&) = delete;
    ~peer_datagrams();

    endpoint address() const { return bound_endpoint(socket_); }
    void carry_out(const send_datagram& effect);

private:
    peer_datagrams(evutil_socket_t socket, sink out);
    static void on_readable(evutil_socket_t socket, short what, void* self);
    bool receive_one();

    evutil_socket_t socket_;
    sink sink_;
    event_handle readable_;
};

} // namespace bulrushspring::shell

#endif
