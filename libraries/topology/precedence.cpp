#include "libraries/topology/precedence.hpp"

#include "libraries/topology/peers.hpp"

namespace bulrushspring::topology
{
namespace
{

bool is_readable(const learned_record& learned)
{
    return !std::holds_alternative<unreadable>(learned.content);
}

// Whether the record is that of the routing table and holds none that is newer
// than the one in use.
bool keeps_table(const state& self, const learned_record& learned)
{
    if (!self.table || learned.published.key != self.table_key) {
        return false;
    }
    const auto* table = std::get_if<routing::table_pointer>(&learned.content);
    return learned.published.removed || table == nullptr ||
           (*table)->version <= self.table->version;
}

// Whether the record holds a table that is newer than the one in use. Versions
// of tables never go back, while the store's revisions do when it is restored.
bool is_newer_table(const state& self, const learned_record& learned)
{
    const auto* table = std::get_if<routing::table_pointer>(&learned.content);
    return table != nullptr && !learned.published.removed &&
           (!self.table || (*table)->version > self.table->version);
}

// Whether a peer's record that is unknown here has been removed: its revision
// is among those of which all changes are known.
bool was_removed(const state& self, const learned_record& learned,
                 const records_learned& event)
{
    const auto known_revision =
        learned.since_level == 0 ? basic_revision_of(self) : self.revision;
    return event.source != "store" &&
           learned.published.revision <= known_revision;
}

// Whether a peer keeps an evacuation that the restored store does not list.
bool is_kept_evacuation(const state& self, const learned_record& learned,
                        const records_learned& event)
{
    return event.source != "store" && !learned.published.removed &&
           std::holds_alternative<evacuation_record>(learned.content) &&
           era_of(learned.published.revision) < self.era;
}

// Whether the record can't be read, while its last content is known. That one
// stays in effect, unless the record still tells that the leaf is withdrawn.
bool keeps_readable(const known_record& known, const learned_record& learned)
{
    const auto* content = std::get_if<unreadable>(&learned.content);
    return content != nullptr && !content->withdrawn &&
           !learned.published.removed && !known.published.removed;
}

} // namespace

bool has_revision(const wire::published_record& record)
{
    return store_revision_of(record.revision) > 0;
}

precedence precedence_of(const state& self, const learned_record& learned,
                         const records_learned& event)
{
    const auto& published = learned.published;
    if (!has_revision(published)) {
        return precedence::ignored;
    }
    if (is_newer_table(self, learned)) {
        return precedence::received;
    }
    const auto found = self.records.find(published.key);
    if (found == self.records.end()) {
        return was_removed(self, learned, event) &&
                       !is_kept_evacuation(self, learned, event)
                   ? precedence::ignored
                   : precedence::received;
    }
    const auto& known = found->second;
    if (published.revision < known.published.revision) {
        return precedence::ignored;
    }
    if (published.revision == known.published.revision) {
        // A peer may know the last content that could be read.
        return !known.readable && !published.removed && is_readable(learned)
                   ? precedence::received
                   : precedence::ignored;
    }
    return keeps_table(self, learned) || keeps_readable(known, learned)
               ? precedence::known_content
               : precedence::received;
}

} // namespace bulrushspring::topology
