#ifndef BULRUSHSPRING_LIBRARIES_REQUESTS_AT_MOST_ONCE_HPP
#define BULRUSHSPRING_LIBRARIES_REQUESTS_AT_MOST_ONCE_HPP

#include "libraries/requests/requests.hpp"

// Non-idempotent requests, which are run at most once: an attempt that may have
// run is never followed by another.
namespace bulrushspring::requests
{

void begin_request(state& self, targets::state& leafs, caller_token token,
                   const caller_request& request,
                   const manifest::manifest_pointer& manifest, context& at);

void request_answered(state& self, targets::state& leafs,
                      const leaf_answered& event, context& at);

void request_failed(state& self, targets::state& leafs,
                    const leaf_failed& event, context& at);

// Handles the disconnect of the caller of a request, which continues, or of a
// repeat that joined one.
void request_caller_left(state& self, caller_token token, context& at);

} // namespace bulrushspring::requests

#endif
