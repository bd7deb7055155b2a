#ifndef BULRUSHSPRING_LIBRARIES_TOPOLOGY_EVACUATIONS_HPP
#define BULRUSHSPRING_LIBRARIES_TOPOLOGY_EVACUATIONS_HPP

#include "libraries/topology/topology.hpp"

// The records by which the operator evacuates data centres. Internal to
// topology.cpp and records.cpp.
namespace bulrushspring::topology
{

// Puts an evacuation in force.
void begin_evacuation(state&, const wire::published_record&,
                      const evacuation_record&, outcome&, boot_time now);

// Ends the evacuation with this record key, if it is in force.
void end_evacuation(state&, const std::string& key, std::uint64_t revision,
                    outcome&);

// Whether the record is of an evacuation of an earlier era that stays in force
// although the store's backup lacks it.
bool keeps_evacuation(const state&, const std::string& key,
                      const wire::published_record&);

} // namespace bulrushspring::topology

#endif
