#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_CRASH_TRIALS_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_CRASH_TRIALS_HPP

#include "libraries/gateway/exchange.hpp"

// Has the attempts of suspects permitted by their arbiters; see
// libraries/poison/trials.hpp.
namespace bulrushspring::gateway
{

// Whether the exchange may not make an attempt before its arbiter has permitted
// one.
bool lacks_permission(const exchange_step&, exchange&);

// Asks for the permission at the end of the current step. Returns when the
// arbiter's reply is due.
boot_time want_permission(exchange_step&, exchange&);

// Reports a permission that the exchange, which ends, has not used.
void return_permission(exchange_step&, exchange&);

// Asks the arbiters for the permissions that are wanted, and reports the unused
// ones. `live` are the live members, of which the first is this daemon.
void ask_arbiters(exchange_step&, std::span<const wire::member_record> live);

// Replies as the arbiter. What the requester knows has been merged already.
void reply_to_trial_request(exchange_step&, peer_token,
                            const wire::crash_trial_request&);

// Handles an arbiter's reply, or its failure, which counts as a refusal.
// Replies to other requests are ignored.
void handle_trial_reply(exchange_step&, const peer_reply_received&);

// The final answer of an exchange whose trial was refused.
forward_answer refused_trial_answer(const exchange_step&, exchange&);

} // namespace bulrushspring::gateway

#endif
