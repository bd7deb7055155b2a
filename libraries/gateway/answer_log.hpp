#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_ANSWER_LOG_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_ANSWER_LOG_HPP

#include "libraries/gateway/exchange.hpp"

// Log lines of attempts without success, and log lines and counters of final
// answers. Internal to exchange.cpp.
namespace bulrushspring::gateway
{

// Logs a leaf's answer to an attempt that is no success.
void log_unsuccessful_reply(exchange_step&, const exchange&,
                            const attempt& ended, const leaf_reply&);

// Logs an attempt whose connection ended without an answer.
void log_broken_off(exchange_step&, const exchange&, const attempt& ended,
                    const error& cause);

// The counter that an answer of this kind increments.
metrics::counter counter_for(const exchange&, answer_kind);

void log_answer(exchange_step&, const exchange&, answer_kind);

// Logs each part without an answer.
void log_missing_parts(exchange_step&, const exchange&);

} // namespace bulrushspring::gateway

#endif
