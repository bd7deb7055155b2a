#ifndef BULRUSHSPRING_LIBRARIES_REQUESTS_DISPATCH_HPP
#define BULRUSHSPRING_LIBRARIES_REQUESTS_DISPATCH_HPP

#include "libraries/requests/requests.hpp"

#include <string_view>

// Sends reads and requests to leafs, and handles those that can't be sent.
namespace bulrushspring::requests
{

// Sends a pending request to a leaf, queues it until a connection is free, or
// ends it if its deadline has passed or no replica is left. `why` is for the
// log: first, retry, hedge or waited.
void dispatch(state& self, targets::state& leafs, caller_token token,
              std::string_view why, context& at);

// Sends a second attempt of a read if hedging is enabled, the budget allows it
// and another replica is free now. Returns whether it was sent.
bool send_hedge(state& self, targets::state& leafs, caller_token token,
                context& at);

// Called after an attempt failed: sends another if the retry budget allows and
// ends the request otherwise. Does nothing while another attempt is open.
void retry_or_end(state& self, targets::state& leafs, caller_token token,
                  context& at);

// Ends a request without an answer. What is reported on its execution follows
// from the attempts that were made.
void end_without_answer(state& self, targets::state& leafs, caller_token token,
                        std::string_view reason, context& at);

} // namespace bulrushspring::requests

#endif
