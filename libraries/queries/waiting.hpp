#ifndef BULRUSHSPRING_LIBRARIES_QUERIES_WAITING_HPP
#define BULRUSHSPRING_LIBRARIES_QUERIES_WAITING_HPP

#include "libraries/queries/fan_out.hpp"

// Queues of the queries that wait for a free connection, one for each shard of
// a snapshot, earliest deadline first.
namespace bulrushspring::queries
{

wait_queue_key key_of(const query& query, manifest::shard_id shard);

// Adds a shard of the query to its queue. Returns false if too many shards are
// waiting already.
bool wait_for_connection(state& self, const query& query,
                         manifest::shard_id shard);

void stop_waiting(state& self, const query& query, manifest::shard_id shard);

// Whether other queries wait for this shard; they take precedence.
bool has_waiters(const state& self, const query& query,
                 manifest::shard_id shard);

// Records that a connection to a replica of the shard has become free.
void note_freed_connection(state& self, const query& query,
                           manifest::shard_id shard);

// Serves the queues for which a connection has become free, and a few others in
// turn.
void serve_waiting(step& step);

} // namespace bulrushspring::queries

#endif
