#ifndef BULRUSHSPRING_LIBRARIES_POISON_TRIALS_HPP
#define BULRUSHSPRING_LIBRARIES_POISON_TRIALS_HPP

#include "libraries/poison/poison.hpp"

// Trials: attempts at a leaf of a request that has crashed several leafs at
// about the same moment, and therefore may or may not be poison. Daemons can't
// try it side by side, since each trial may crash another leaf. For each
// request one daemon, its arbiter, permits trials one at a time for the fleet.
namespace bulrushspring::poison
{

struct trial_options {
    // Trials are required from this time after the last crash that made the
    // request a suspect: until then, reports spread, and an innocent request is
    // answered by another leaf.
    duration required_after = seconds{2};
    // If a trial has no outcome, the next one is permitted after this time,
    // which doubles with each trial up to the longest.
    duration shortest_interval = seconds{10};
    duration longest_interval = seconds{160};
    // How long to wait for the arbiter.
    milliseconds arbiter_timeout{400};
    // Retry-After of a request that is refused because of another trial.
    duration retry_after = seconds{1};
};

// The trials of a request that this daemon has permitted as its arbiter.
struct permitted_trials {
    boot_time last_at = boot_time::min();
    duration interval{0}; // until the next one, if the last has no outcome
};

using trials =
    std::unordered_map<std::uint64_t, permitted_trials>; // by fingerprint

// Whether an attempt of the request has to be permitted by its arbiter: it has
// crashed as many leafs as a poison request, but too many of them at the same
// moment to be one.
bool requires_trial(const trial_options&, const state&, fingerprint,
                    boot_time now);

// Decides as the arbiter whether the request may be sent to one leaf now.
bool permit_trial(const trial_options&, trials&, const state&, fingerprint,
                  boot_time now);

// Notes that a trial that was permitted has not been made.
void withdraw_trial(trials&, fingerprint);

// Erases what is kept of requests that are no longer known.
void expire(trials&, const state&);

// The arbiter of a request: the live member that ranks highest by rendezvous
// hashing. `live` has at least this daemon, as its first member. Daemons whose
// views differ may choose different ones, which only permits more trials.
const wire::member_record&
arbiter_of(fingerprint, std::span<const wire::member_record> live);

} // namespace bulrushspring::poison

#endif
