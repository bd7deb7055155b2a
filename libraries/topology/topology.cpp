#include "libraries/topology/topology.hpp"

#include "libraries/topology/events.hpp"

#include <algorithm>

namespace bulrushspring::topology
{
namespace
{

bool reads(const state& self)
{
    return self.role != store_role::none;
}

// A wait that doubles with each failure up to a limit, less up to a half.
duration backoff(state& self)
{
    constexpr std::uint32_t most_doublings = 8;
    const auto doublings =
        std::min(self.failures == 0 ? 0 : self.failures - 1, most_doublings);
    const duration whole =
        std::min(self.settings.least_backoff * (std::int64_t{1} << doublings),
                 self.settings.most_backoff);
    const double kept = 0.5 + 0.5 * random_fraction(self.random);
    return std::chrono::duration_cast<duration>(whole * kept);
}

std::string_view state_text(const routing::leaf& leaf)
{
    return leaf.draining ? "draining" : "ready";
}

void drop_leaf(state& self, const std::string& key,
               const wire::published_record& published,
               const std::string& source, outcome& result, context& context)
{
    const auto found = self.leaf_keys.find(key);
    if (found == self.leaf_keys.end()) {
        return;
    }
    context.emit(write_log{make_record(
        leaf_removed, field("leaf", found->second),
        field("revision", published.revision), field("source", source))});
    result.changes.emplace_back(leaf_gone{found->second});
    self.leaf_keys.erase(found);
}

void take_leaf(state& self, const wire::published_record& published,
               const routing::leaf& leaf, const std::string& source,
               outcome& result, context& context)
{
    context.emit(write_log{make_record(
        leaf_listed, field("leaf", leaf.id), field("service", leaf.service),
        field("address", to_string(leaf.address)),
        field("state", state_text(leaf)), field("revision", published.revision),
        field("source", source))});
    self.leaf_keys[published.key] = leaf.id;
    result.changes.emplace_back(leaf_changed{leaf});
}

void take_table(state& self, const wire::published_record& published,
                const routing::table_pointer& table, const std::string& source,
                outcome& result, context& context)
{
    if (self.table && table->version <= self.table->version) {
        context.emit(write_log{make_record(
            table_refused, field("version", table->version),
            field("in_force", self.table->version),
            field("revision", published.revision), field("source", source))});
        return;
    }
    self.table = table;
    context.emit(write_log{make_record(
        table_accepted, field("version", table->version),
        field("routes", table->routes.size()),
        field("services", table->services.size()),
        field("revision", published.revision), field("source", source))});
    result.changes.emplace_back(table_changed{table});
}

void take_content(state& self, const learned_record& learned,
                  const std::string& source, outcome& result, context& context)
{
    const auto& published = learned.published;
    if (const auto* leaf = std::get_if<routing::leaf>(&learned.content)) {
        take_leaf(self, published, *leaf, source, result, context);
    } else if (const auto* table =
                   std::get_if<routing::table_pointer>(&learned.content)) {
        take_table(self, published, *table, source, result, context);
    } else {
        context.emit(write_log{make_record(
            record_unreadable, field("key", published.key),
            field("revision", published.revision), field("source", source),
            field("reason", std::get<unreadable>(learned.content).reason))});
        drop_leaf(self, published.key, published, source, result, context);
    }
}

void take_record(state& self, const learned_record& learned,
                 const std::string& source, outcome& result, context& context)
{
    const auto& published = learned.published;
    auto& known = self.records[published.key];
    if (published.revision <= known.published.revision) {
        return;
    }
    known.published = published;
    known.removed_at = context.now;
    if (published.removed) {
        drop_leaf(self, published.key, published, source, result, context);
    } else {
        take_content(self, learned, source, result, context);
    }
}

// Of a whole listing: what it does not name has been removed, unless it was
// published after the listing was made.
void remove_unnamed(state& self, const records_learned& event, outcome& result,
                    context& context)
{
    std::vector<std::string> named;
    named.reserve(event.records.size());
    for (const auto& each : event.records) {
        named.push_back(each.published.key);
    }
    std::sort(named.begin(), named.end());
    for (auto& [key, known] : self.records) {
        auto& published = known.published;
        if (published.removed || published.revision > event.revision ||
            std::binary_search(named.begin(), named.end(), key)) {
            continue;
        }
        published.removed = true;
        published.revision = event.revision;
        published.content.clear();
        known.removed_at = context.now;
        drop_leaf(self, key, published, event.source, result, context);
    }
}

void forget_removals(state& self, boot_time now)
{
    for (auto it = self.records.begin(); it != self.records.end();) {
        const auto& published = it->second.published;
        if (published.removed &&
            now - it->second.removed_at > self.settings.removal_retention) {
            self.forgotten = std::max(self.forgotten, published.revision);
            it = self.records.erase(it);
        } else {
            ++it;
        }
    }
}

void note_store_answer(state& self, context& context)
{
    if (self.failures > 0) {
        context.emit(write_log{make_record(store_regained,
                                           field("failures", self.failures),
                                           field("revision", self.revision))});
    }
    self.failures = 0;
    self.calling = false;
    self.listed = true;
    self.history_lost = false;
    self.answered_at = context.now;
    self.call_at = context.now + (self.role == store_role::follower
                                      ? self.settings.follower_spacing
                                      : self.settings.watch_spacing);
}

void call_store(state& self, outcome& result, context& context)
{
    self.calling = true;
    self.waiting_since = context.now;
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

void ask_ahead(state& self, context& context)
{
    context.emit(write_log{
        make_record(peer_ahead, field("peer", to_string(self.seen_at)),
                    field("peer_revision", self.seen_revision),
                    field("revision", self.revision))});
    self.asking = context.new_identifier<exchange_id>();
    context.emit(ask_peer{*self.asking, self.seen_at,
                          wire::records_request{self.revision},
                          self.settings.peer_time_limit});
}

void consider_digest(state& self, const wire::member_record& from,
                     const wire::digest& seen, boot_time now)
{
    if (seen.manifest_version <= std::max(self.revision, self.seen_revision)) {
        return;
    }
    const bool waiting = self.seen_revision > self.revision;
    self.seen_revision = seen.manifest_version;
    self.seen_at = from.peer;
    if (!waiting) {
        self.fetch_at =
            now + (reads(self) ? self.settings.peer_advantage
                               : self.settings.peer_advantage_of_others);
    }
}

wire::records_reply records_after(const state& self, std::uint64_t after)
{
    wire::records_reply reply;
    reply.revision = self.revision;
    reply.whole = after < self.forgotten || after == 0;
    for (const auto& [key, known] : self.records) {
        const auto& published = known.published;
        if (reply.whole ? !published.removed : published.revision > after) {
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
    made.call_at = now;
    return made;
}

void reduce(state& self, const tick& /*event*/, outcome& result,
            context& context)
{
    if (reads(self) && !self.calling && context.now >= self.call_at) {
        call_store(self, result, context);
    }
    if (self.seen_revision > self.revision && !self.asking &&
        context.now >= self.fetch_at) {
        ask_ahead(self, context);
    }
}

void reduce(state& self, const records_learned& event, outcome& result,
            context& context)
{
    for (const auto& each : event.records) {
        take_record(self, each, event.source, result, context);
    }
    if (event.whole && event.revision >= self.revision) {
        remove_unnamed(self, event, result, context);
    }
    self.revision = std::max(self.revision, event.revision);
    if (event.source == "store") {
        note_store_answer(self, context);
    } else {
        self.asking.reset();
    }
    forget_removals(self, context.now);
}

void reduce(state& self, const store_failed& event, outcome& /*result*/,
            context& context)
{
    self.calling = false;
    context.emit(add_to_counter{metrics::counter::platform_failures});
    if (event.history_gone) {
        context.emit(write_log{
            make_record(history_gone, field("revision", self.revision))});
        self.listed = false;
        self.history_lost = true;
        self.call_at = context.now;
        return;
    }
    ++self.failures;
    const duration wait = backoff(self);
    self.call_at = context.now + wait;
    if (self.failures == 1) {
        context.emit(write_log{
            make_record(store_lost, field("cause", to_string(event.cause)),
                        field("failures", self.failures),
                        field("retry_ms", whole_milliseconds(wait)))});
    }
}

void reduce(state& self, const datagram_received& event, outcome& /*result*/,
            context& context)
{
    std::visit(
        [&](const auto& message) {
            if constexpr (requires { message.in_force; }) {
                consider_digest(self, message.from, message.in_force,
                                context.now);
            }
        },
        event.message);
}

void reduce(state& self, const peer_asked& event, outcome& /*result*/,
            context& context)
{
    if (const auto* asked =
            std::get_if<wire::records_request>(&event.request)) {
        context.emit(
            reply_to_peer{event.token, records_after(self, asked->after)});
    }
}

void reduce(state& self, const peer_replied& event, outcome& /*result*/,
            context& context)
{
    if (self.asking != event.exchange) {
        return;
    }
    self.asking.reset();
    if (!event.reply) {
        // The next digest names another peer to ask.
        self.seen_revision = self.revision;
        self.fetch_at = context.now;
    }
}

void set_role(state& self, store_role role, boot_time now)
{
    if (!reads(self)) {
        self.call_at = std::max(self.call_at, now);
    }
    const bool promoted =
        role == store_role::leader && self.role == store_role::follower;
    if (promoted && self.failures == 0) {
        self.call_at =
            std::min(self.call_at, now + self.settings.watch_spacing);
    }
    self.role = role;
}

wire::digest digest_of(const state& self)
{
    wire::digest digest;
    digest.manifest_version = self.revision;
    return digest;
}

bool fresh(const state& self, boot_time now)
{
    if (reads(self) &&
        (self.answered_at == boot_time::min() || self.failures > 0)) {
        return false;
    }
    return self.seen_revision <= self.revision ||
           now - self.fetch_at < self.settings.fresh_for;
}

boot_time next_wakeup(const state& self)
{
    boot_time next = boot_time::max();
    if (reads(self) && !self.calling) {
        next = self.call_at;
    }
    if (self.seen_revision > self.revision && !self.asking) {
        next = std::min(next, self.fetch_at);
    }
    return next;
}

} // namespace bulrushspring::topology
