#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_TABLE_PREPARATION_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_TABLE_PREPARATION_HPP

#include "libraries/gateway/leaf_pool.hpp"

// The connections that a new routing table needs before it takes effect.
namespace bulrushspring::gateway
{

// Adopts the connection limits of a table, and makes the first connections to
// the services it names due at once.
void prepare_for(leaf_pool&, const routing::table_pointer&, context&);

// Whether there are connections to the leafs of every service that the table
// routes to, as far as the quotas allow. Leafs whose last connection failed
// do not count.
bool is_prepared_for(const leaf_pool&, const routing::table&, boot_time now);

} // namespace bulrushspring::gateway

#endif
