#ifndef BULRUSHSPRING_LIBRARIES_TOPOLOGY_RECORDS_HPP
#define BULRUSHSPRING_LIBRARIES_TOPOLOGY_RECORDS_HPP

#include "libraries/topology/topology.hpp"

// Changes to the known records, and to the leafs and the table that they hold.
// Internal to topology.cpp.
namespace bulrushspring::topology
{

// Adopts a record if its revision is higher than that of the known one.
void apply_record(state&, const learned_record&, const records_learned&,
                  outcome&, context&);

// Adopts the routing table of an answer whose other records are outdated, if it
// is newer than the one in use.
void apply_newer_table(state&, const records_learned&, outcome&, context&);

// Removes the records that a complete listing lacks, except those published
// after the listing was made, those of kinds that its source doesn't know, and
// those that the store may have lost and that may still be written again. A
// table that is in use stays so.
void remove_unlisted(state&, const records_learned&, outcome&, context&);

// Ends the time in which records of the backup are unconfirmed: removes the
// leafs that did not write themselves again, and uses those that the store
// still lists.
void end_restore_grace(state&, outcome&, context&);

// Ends the evacuations that were in force before the store was restored, and
// that it has not listed since.
void end_evacuation_grace(state&, outcome&, context&);

// Notes that a complete list has taken this daemon from one revision to another
// without the changes in between; see state::skipped_until.
void note_skipped_changes(state&, std::uint64_t from,
                          std::uint64_t listed_revision);

// Forgets removals, and departed leafs, after their retention.
void purge_removals(state&, boot_time now);

} // namespace bulrushspring::topology

#endif
