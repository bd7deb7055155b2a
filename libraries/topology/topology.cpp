#include "libraries/topology/topology.hpp"

#include "libraries/topology/events.hpp"

#include <algorithm>

namespace bulrushspring::topology
{
namespace
{

bool reads_store(const state& self)
{
    return self.role != store_role::none;
}

// Exponential backoff up to a maximum, reduced by up to a half at random.
duration backoff(state& self)
{
    constexpr std::uint32_t max_doublings = 8;
    const auto doublings =
        std::min(self.failures == 0 ? 0 : self.failures - 1, max_doublings);
    const duration longest =
        std::min(self.settings.min_backoff * (std::int64_t{1} << doublings),
                 self.settings.max_backoff);
    const double jitter = 0.5 + 0.5 * random_fraction(self.random);
    return std::chrono::duration_cast<duration>(longest * jitter);
}

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
    result.changes.emplace_back(leaf_changed{leaf});
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
    } else {
        context.emit(write_log{make_record(
            record_unreadable, field("key", published.key),
            field("revision", published.revision),
            field("source", event.source),
            field("reason", std::get<unreadable>(learned.content).reason))});
        remove_leaf(self, published.key, published.revision, event.source,
                    result, context);
    }
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

void apply_record(state& self, const learned_record& learned,
                  const records_learned& event, outcome& result,
                  context& context)
{
    const auto& published = learned.published;
    auto& known = self.records[published.key];
    if (published.revision <= known.published.revision) {
        return;
    }
    if (keeps_table(self, learned)) {
        // Peers must learn the table in use, not the older one.
        known.published.revision = published.revision;
    } else {
        known.published = published;
    }
    known.removed_at = context.now;
    if (published.removed) {
        remove_leaf(self, published.key, published.revision, event.source,
                    result, context);
    } else {
        apply_content(self, learned, event, result, context);
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
}

// Whether the record was written in an earlier era than that of the revision,
// which a listing has, and not since.
bool is_of_earlier_era(const wire::published_record& record,
                       std::uint64_t listed_revision)
{
    return era_of(record.revision) < era_of(listed_revision);
}

// Removes the records that a complete listing lacks, except those published
// after the listing was made, and those that the store may have lost and that
// may still be written again.
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
        const auto& published = known.published;
        if (published.removed || published.revision > event.revision ||
            (self.restore_grace_until &&
             is_of_earlier_era(published, event.revision)) ||
            std::binary_search(listed_keys.begin(), listed_keys.end(), key)) {
            continue;
        }
        remove_record(self, key, known, event.revision, event.source, result,
                      context);
    }
}

// Makes the next call to the store a listing, and not a stale one.
void require_listing(state& self)
{
    self.listed = false;
    self.history_lost = true;
}

// Adopts a higher era of the store. The records have to be listed again, since
// the backup may lack some and its revisions are given out again.
void adopt_era(state& self, std::uint64_t era, context& context)
{
    if (era <= self.era) {
        return;
    }
    if (self.revision > 0) {
        context.emit(write_log{make_record(
            store_restored, field("era", self.era), field("new_era", era),
            field("revision", store_revision_of(self.revision)),
            field("kept", self.records.size()))});
        context.emit(add_to_counter{metrics::counter::store_restores});
    }
    self.era = era;
    self.era_heard_at = context.now;
    require_listing(self);
}

// Ends the time in which records of the backup are unconfirmed: removes the
// leafs that did not write themselves again, and uses those that the store
// still lists.
void end_restore_grace(state& self, outcome& result, context& context)
{
    constexpr std::string_view source = "restore_grace";
    self.restore_grace_until.reset();
    for (auto& [key, known] : self.records) {
        const auto& published = known.published;
        if (!published.removed && key != self.table_key &&
            is_of_earlier_era(published, self.revision)) {
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

void handle_store_answer(state& self, context& context)
{
    if (self.failures > 0) {
        context.emit(write_log{make_record(store_regained,
                                           field("failures", self.failures),
                                           field("revision", self.revision))});
    }
    self.failures = 0;
    self.call_in_progress = false;
    self.listed = true;
    self.history_lost = false;
    self.last_answer_at = context.now;
    self.next_call_at =
        context.now + (self.role == store_role::follower
                           ? self.settings.follower_watch_interval
                           : self.settings.watch_interval);
}

// Discards an answer of the store: it belongs to an earlier era, or reports
// changes of a later one whose records are not known yet.
void list_again(state& self, boot_time now)
{
    self.call_in_progress = false;
    require_listing(self);
    self.next_call_at = now + self.settings.watch_interval;
}

void call_store(state& self, outcome& result, context& context)
{
    self.call_in_progress = true;
    self.call_started_at = context.now;
    context.emit(add_to_counter{metrics::counter::platform_reads});
    if (self.listed) {
        result.calls.emplace_back(
            watch_changes{self.revision, self.role == store_role::follower
                                             ? self.settings.follower_wait
                                             : self.settings.leader_wait});
    } else {
        result.calls.emplace_back(read_all{!self.history_lost});
    }
}

void request_from_peer(state& self, context& context)
{
    context.emit(write_log{
        make_record(peer_ahead, field("peer", to_string(self.peer_address)),
                    field("peer_revision", self.peer_revision),
                    field("revision", self.revision))});
    self.peer_exchange = context.new_identifier<exchange_id>();
    context.emit(send_peer_request{*self.peer_exchange, self.peer_address,
                                   wire::records_request{self.revision},
                                   self.settings.peer_timeout});
}

void handle_digest(state& self, const wire::member_record& from,
                   const wire::digest& digest, boot_time now)
{
    if (era_of(digest.manifest_version) >= self.era) {
        self.era_heard_at = now;
    }
    if (digest.manifest_version <=
        std::max(self.revision, self.peer_revision)) {
        return;
    }
    const bool waiting = self.peer_revision > self.revision;
    self.peer_revision = digest.manifest_version;
    self.peer_address = from.peer;
    if (!waiting) {
        self.peer_fetch_at =
            now + (reads_store(self)
                       ? self.settings.peer_fetch_delay
                       : self.settings.peer_fetch_delay_without_store);
    }
}

wire::records_reply records_after(const state& self, std::uint64_t after)
{
    wire::records_reply reply;
    reply.revision = self.revision;
    reply.complete = after < self.forgotten_revision || after == 0;
    for (const auto& [key, known] : self.records) {
        const auto& published = known.published;
        if (reply.complete ? !published.removed : published.revision > after) {
            reply.records.push_back(published);
        }
    }
    return reply;
}

} // namespace

state make_state(const options& settings, std::uint64_t seed, boot_time now)
{
    state made;
    made.settings = settings;
    made.random.seed(seed);
    made.next_call_at = now;
    return made;
}

void reduce(state& self, const tick& /*event*/, outcome& result,
            context& context)
{
    if (reads_store(self) && !self.call_in_progress &&
        context.now >= self.next_call_at) {
        call_store(self, result, context);
    }
    if (self.peer_revision > self.revision && !self.peer_exchange &&
        context.now >= self.peer_fetch_at) {
        request_from_peer(self, context);
    }
    if (self.restore_grace_until && context.now >= *self.restore_grace_until) {
        end_restore_grace(self, result, context);
    }
}

void reduce(state& self, const records_learned& event, outcome& result,
            context& context)
{
    const bool from_store = event.source == "store";
    const auto era = era_of(event.revision);
    const bool new_era = era > self.era;
    adopt_era(self, era, context);
    if (era < self.era || (from_store && new_era && !event.complete)) {
        if (from_store) {
            list_again(self, context.now);
        } else {
            self.peer_exchange.reset();
        }
        return;
    }
    if (self.revision > 0 && era > era_of(self.revision)) {
        self.restore_grace_until = context.now + self.settings.restore_grace;
    }
    for (const auto& each : event.records) {
        apply_record(self, each, event, result, context);
    }
    if (event.complete && event.revision >= self.revision) {
        remove_unlisted(self, event, result, context);
    }
    self.revision = std::max(self.revision, event.revision);
    if (from_store) {
        handle_store_answer(self, context);
    } else {
        self.peer_exchange.reset();
    }
    purge_removals(self, context.now);
}

void reduce(state& self, const store_failed& event, outcome& /*result*/,
            context& context)
{
    self.call_in_progress = false;
    context.emit(add_to_counter{metrics::counter::platform_failures});
    adopt_era(self, event.era, context);
    if (event.history_gone) {
        context.emit(write_log{
            make_record(history_gone, field("revision", self.revision))});
        require_listing(self);
        self.next_call_at = context.now;
        return;
    }
    ++self.failures;
    const duration wait = backoff(self);
    self.next_call_at = context.now + wait;
    if (self.failures == 1) {
        context.emit(write_log{
            make_record(store_lost, field("cause", to_string(event.cause)),
                        field("failures", self.failures),
                        field("retry_ms", to_milliseconds(wait)))});
    }
}

void reduce(state& self, const datagram_received& event, outcome& /*result*/,
            context& context)
{
    std::visit(
        [&](const auto& message) {
            if constexpr (requires { message.in_force; }) {
                handle_digest(self, message.from, message.in_force,
                              context.now);
            }
        },
        event.message);
}

void reduce(state& self, const peer_request_received& event,
            outcome& /*result*/, context& context)
{
    if (const auto* request =
            std::get_if<wire::records_request>(&event.request)) {
        context.emit(
            reply_to_peer{event.token, records_after(self, request->after)});
    }
}

void reduce(state& self, const peer_reply_received& event, outcome& /*result*/,
            context& context)
{
    if (self.peer_exchange != event.exchange) {
        return;
    }
    self.peer_exchange.reset();
    if (!event.reply) {
        // Wait for the next digest, which may come from another peer.
        self.peer_revision = self.revision;
        self.peer_fetch_at = context.now;
    }
}

void set_role(state& self, store_role role, boot_time now)
{
    if (!reads_store(self)) {
        self.next_call_at = std::max(self.next_call_at, now);
    }
    const bool promoted =
        role == store_role::leader && self.role == store_role::follower;
    if (promoted && self.failures == 0) {
        self.next_call_at =
            std::min(self.next_call_at, now + self.settings.watch_interval);
    }
    self.role = role;
}

wire::digest digest_of(const state& self)
{
    wire::digest digest;
    digest.manifest_version = self.revision;
    return digest;
}

bool peers_follow_era(const state& self, boot_time now)
{
    return self.era == 0 || now - self.era_heard_at < self.settings.era_timeout;
}

bool is_up_to_date(const state& self, boot_time now)
{
    if (reads_store(self) &&
        (self.last_answer_at == boot_time::min() || self.failures > 0)) {
        return false;
    }
    return self.peer_revision <= self.revision ||
           now - self.peer_fetch_at < self.settings.max_staleness;
}

boot_time next_wakeup(const state& self)
{
    boot_time next = boot_time::max();
    if (reads_store(self) && !self.call_in_progress) {
        next = self.next_call_at;
    }
    if (self.peer_revision > self.revision && !self.peer_exchange) {
        next = std::min(next, self.peer_fetch_at);
    }
    if (self.restore_grace_until) {
        next = std::min(next, *self.restore_grace_until);
    }
    return next;
}

} // namespace bulrushspring::topology
