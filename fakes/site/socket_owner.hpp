#ifndef BULRUSHSPRING_FAKES_SITE_SOCKET_OWNER_HPP
#define BULRUSHSPRING_FAKES_SITE_SOCKET_OWNER_HPP

#include "base/endpoint.hpp"

#include <set>
#include <span>
#include <sys/types.h>

namespace bulrushspring::site
{

// The local ports of the TCP connections that the processes hold, from /proc.
// All daemons connect from the same loopback address, so a proxy tells them
// apart by these. Processes that have ended hold none.
std::set<std::uint16_t> ports_of(std::span<const pid_t> processes);

} // namespace bulrushspring::site

#endif
