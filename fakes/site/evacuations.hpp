#ifndef BULRUSHSPRING_FAKES_SITE_EVACUATIONS_HPP
#define BULRUSHSPRING_FAKES_SITE_EVACUATIONS_HPP

#include "fakes/site/site.hpp"

namespace bulrushspring::site
{

// Evacuates data centres of an installation, one at a time, and checks that no
// request reaches their leafs, and no connection to them stays.
struct evacuations {
    std::string data_centre; // that is evacuated; empty: none
    boot_time begun_at{};
    std::size_t count = 0;               // that have begun
    std::set<std::string> reported = {}; // leafs with a violation
};

// How long an evacuation may take until it is in force.
inline constexpr seconds evacuate_time{5};

void begin(evacuations&, installation&, const std::string& data_centre,
           boot_time now);
void revoke(evacuations&, installation&);

// Returns a description of each new violation.
std::vector<std::string> check(evacuations&, const installation&,
                               boot_time now);

} // namespace bulrushspring::site

#endif
