#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_ANSWER_LOG_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_ANSWER_LOG_HPP

#include "libraries/gateway/exchange.hpp"

// Log lines and counters of final answers. Internal to exchange.cpp.
namespace bulrushspring::gateway
{

// The counter that an answer of this kind increments.
metrics::counter counter_for(const exchange&, answer_kind);

void log_answer(exchange_step&, const exchange&, answer_kind);

// Logs each part without an answer.
void log_missing_parts(exchange_step&, const exchange&);

} // namespace bulrushspring::gateway

#endif
