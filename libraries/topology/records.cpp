#include "libraries/topology/records.hpp"

#include "libraries/topology/evacuations.hpp"
#include "libraries/topology/events.hpp"
#include "libraries/topology/peers.hpp"
#include "libraries/topology/precedence.hpp"
#include "libraries/wire/frame.hpp"

#include <algorithm>

namespace bulrushspring::topology
{
namespace
{

std::string_view state_text(const routing::leaf& leaf)
{
    return leaf.draining ? "draining" : "ready";
}

// Whether the event reports a change that was made in the store's present era.
// A listing may contain what the backup held when the era began.
bool is_new_write(const records_learned& event)
{
    return event.source == "store" && !event.complete;
}

void remove_leaf(state& self, const std::string& key, std::uint64_t revision,
                 std::string_view source, outcome& result, context& context)
{
    self.unconfirmed.erase(key);
    const auto found = self.leafs.find(key);
    if (found == self.leafs.end()) {
        return;
    }
    const auto& leaf = found->second;
    context.emit(write_log{make_record(leaf_removed, field("leaf", leaf.id),
                                       field("revision", revision),
                                       field("source", source))});
    self.departed[key] = {leaf.incarnation, context.now};
    result.changes.emplace_back(leaf_gone{leaf.id});
    self.leafs.erase(found);
}

// Whether the record is from the backup, and its leaf had departed before the
// store was restored. An incarnation never returns from draining. One that was
// removed may return if it was alive after all, and then writes itself again.
bool is_outdated(const state& self, const std::string& key,
                 const routing::leaf& leaf, bool new_write)
{
    const auto found = self.departed.find(key);
    return self.restore_grace_until && !leaf.draining &&
           found != self.departed.end() &&
           found->second.incarnation == leaf.incarnation &&
           (!new_write || self.leafs.count(key) > 0);
}

void update_leaf(state& self, const wire::published_record& published,
                 const routing::leaf& leaf, const records_learned& event,
                 outcome& result, context& context)
{
    const auto& key = published.key;
    if (is_outdated(self, key, leaf, is_new_write(event))) {
        context.emit(write_log{make_record(
            leaf_unconfirmed, field("leaf", leaf.id), field("era", self.era),
            field("revision", store_revision_of(published.revision)),
            field("source", event.source))});
        self.unconfirmed[key] = leaf;
        return;
    }
    context.emit(write_log{make_record(
        leaf_listed, field("leaf", leaf.id), field("service", leaf.service),
        field("address", to_string(leaf.address)),
        field("state", state_text(leaf)), field("revision", published.revision),
        field("source", event.source))});
    self.unconfirmed.erase(key);
    if (leaf.draining) {
        self.departed[key] = {leaf.incarnation, context.now};
    } else {
        self.departed.erase(key);
    }
    self.leafs[key] = leaf;
    result.changes.emplace_back(leaf_changed{leaf, published.revision});
}

void update_table(state& self, const wire::published_record& published,
                  const routing::table_pointer& table,
                  const std::string& source, outcome& result, context& context)
{
    if (self.table && table->version <= self.table->version) {
        context.emit(write_log{make_record(
            table_refused, field("version", table->version),
            field("in_force", self.table->version),
            field("revision", published.revision), field("source", source))});
        return;
    }
    self.table = table;
    self.table_key = published.key;
    context.emit(write_log{make_record(
        table_accepted, field("version", table->version),
        field("routes", table->routes.size()),
        field("services", table->services.size()),
        field("revision", published.revision), field("source", source))});
    result.changes.emplace_back(table_changed{table});
}

void report_unreadable(const wire::published_record& published,
                       const unreadable& content, const std::string& source,
                       context& context)
{
    context.emit(add_to_counter{metrics::counter::records_unreadable});
    context.emit(write_log{make_record(
        record_unreadable, field("key", published.key),
        field("revision", published.revision), field("source", source),
        field("field", content.field), field("expected", content.expected),
        field("found", content.found))});
}

// Drains the leaf that is known, if one is. Its record can't be read, but still
// tells that it is being withdrawn.
void withdraw_leaf(state& self, const wire::published_record& published,
                   const records_learned& event, outcome& result,
                   context& context)
{
    self.unconfirmed.erase(published.key);
    const auto found = self.leafs.find(published.key);
    if (found == self.leafs.end() || found->second.draining) {
        return;
    }
    auto leaf = found->second;
    leaf.draining = true;
    update_leaf(self, published, leaf, event, result, context);
}

void apply_content(state& self, const learned_record& learned,
                   const records_learned& event, outcome& result,
                   context& context)
{
    const auto& published = learned.published;
    if (const auto* leaf = std::get_if<routing::leaf>(&learned.content)) {
        update_leaf(self, published, *leaf, event, result, context);
    } else if (const auto* table =
                   std::get_if<routing::table_pointer>(&learned.content)) {
        update_table(self, published, *table, event.source, result, context);
    } else if (const auto* made =
                   std::get_if<evacuation_record>(&learned.content)) {
        begin_evacuation(self, published, *made, result, context.now);
    } else {
        const auto& content = std::get<unreadable>(learned.content);
        report_unreadable(published, content, event.source, context);
        if (content.withdrawn) {
            withdraw_leaf(self, published, event, result, context);
        }
    }
}

void remove_record(state& self, const std::string& key, known_record& known,
                   std::uint64_t revision, std::string_view source,
                   outcome& result, context& context)
{
    auto& published = known.published;
    published.removed = true;
    published.revision = revision;
    published.content.clear();
    known.removed_at = context.now;
    remove_leaf(self, key, revision, source, result, context);
    end_evacuation(self, key, revision, result);
}

// Whether the record was written in an earlier era than that of the revision,
// which a listing has, and not since.
bool is_of_earlier_era(const wire::published_record& record,
                       std::uint64_t listed_revision)
{
    return era_of(record.revision) < era_of(listed_revision);
}

} // namespace

void apply_record(state& self, const learned_record& learned,
                  const records_learned& event, outcome& result,
                  context& context)
{
    const auto& published = learned.published;
    if (published.key.size() > wire::max_key_bytes ||
        published.content.size() > wire::max_document_bytes) {
        context.emit(add_to_counter{metrics::counter::records_unreadable});
        context.emit(write_log{make_record(
            record_too_large,
            field("key", published.key.substr(0, wire::max_key_bytes)),
            field("bytes", published.key.size() + published.content.size()),
            field("revision", published.revision),
            field("source", event.source))});
        return;
    }
    const auto* content = std::get_if<unreadable>(&learned.content);
    const auto choice = precedence_of(self, learned, event);
    if (choice == precedence::ignored) {
        if (!has_revision(published) && content != nullptr) {
            report_unreadable(published, *content, event.source, context);
        }
        return;
    }
    auto& known = self.records[published.key];
    const auto revision =
        std::max(known.published.revision, published.revision);
    const bool received = choice == precedence::received;
    known.since_level = learned.since_level;
    known.kept = !received || published.revision < revision ||
                 (!known.readable && known.published.revision == revision);
    if (received) {
        known.published = published;
        known.readable = published.removed || content == nullptr;
        if (!known.readable) {
            known.published.content = content->summary;
        }
    }
    known.published.revision = revision;
    known.removed_at = context.now;
    if (published.removed) {
        remove_leaf(self, published.key, published.revision, event.source,
                    result, context);
        end_evacuation(self, published.key, published.revision, result);
    } else {
        apply_content(self, learned, event, result, context);
    }
}

void apply_newer_table(state& self, const records_learned& event,
                       outcome& result, context& context)
{
    for (const auto& each : event.records) {
        const auto* table = std::get_if<routing::table_pointer>(&each.content);
        if (!each.published.removed && table != nullptr &&
            (!self.table || (*table)->version > self.table->version)) {
            apply_record(self, each, event, result, context);
        }
    }
}

void remove_unlisted(state& self, const records_learned& event, outcome& result,
                     context& context)
{
    std::vector<std::string> listed_keys;
    listed_keys.reserve(event.records.size());
    for (const auto& each : event.records) {
        listed_keys.push_back(each.published.key);
    }
    std::sort(listed_keys.begin(), listed_keys.end());
    for (auto& [key, known] : self.records) {
        auto& published = known.published;
        if (published.removed || known.since_level > event.level ||
            std::binary_search(listed_keys.begin(), listed_keys.end(), key)) {
            continue;
        }
        if (keeps_evacuation(self, key, published)) {
            known.kept = true;
            continue;
        }
        if (self.table && key == self.table_key) {
            known.kept = known.kept || published.revision < event.revision;
            published.revision = std::max(published.revision, event.revision);
            continue;
        }
        if (published.revision > event.revision ||
            (self.restore_grace_until &&
             is_of_earlier_era(published, event.revision))) {
            continue;
        }
        remove_record(self, key, known, event.revision, event.source, result,
                      context);
    }
}

void end_restore_grace(state& self, outcome& result, context& context)
{
    constexpr std::string_view source = "restore_grace";
    self.restore_grace_until.reset();
    for (auto& [key, known] : self.records) {
        const auto& published = known.published;
        if (!published.removed && key != self.table_key &&
            self.evacuations.count(key) == 0 &&
            is_of_earlier_era(published, basic_revision_of(self))) {
            remove_record(self, key, known, self.revision, source, result,
                          context);
        }
    }
    records_learned kept;
    kept.source = source;
    const auto believed = std::exchange(self.unconfirmed, {});
    for (const auto& [key, leaf] : believed) {
        update_leaf(self, self.records[key].published, leaf, kept, result,
                    context);
    }
}

void end_evacuation_grace(state& self, outcome& result, context& context)
{
    self.evacuation_grace_until.reset();
    const auto in_force = self.evacuations;
    for (const auto& [key, made] : in_force) {
        auto& known = self.records[key];
        if (is_of_earlier_era(known.published, self.revision)) {
            remove_record(self, key, known, self.revision, "evacuation_grace",
                          result, context);
        }
    }
}

void note_skipped_changes(state& self, std::uint64_t from,
                          std::uint64_t listed_revision)
{
    if (listed_revision <= from) {
        return;
    }
    self.forgotten_revision =
        std::max(self.forgotten_revision, self.skipped_until);
    self.skipped_from = from;
    self.skipped_until = listed_revision;
}

void purge_removals(state& self, boot_time now)
{
    for (auto it = self.records.begin(); it != self.records.end();) {
        const auto& published = it->second.published;
        if (published.removed &&
            now - it->second.removed_at > self.settings.removal_retention) {
            self.forgotten_revision =
                std::max(self.forgotten_revision, published.revision);
            it = self.records.erase(it);
        } else {
            ++it;
        }
    }
    std::erase_if(self.departed, [&](const auto& each) {
        return self.leafs.count(each.first) == 0 &&
               now - each.second.departed_at > self.settings.removal_retention;
    });
}

} // namespace bulrushspring::topology
