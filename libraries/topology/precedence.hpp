#ifndef BULRUSHSPRING_LIBRARIES_TOPOLOGY_PRECEDENCE_HPP
#define BULRUSHSPRING_LIBRARIES_TOPOLOGY_PRECEDENCE_HPP

#include "libraries/topology/topology.hpp"

// Decides between the content known of a record and one just received. Internal
// to this library. In general the higher revision wins. A kind of record whose
// known content can be worth more than that of a higher revision states so
// here; its record then has the higher revision with the known content, so that
// peers learn what is in use.
namespace bulrushspring::topology
{

enum class precedence : std::uint8_t {
    ignored,       // the received record changes nothing
    received,      // its content replaces the known one
    known_content, // only its revision is adopted
};

// Whether the record could be placed in the order of changes. The store counts
// from 1; a record whose revision could not be read has none.
bool has_revision(const wire::published_record&);

precedence precedence_of(const state&, const learned_record&,
                         const records_learned&);

} // namespace bulrushspring::topology

#endif
