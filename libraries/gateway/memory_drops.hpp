#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_MEMORY_DROPS_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_MEMORY_DROPS_HPP

#include "libraries/gateway/exchange.hpp"

// Which requests can be dropped while the process's memory limit is exceeded;
// docs/design/memory.md.
namespace bulrushspring::gateway
{

// Adds the requests that can be dropped, with `holder` as their holder: those
// not sent to any leaf, and idempotent ones that hold leafs' responses.
void list_candidates(const exchanges_state&,
                     std::vector<memory::candidate>& all, std::uint32_t holder);

// Finishes the requests that are still in a state in which they can be dropped.
void drop_requests(exchange_step&, const memory_exceeded&);

} // namespace bulrushspring::gateway

#endif
