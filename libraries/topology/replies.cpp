#include "libraries/topology/replies.hpp"

#include "libraries/topology/peers.hpp"
#include "libraries/wire/frame.hpp"

#include <algorithm>

namespace bulrushspring::topology
{
namespace
{

using record_list = std::vector<const wire::published_record*>;

// A complete list up to this size fits into one frame.
constexpr std::size_t max_list_bytes = wire::max_frame_bytes - 64UL * 1024;

// An upper bound on the bytes that a record takes in a frame.
std::size_t size_of(const wire::published_record& record)
{
    constexpr std::size_t max_overhead = 32; // lengths, revision and flag
    return record.key.size() + record.content.size() + max_overhead;
}

std::size_t size_of(const record_list& records)
{
    std::size_t total = 0;
    for (const auto* each : records) {
        total += size_of(*each);
    }
    return total;
}

// Whether a peer that knows all changes up to `after` may have records whose
// removal is not known here any more, or never was.
bool needs_complete_list(const state& self, std::uint64_t after)
{
    const bool skipped =
        after > self.skipped_from && after < self.skipped_until;
    return after == 0 || after < self.forgotten_revision || skipped;
}

// The records of kinds that a level knows and that are selected, oldest first.
template <typename Select>
record_list collect(const state& self, std::uint32_t level, Select selects)
{
    record_list records;
    for (const auto& [key, known] : self.records) {
        if (known.since_level <= level && selects(known)) {
            records.push_back(&known.published);
        }
    }
    std::stable_sort(records.begin(), records.end(),
                     [](const auto* one, const auto* other) {
                         return one->revision < other->revision;
                     });
    return records;
}

// The existing records that come after a revision.
record_list existing_after(const state& self, std::uint32_t level,
                           std::uint64_t after)
{
    return collect(self, level, [&](const known_record& known) {
        return !known.published.removed && known.published.revision > after;
    });
}

// The changes after a revision, removals included.
record_list changes_after(const state& self, std::uint32_t level,
                          std::uint64_t after)
{
    return collect(self, level, [&](const known_record& known) {
        return known.published.revision > after;
    });
}

// The records that a reply with the changes up to `reached` lacks although the
// peer may have another content of them.
record_list content_in_use(const state& self,
                           const wire::record_changes_request& request,
                           std::uint64_t reached)
{
    const bool newer_table = table_version_of(self) > request.table_version;
    return collect(self, request.level, [&](const known_record& known) {
        const auto& published = known.published;
        if (published.removed) {
            return false;
        }
        if (published.key == self.table_key) {
            return newer_table && (published.revision <= request.after ||
                                   published.revision > reached);
        }
        return request.kept && known.kept &&
               published.revision <= request.after;
    });
}

// The number of records in the first piece of a sorted list. A piece ends only
// between revisions, of which a listing gives the same to several removals, and
// not before the present era: a peer that has followed the store into it
// discards what ends in an earlier one.
std::size_t count_in_piece(const record_list& records, std::uint64_t era)
{
    std::size_t bytes = 0;
    for (std::size_t i = 0; i < records.size(); ++i) {
        const bool may_end = i > 0 &&
                             records[i]->revision > records[i - 1]->revision &&
                             era_of(records[i - 1]->revision) >= era;
        bytes += size_of(*records[i]);
        if (may_end && bytes > piece_bytes) {
            return i;
        }
    }
    return records.size();
}

template <typename Reply>
void append(Reply& reply, const record_list& records, std::size_t count)
{
    reply.records.reserve(reply.records.size() + count);
    for (std::size_t i = 0; i < count; ++i) {
        reply.records.push_back(*records[i]);
    }
}

} // namespace

wire::records_reply records_after(const state& self, std::uint64_t after)
{
    constexpr std::uint32_t level = 0;
    wire::records_reply reply;
    reply.revision = basic_revision_of(self);
    if (needs_complete_list(self, after)) {
        const auto existing = existing_after(self, level, 0);
        if (size_of(existing) <= max_list_bytes) {
            reply.complete = true;
            append(reply, existing, existing.size());
            return reply;
        }
    }
    const auto changes = changes_after(self, level, after);
    const auto count = count_in_piece(changes, era_of(reply.revision));
    append(reply, changes, count);
    if (count < changes.size()) {
        reply.revision = changes[count - 1]->revision;
    }
    return reply;
}

wire::record_changes_reply
changes_for(const state& self, const wire::record_changes_request& request)
{
    wire::record_changes_reply reply;
    reply.level = protocol_level;
    reply.revision = self.revision;
    reply.complete =
        request.listed > 0 || needs_complete_list(self, request.after);
    const auto records =
        reply.complete ? existing_after(self, request.level, request.listed)
                       : changes_after(self, request.level, request.after);
    const auto count =
        count_in_piece(records, reply.complete ? 0 : era_of(self.revision));
    append(reply, records, count);
    reply.more = count < records.size();
    if (reply.complete) {
        return reply;
    }
    if (reply.more) {
        reply.revision = records[count - 1]->revision;
    }
    const auto in_use = content_in_use(self, request, reply.revision);
    append(reply, in_use, count_in_piece(in_use, 0));
    return reply;
}

std::optional<records_learned>
read_reply(const wire::peer_reply& reply,
           learned_record (*decode)(wire::published_record))
{
    records_learned learned;
    learned.source = "peer";
    const auto read = [&](const auto& received) {
        learned.revision = received.revision;
        learned.complete = received.complete;
        for (const auto& each : received.records) {
            learned.bytes += each.content.size();
            learned.records.push_back(decode(each));
        }
    };
    if (const auto* basic = std::get_if<wire::records_reply>(&reply)) {
        read(*basic);
        learned.level = 0;
        return learned;
    }
    if (const auto* changes = std::get_if<wire::record_changes_reply>(&reply)) {
        read(*changes);
        learned.level = changes->level;
        learned.more = changes->more;
        return learned;
    }
    return std::nullopt;
}

} // namespace bulrushspring::topology
