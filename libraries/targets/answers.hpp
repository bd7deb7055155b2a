#ifndef BULRUSHSPRING_LIBRARIES_TARGETS_ANSWERS_HPP
#define BULRUSHSPRING_LIBRARIES_TARGETS_ANSWERS_HPP

#include "libraries/reducer/effect.hpp"
#include "libraries/targets/state.hpp"

namespace bulrushspring::targets
{

// Updates the leaf's latency, error rate and concurrency limit, and the pool's
// hedge delay and hedging state, from one answer. `latency` is the time since
// the attempt was sent.
void record_answer(state& self, leaf_state& leaf, const leaf_answer& answer,
                   duration latency, context& context);

// Raises the leaf's error rate: it has sent bytes that are no answer.
void record_unusable_answer(leaf_state& leaf, boot_time now);

} // namespace bulrushspring::targets

#endif
