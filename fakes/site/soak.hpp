#ifndef BULRUSHSPRING_FAKES_SITE_SOAK_HPP
#define BULRUSHSPRING_FAKES_SITE_SOAK_HPP

#include "fakes/site/callers.hpp"
#include "fakes/site/late_callers.hpp"

namespace bulrushspring::site
{

struct soak_options {
    site_options site;
    std::size_t callers = 12;
    std::size_t late_callers = 40; // of each daemon
    bool planned_only = false;     // inject only stops, SIGHUPs and changes
    bool evacuate = false;         // evacuate data centres, one after the other
    duration fault_duration = seconds{20}; // how long faults are injected
};

struct soak_report {
    std::vector<std::string> violations;
    std::vector<std::string> faults; // each injected fault, with its time
    caller_tally tally;
    late_tally late;
    std::size_t evacuations = 0;
    std::size_t cold_starts = 0;
    std::size_t cold_arrivals = 0; // most requests in a second at a cold leaf
    std::size_t store_calls = 0;   // requests that the store received
};

// Runs an installation of real daemons, injects overlapping faults chosen by
// the seed, and checks the guarantees from what callers and leafs observe.
// Finally clears all faults and requires that service recovers.
soak_report run_soak(const soak_options& options);

} // namespace bulrushspring::site

#endif
