#ifndef BULRUSHSPRING_LIBRARIES_CLIENT_CALLER_HPP
#define BULRUSHSPRING_LIBRARIES_CLIENT_CALLER_HPP

#include "base/random.hpp"
#include "base/time.hpp"
#include "libraries/client/call.hpp"

#include <functional>
#include <string>

namespace bulrushspring::client
{

// A caller's access to the network and the clock; tests replace it.
struct transport {
    std::function<exchange_result(const endpoint&, const http_request&,
                                  duration timeout)>
        exchange;
    std::function<boot_time()> now;
    std::function<void(duration)> pause;
};

// Uses HTTP and the machine's clock. Each exchange opens its own connection.
transport http_transport();

// A random 128-bit request id, as 32 hexadecimal digits.
std::string make_request_id(random_source& random);

// Makes a call and blocks until its outcome is known.
call_outcome run_call(address_book& book, const transport& over, call what);

} // namespace bulrushspring::client

#endif
