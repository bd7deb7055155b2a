#ifndef BULRUSHSPRING_LIBRARIES_REQUESTS_READS_HPP
#define BULRUSHSPRING_LIBRARIES_REQUESTS_READS_HPP

#include "libraries/requests/requests.hpp"

// Single reads, which are idempotent and may be sent to several leafs.
namespace bulrushspring::requests
{

void begin_read(state& self, targets::state& leafs, caller_token token,
                const caller_request& request,
                const manifest::manifest_pointer& manifest, context& at);

void read_answered(state& self, targets::state& leafs,
                   const leaf_answered& event, context& at);

void read_failed(state& self, targets::state& leafs, const leaf_failed& event,
                 context& at);

// Sends a hedge if the read's attempt is still open when the hedge delay ends.
void hedge_read(state& self, targets::state& leafs, caller_token token,
                context& at);

void read_caller_left(state& self, targets::state& leafs, caller_token token,
                      context& at);

} // namespace bulrushspring::requests

#endif
