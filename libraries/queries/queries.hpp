#ifndef BULRUSHSPRING_LIBRARIES_QUERIES_QUERIES_HPP
#define BULRUSHSPRING_LIBRARIES_QUERIES_QUERIES_HPP

#include "libraries/queries/state.hpp"
#include "libraries/reducer/effect.hpp"
#include "libraries/reducer/event.hpp"
#include "libraries/targets/targets.hpp"

// Query execution. A query is sent to all shards of one snapshot, the results
// are merged, and the answer lists the shards that it does not cover.
namespace bulrushspring::queries
{

state make_state(options settings);

// Starts a query that has been admitted. It is answered by an answer_caller
// effect, before the part of its deadline that `options::answer_reserve`
// describes begins.
void begin(state& self, targets::state& targets, caller_token token,
           const caller_request& request,
           const manifest::manifest_pointer& manifest, context& context);

void reduce(state& self, targets::state& targets, const tick& event,
            context& context);
void reduce(state& self, targets::state& targets, const leaf_answered& event,
            context& context);
void reduce(state& self, targets::state& targets, const leaf_failed& event,
            context& context);
void reduce(state& self, targets::state& targets,
            const caller_disconnected& event, context& context);
// Answers the queries as if their deadlines had passed.
void reduce(state& self, targets::state& targets, const queries_dropped& event,
            context& context);
void reduce(state& self, targets::state& targets, const manifest_changed& event,
            context& context);

// Assigns free connections to the shards that wait for one, earliest deadline
// first.
void assign_connections(state& self, targets::state& targets, context& context);

// Adds the queries that hold leafs' answers, with `holder` as their holder.
void list_candidates(const state& self, std::vector<memory::candidate>& all,
                     std::uint32_t holder);

// The number of queries that have not been answered.
std::size_t in_flight(const state& self);

// When the next tick is due.
boot_time next_wakeup(const state& self);

} // namespace bulrushspring::queries

#endif
