#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_ATTEMPTS_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_ATTEMPTS_HPP

#include "libraries/gateway/exchange.hpp"

// The attempts of a request part: the first one, hedges and retries. Internal
// to exchange.cpp.
namespace bulrushspring::gateway
{

// Performs the action that is due for an open part: sends it, hedges it,
// cancels an attempt whose connection is not established in time, or marks
// the part as failed.
void advance_part(exchange_step&, exchange&, request_part&);

// Gives up an open part: the exchange is answered without it, if at all.
void fail_part(exchange&, request_part&);

// Whether an outstanding attempt of the part was sent.
bool awaits_answer(const exchanges_state&, const request_part&);

// Whether the exchange's request has been sent to no leaf, or was only refused
// as not run.
bool is_unsent(const exchanges_state&, const exchange&);

// Abandons the outstanding attempts of the exchange, or of one part. Attempts
// not sent yet are cancelled; answers to the others are still read, so that
// their connections can be reused. If the caller has left and the route is
// idempotent, they are read for caller_left_grace only.
void abandon_attempts(exchange_step&, exchange&, bool caller_disconnected);
void abandon_part_attempts(exchange_step&, exchange&, request_part&,
                           bool caller_disconnected);

// Records the outcome of an attempt without success in the part, and applies
// the penalty to the leaf.
void record_attempt_outcome(exchange_step&, request_part&, attempt_id,
                            const attempt&, attempt_outcome);

// Cancels an attempt that was not transmitted. Its connection is kept, and is
// idle once it is open.
void cancel_unsent(exchange_step&, request_part&, attempt_id);

// Removes an attempt that was not transmitted from the part and refunds its
// budget.
void remove_unsent(exchange_step&, request_part&, attempt_id, const attempt&);

// When a leaf should stop working on a request sent now. A part of a query is
// mostly of no use once the objective has passed, and an overloaded leaf must
// not work through a queue of such parts. A part that is still needed then is
// sent again with all the time that is left.
boot_time attempt_deadline(const exchange&, boot_time now);

// Whether a started attempt may be sent now that its connection is open: the
// leaf may have left, or may get no request any more, since the attempt began.
bool may_be_sent(exchange_step&, exchange&, const attempt&, const leaf_state&);

// Sends a started attempt; its connection must be open.
void transmit(exchange_step&, exchange&, request_part&, attempt&);

// Whether the covered parts suffice for a successful answer.
bool reaches_minimum_coverage(const exchange&);

} // namespace bulrushspring::gateway

#endif
