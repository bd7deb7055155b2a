#ifndef BULRUSHSPRING_LIBRARIES_QUERIES_FAN_OUT_HPP
#define BULRUSHSPRING_LIBRARIES_QUERIES_FAN_OUT_HPP

#include "libraries/queries/state.hpp"
#include "libraries/reducer/effect.hpp"
#include "libraries/reducer/event.hpp"
#include "libraries/targets/targets.hpp"

#include <span>

// Sends the attempts of a query: first attempts, hedges and retries.
namespace bulrushspring::queries
{

// The states and the context that one step of the reducer works on.
struct step {
    state& self;
    targets::state& targets;
    bulrushspring::context& context;
};

// Sends the first attempt for each shard. Shards for which no connection is
// free are queued.
void send_all_shards(step& step, query& query);

// Sends an attempt for a shard that is waiting for a connection, and removes it
// from the queue. Returns false if still no connection is free.
bool send_waiting_shard(step& step, query& query, manifest::shard_id shard);

// Handles the end of an attempt without an answer: retries the shard unless
// other attempts for it are outstanding. `caused_load` says whether the attempt
// may have caused load on a leaf: if not, the retry is not charged to the
// budget.
void retry_shard(step& step, query& query, manifest::shard_id shard,
                 missing_reason reason, bool caused_load);

// Sends the hedges and retries that are due.
void send_due_attempts(step& step, query& query);

// Marks a shard as covered and cancels its other outstanding attempts.
void mark_covered(step& step, query& query, manifest::shard_id shard);

// Cancels all outstanding attempts of a query and removes its shards from the
// queues for connections.
void cancel_all(step& step, query& query);

// Restarts the query on the snapshot that the manifest in force serves. Does so
// only if a shard was given up because the query's own snapshot is gone, the
// manifest serves another one, and enough time and restarts are left. Returns
// whether the query was restarted.
bool restart_if_snapshot_gone(step& step, query& query);

// The snapshot that the manifest in force serves instead of the query's. Null
// if it serves the same one, or none.
const manifest::snapshot* newer_snapshot(const step& step, const query& query);

// Sets a timer for the query, unless an earlier one is set.
void schedule_wakeup(state& self, query& query, boot_time at);

// When the query next has to be examined, for its timer.
boot_time next_action_time(const query& query, boot_time now);

} // namespace bulrushspring::queries

#endif
