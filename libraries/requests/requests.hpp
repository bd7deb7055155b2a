#ifndef BULRUSHSPRING_LIBRARIES_REQUESTS_REQUESTS_HPP
#define BULRUSHSPRING_LIBRARIES_REQUESTS_REQUESTS_HPP

#include "libraries/reducer/effect.hpp"
#include "libraries/requests/state.hpp"
#include "libraries/targets/targets.hpp"

#include <string>

// Dispatches single reads and non-idempotent requests; the latter run at most
// once. A caller needs a grant to have a non-idempotent request run. A grant
// is valid for one incarnation of one entry only, and that incarnation keeps a
// record of every request it dispatched until the grant can no longer be used.
namespace bulrushspring::requests
{

// `entry` is this daemon's name and `incarnation` its incarnation number. The
// seed determines the key of the grants and the jitter of retry delays.
state make_state(std::string entry, incarnation_number incarnation,
                 const options& settings, std::uint64_t seed);

// Issues a grant that is valid for options::grant_validity from `now`.
std::string issue_grant(state& self, boot_time now);

// Handles a request that needs no admission: a repeat that is answered from its
// record or joins the request in progress, or a request that is refused.
// Returns false, without an effect, if the request has to pass admission;
// reads always have to.
bool answer_without_admission(state& self, caller_token token,
                              const caller_request& request, context& at);

// Begins a read or a non-idempotent request that was admitted. If the same
// non-idempotent request was begun while this one waited for admission, it
// joins that one or is answered from its record.
void begin(state& self, targets::state& leafs, caller_token token,
           const caller_request& request,
           const manifest::manifest_pointer& manifest, context& at);

void reduce(state& self, targets::state& leafs, const tick& event, context& at);
void reduce(state& self, targets::state& leafs, const leaf_answered& event,
            context& at);
void reduce(state& self, targets::state& leafs, const leaf_failed& event,
            context& at);

// Cancels a read. A non-idempotent request continues and its outcome is
// recorded. Its answer_caller effect is still emitted, although no caller
// receives it, so that admission releases its slot.
void reduce(state& self, targets::state& leafs,
            const caller_disconnected& event, context& at);
void reduce(state& self, targets::state& leafs, const manifest_changed& event,
            context& at);

// Dispatches queued work for which a connection may have become free.
void advance(state& self, targets::state& leafs, context& at);

// The number of reads and requests without a final answer.
std::size_t in_flight(const state& self);

// When the next tick is due; boot_time::max() if none is.
boot_time next_wakeup(const state& self);

} // namespace bulrushspring::requests

#endif
