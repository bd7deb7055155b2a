#ifndef BULRUSHSPRING_LIBRARIES_CLIENT_EVENT_POINTERS_HPP
#define BULRUSHSPRING_LIBRARIES_CLIENT_EVENT_POINTERS_HPP

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace bulrushspring::client
{

// A deleter that calls libevent's free function for the type.
template <auto Free>
struct event_deleter {
    template <typename Object>
    void operator()(Object* object) const
    {
        Free(object);
    }
};

using event_base_pointer =
    std::unique_ptr<event_base, event_deleter<event_base_free>>;
using event_pointer = std::unique_ptr<::event, event_deleter<event_free>>;
using evbuffer_pointer =
    std::unique_ptr<evbuffer, event_deleter<evbuffer_free>>;
using evhttp_pointer = std::unique_ptr<evhttp, event_deleter<evhttp_free>>;
using evhttp_connection_pointer =
    std::unique_ptr<evhttp_connection, event_deleter<evhttp_connection_free>>;
using evhttp_uri_pointer =
    std::unique_ptr<evhttp_uri, event_deleter<evhttp_uri_free>>;

// Makes an event loop with precise timers. libevent's default clock has a
// resolution of milliseconds, which makes timers fire too early.
inline event_base_pointer make_event_base()
{
    event_config* configuration = event_config_new();
    event_config_set_flag(configuration, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_base_pointer base(event_base_new_with_config(configuration));
    event_config_free(configuration);
    return base;
}

// Arms a timer relative to the current time. libevent alone would count from
// the time at which the loop last woke up.
inline void arm_timer(::event* timer, std::chrono::nanoseconds span)
{
    using std::chrono::microseconds;
    const auto positive = std::max(span, std::chrono::nanoseconds{0});
    const auto micros = std::chrono::ceil<microseconds>(positive).count();
    const timeval limit{micros / 1'000'000, micros % 1'000'000};
    event_base_update_cache_time(event_get_base(timer));
    evtimer_add(timer, &limit);
}

} // namespace bulrushspring::client

#endif
