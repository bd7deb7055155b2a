#ifndef BULRUSHSPRING_LIBRARIES_SHELL_HANDLES_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_HANDLES_HPP

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "libraries/client/event_pointers.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <memory>
#include <netinet/in.h>
#include <string_view>

namespace bulrushspring::shell
{

// Owning pointers to libevent objects.
using base_handle = client::event_base_pointer;
using event_handle = client::event_pointer;
using stream_handle =
    std::unique_ptr<bufferevent, client::event_deleter<bufferevent_free>>;
using listener_handle =
    std::unique_ptr<evconnlistener, client::event_deleter<evconnlistener_free>>;

// Converts to libevent's time type; negative spans become zero.
timeval to_timeval(duration span);

// Conversions between host and network byte order.
sockaddr_in to_socket_address(const endpoint& value);
endpoint from_socket_address(const sockaddr_in& value);

// The local address and port of a bound socket.
endpoint bound_endpoint(evutil_socket_t socket);

// A contiguous view of a buffer's content, valid until the buffer changes.
std::string_view content_of(evbuffer* buffer);

} // namespace bulrushspring::shell

#endif
