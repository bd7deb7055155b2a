#ifndef BULRUSHSPRING_LIBRARIES_EVACUATION_WARM_UP_HPP
#define BULRUSHSPRING_LIBRARIES_EVACUATION_WARM_UP_HPP

#include "libraries/evacuation/evacuation.hpp"

// How long leafs are cold, and how their load rises afterwards.
//
// A leaf's entry and its health answers state how long it stays cold. After the
// evacuation of its data centre it may have become cold without an entry that
// says so: until a newer one states otherwise, it counts as cold. Once it is
// warm, its load rises in steps.
namespace bulrushspring::evacuation
{

// What is known of one leaf. Forgotten when it restarts.
struct warm_up_state {
    boot_time cold_until{};
    std::uint64_t revision = 0; // of its entry
    boot_time entry_at{};       // when that was received
    boot_time answered_at{};    // when its last answer that told was requested
    boot_time answered_until{}; // until when it is cold by that answer
};

// What a service's configuration states of its leafs.
struct warm_up_limits {
    duration warm_up{0};   // how long a leaf stays cold at most; 0: not stated
    double per_second = 0; // requests that a cold leaf tolerates; 0: any number
};

// Adopts what a leaf's entry states.
void apply_entry(warm_up_state&, std::uint64_t revision,
                 duration cold_remaining, boot_time now);

// Adopts what an answer to a request sent at `sent_at` states.
void apply_answer(warm_up_state&, duration cold_remaining, boot_time sent_at,
                  boot_time now);

// Whether neither an evacuation nor a cold time affects the leaf's load any
// more. It is inexpensive, since it is asked for each request.
bool is_settled(const state&, const warm_up_state&, boot_time now);

// When the leaf's cold time ends, which may have passed.
boot_time cold_end(const state&, std::string_view data_centre,
                   const warm_up_state&, const warm_up_limits&);

// The share of its usual load that a leaf may get: 1 unless its data centre was
// evacuated, or it was cold with a limit, within the last seconds.
double load_share(const state&, std::string_view data_centre,
                  const warm_up_state&, const warm_up_limits&, boot_time now);

} // namespace bulrushspring::evacuation

#endif
