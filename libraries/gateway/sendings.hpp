#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_SENDINGS_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_SENDINGS_HPP

#include "libraries/gateway/exchange.hpp"

// The sendings of a part of a request: the first one, hedges and repeats.
// Not for use outside the exchanges.
namespace bulrushspring::gateway
{

// Does what is due for an open part: sends it, hedges it, moves it from a
// connection that does not open, or marks it as failed.
void act_on_part(exchange_step&, exchange&, request_part&);

// Withdraws the exchange's outstanding sendings. Answers to what was sent are
// still read; those of callers that left are given up after a while.
void withdraw(exchange_step&, exchange&, bool caller_left);
void withdraw_part(exchange_step&, exchange&, request_part&, bool caller_left);

// Takes note of how a sending ended, in the part and in what is believed of
// the leaf.
void note_fate(exchange_step&, request_part&, sending_id, const sending&,
               sending_fate);

// Forgets a sending that was not transmitted, and what it cost.
void forget_unsent(exchange_step&, request_part&, sending_id, const sending&);

// Sends what was started, on its connection, which is open.
void transmit(exchange_step&, exchange&, request_part&, sending&);

bool covers_enough(const exchange&);

} // namespace bulrushspring::gateway

#endif
