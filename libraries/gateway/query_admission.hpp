#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_QUERY_ADMISSION_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_QUERY_ADMISSION_HPP

#include "libraries/gateway/exchange.hpp"

// Admission of queries that need every part. Internal to exchange.cpp.
//
// Load pattern: a burst at all shards. Each shard takes other queries, so that
// most lack the part of one shard, and what the others did for them was for
// nothing.
namespace bulrushspring::gateway
{

// Whether the parts of the exchange may be sent. A query that can't be answered
// without any of its parts is admitted once the limits of all shards admit it.
// Until then nothing of it is sent, and after max_admission_wait its parts
// fail, so that it is refused as not run.
bool admit(exchange_step&, exchange&);

} // namespace bulrushspring::gateway

#endif
