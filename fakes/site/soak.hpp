#ifndef BULRUSHSPRING_FAKES_SITE_SOAK_HPP
#define BULRUSHSPRING_FAKES_SITE_SOAK_HPP

#include "fakes/site/callers.hpp"

namespace bulrushspring::site
{

struct soak_options {
    site_options site;
    std::size_t callers = 12;
    duration faults_for = seconds{20};
};

struct soak_report {
    std::vector<std::string> violations;
    std::vector<std::string> faults; // what was done, with its time
    caller_tally tally;
    std::size_t store_calls = 0;
};

// Runs an installation of real daemons, injects faults drawn from the seed,
// in series that overlap, and checks the promises from what callers, leafs
// and the store see. At the end all is healed and service has to recover.
soak_report run_soak(const soak_options& options);

} // namespace bulrushspring::site

#endif
