#include "libraries/configuration/events.hpp"
#include "libraries/configuration/internal.hpp"

#include <algorithm>

namespace bulrushspring::configuration
{
namespace
{

constexpr std::size_t max_sources = 8;
// Added to the timeout of a call, after which its reply counts as lost.
constexpr duration reply_grace_period = seconds{1};

void add_source(manifest_fetch& fetch, const document_source& source)
{
    const bool known = std::any_of(
        fetch.peers.begin(), fetch.peers.end(),
        [&](const auto& other) { return other.peer == source.peer; });
    if (!known && fetch.peers.size() < max_sources) {
        fetch.peers.push_back(source);
    }
}

// Starts to fetch another manifest. Sections already fetched for an earlier one
// are kept until the new index shows which of them are needed.
manifest_fetch& begin_fetch(state& self, const document_id& id,
                            const std::string& source, context& context)
{
    section_texts kept;
    if (self.fetch) {
        kept = std::move(self.fetch->sections);
    }
    self.fetch.emplace();
    self.fetch->id = id;
    self.fetch->source = source;
    self.fetch->sections = std::move(kept);
    context.emit(write_log{make_record(
        fetch_started, field("version", id.version),
        field("hash", to_string(id.hash)), field("source", source))});
    return *self.fetch;
}

// Stores the index and drops fetched sections that it does not list.
void set_index(manifest_fetch& fetch, const std::string& text,
               manifest::index&& index)
{
    fetch.index_text = std::make_shared<const std::string>(text);
    fetch.index = std::move(index);
    const auto& references = fetch.index->sections;
    std::erase_if(fetch.sections, [&](const auto& entry) {
        return std::none_of(
            references.begin(), references.end(),
            [&](const auto& one) { return one.hash == entry.first; });
    });
}

// Removes the daemon that was asked last, so that the next one is asked.
// Without any other source the fetch is abandoned.
void handle_peer_failure(state& self, const std::string& cause,
                         context& context)
{
    manifest_fetch& fetch = *self.fetch;
    fetch.pending_request.reset();
    std::string name;
    if (!fetch.peers.empty()) {
        name = fetch.peers.front().name;
        fetch.peers.erase(fetch.peers.begin());
    }
    context.emit(write_log{make_record(
        fetch_failed, field("version", fetch.id.version), field("peer", name),
        field("left", fetch.peers.size()), field("cause", cause))});
    if (fetch.peers.empty() && !fetch.available_at_platform) {
        abandon_fetch(self, context.now);
        ++self.fetch_failures;
        self.next_fetch_at = context.now + backoff(self, self.fetch_failures);
    }
}

void request_from_peer(state& self, wire::documents_request request,
                       context& context)
{
    manifest_fetch& fetch = *self.fetch;
    const auto exchange = context.new_identifier<exchange_id>();
    const duration timeout = self.settings.peer_timeout;
    fetch.pending_request = {exchange,
                             context.now + timeout + reply_grace_period};
    context.emit(send_peer_request{exchange, fetch.peers.front().peer,
                                   std::move(request), timeout});
}

std::size_t fetched_bytes(const manifest_fetch& fetch)
{
    std::size_t bytes = fetch.index_text->size();
    for (const auto& [hash, text] : fetch.sections) {
        bytes += text->size();
    }
    return bytes;
}

void activate(state& self, accepted_documents&& value, context& context)
{
    const manifest_fetch fetch = std::move(*self.fetch);
    self.fetch.reset();
    self.fetch_failures = 0;
    if (!is_newer(value.id, self.in_force.id)) {
        return;
    }
    record_version_conflict(self, value.id, context);
    self.in_force = std::move(value);
    self.in_force_since = context.now;
    self.in_force_source = fetch.source;
    self.announced = false;
    const auto& entries = self.in_force.accepted->entries;
    self.fleet_size = entries.vms.size() + entries.spare_vms;
    self.next_selection_at = context.now;
    context.emit(add_to_counter{metrics::counter::manifests_accepted});
    context.emit(write_log{make_record(
        manifest_accepted, field("version", self.in_force.id.version),
        field("hash", to_string(self.in_force.id.hash)),
        field("source", fetch.source),
        field("sections", self.in_force.sections.size()),
        field("changed", fetch.sections.size()),
        field("bytes", fetched_bytes(fetch)))});
    context.emit(raise_event{manifest_changed{self.in_force.accepted}});
}

void finish_fetch(state& self, context& context)
{
    const manifest_fetch& fetch = *self.fetch;
    auto value =
        validate(fetch.index_text, *fetch.index, self.in_force, fetch.sections);
    if (value) {
        activate(self, std::move(value).value(), context);
        return;
    }
    record_refusal(self, fetch.id, true, fetch.source,
                   manifest::summary(value.error()), context);
    abandon_fetch(self, context.now);
}

void handle_index(state& self, const std::string& text, context& context)
{
    manifest_fetch& fetch = *self.fetch;
    fetch.pending_request.reset();
    if (text.empty()) {
        handle_peer_failure(self, "the reply contains no index", context);
        return;
    }
    auto index = manifest::parse_index(text);
    if (!index) {
        handle_peer_failure(self, manifest::summary(index.error()), context);
        return;
    }
    // The daemon may have received a newer manifest since it sent its digest.
    const document_id id{index.value().version, index.value().hash};
    const bool expected = id.hash == fetch.id.hash;
    if ((!expected && !is_newer(id, fetch.id)) ||
        !is_newer(id, self.in_force.id) || refused_permanently(self, id.hash)) {
        handle_peer_failure(self, "the reply contains a different index",
                            context);
        return;
    }
    fetch.id = id;
    fetch.source = fetch.peers.front().name;
    set_index(fetch, text, std::move(index).value());
}

void handle_sections(state& self, const std::vector<wire::section>& sections,
                     context& context)
{
    manifest_fetch& fetch = *self.fetch;
    fetch.pending_request.reset();
    const auto missing =
        missing_sections(*fetch.index, self.in_force.texts, fetch.sections);
    std::size_t accepted_count = 0;
    for (const auto& section : sections) {
        const bool wanted = std::find(missing.begin(), missing.end(),
                                      section.hash) != missing.end();
        if (!wanted || hash_content(section.content) != section.hash) {
            continue;
        }
        fetch.sections.emplace(
            section.hash, std::make_shared<const std::string>(section.content));
        ++accepted_count;
    }
    if (accepted_count == 0) {
        handle_peer_failure(self, "the reply contains no requested section",
                            context);
    }
}

// Handles a section that is missing or damaged at the platform. Other daemons
// may still have the complete manifest.
void handle_section_failure(state& self, const std::string& reason,
                            context& context)
{
    manifest_fetch& fetch = *self.fetch;
    fetch.available_at_platform = false;
    record_refusal(self, fetch.id, false, "platform", reason, context);
    self.manifest_watch.unconditional_read_at = self.refusals.back().retry_at;
    if (fetch.peers.empty()) {
        abandon_fetch(self, context.now);
    }
}

// Updates the call rate for the size of the new fleet before the remaining
// sections are read, rather than once the manifest is in force.
void update_fleet_size(state& self, const std::string& text)
{
    const auto section = manifest::parse_section("fleet", text);
    if (!section) {
        return;
    }
    const auto& entries = std::get<manifest::fleet>(section.value());
    self.fleet_size =
        std::max<std::size_t>(1, entries.vms.size() + entries.spare_vms);
    self.call_limiter.per_second = fair_call_rate(
        self.settings.fleet_calls_per_second, self.fleet_size, self.selection);
}

void request_missing_sections(state& self, std::vector<content_hash> missing,
                              context& context)
{
    manifest_fetch& fetch = *self.fetch;
    if (fetch.available_at_platform &&
        call_platform(self, "section/" + to_string(missing.front()), 0,
                      duration{0}, context)) {
        fetch.section_read_pending = true;
        fetch.requested_section = missing.front();
        fetch.section_read_expires =
            context.now + self.settings.platform_timeout + reply_grace_period;
        return;
    }
    if (!fetch.peers.empty()) {
        wire::documents_request request;
        request.sections = std::move(missing);
        request_from_peer(self, std::move(request), context);
    }
}

void expire_requests(state& self, context& context)
{
    manifest_fetch& fetch = *self.fetch;
    if (fetch.section_read_pending &&
        context.now >= fetch.section_read_expires) {
        fetch.section_read_pending = false;
        handle_section_failure(self, "timed out reading a section", context);
    }
    if (self.fetch && fetch.pending_request &&
        context.now >= fetch.pending_request->expires) {
        handle_peer_failure(self, "request timed out", context);
    }
}

} // namespace

void abandon_fetch(state& self, boot_time now)
{
    self.fetch.reset();
    // Other manifests read from the platform during the fetch were ignored, so
    // the current one is to be read again soon.
    self.manifest_watch.unconditional_read_at =
        std::max(now, self.manifest_watch.unconditional_read_at -
                          self.settings.manifest_reread_interval);
}

void consider_peer_manifest(state& self, const document_id& seen,
                            const document_source& source, context& context)
{
    record_version_conflict(self, seen, context);
    if (!is_newer(seen, self.in_force.id) ||
        refused_permanently(self, seen.hash)) {
        return;
    }
    if (self.fetch && self.fetch->id == seen) {
        add_source(*self.fetch, source);
        return;
    }
    if (self.fetch && !is_newer(seen, self.fetch->id)) {
        return;
    }
    if (!self.fetch && context.now < self.next_fetch_at) {
        return;
    }
    add_source(begin_fetch(self, seen, source.name, context), source);
}

void consider_platform_manifest(state& self, const std::string& content,
                                context& context)
{
    const content_hash hash = hash_content(content);
    if (is_refused(self, hash, context.now)) {
        return;
    }
    auto index = manifest::parse_index(content);
    if (!index) {
        record_refusal(self, {0, hash}, true, "platform",
                       manifest::summary(index.error()), context);
        return;
    }
    const document_id id{index.value().version, hash};
    record_version_conflict(self, id, context);
    if (id.version < self.in_force.id.version &&
        !(id == self.last_older_version)) {
        ++self.older_versions_seen;
        self.last_older_version = id;
        context.emit(write_log{
            make_record(manifest_backwards, field("version", id.version),
                        field("in_force", self.in_force.id.version))});
    }
    if (!is_newer(id, self.in_force.id)) {
        return;
    }
    if (self.fetch && is_newer(self.fetch->id, id)) {
        return;
    }
    if (!self.fetch || !(self.fetch->id == id)) {
        begin_fetch(self, id, "platform", context);
    }
    self.fetch->available_at_platform = true;
    if (!self.fetch->index) {
        set_index(*self.fetch, content, std::move(index).value());
    }
}

void continue_fetch(state& self, context& context)
{
    if (self.fetch) {
        expire_requests(self, context);
    }
    if (!self.fetch || self.fetch->pending_request ||
        self.fetch->section_read_pending) {
        return;
    }
    if (!self.fetch->index) {
        wire::documents_request request;
        request.manifest_index = true;
        request_from_peer(self, std::move(request), context);
        return;
    }
    auto missing = missing_sections(*self.fetch->index, self.in_force.texts,
                                    self.fetch->sections);
    if (missing.empty()) {
        finish_fetch(self, context);
        return;
    }
    request_missing_sections(self, std::move(missing), context);
}

void handle_documents_reply(state& self, const result<wire::peer_reply>& reply,
                            context& context)
{
    if (!reply) {
        handle_peer_failure(self, to_string(reply.error()), context);
        return;
    }
    const auto* received = std::get_if<wire::documents_reply>(&reply.value());
    if (received == nullptr) {
        handle_peer_failure(self, "unexpected type of reply", context);
        return;
    }
    if (!self.fetch->index) {
        handle_index(self, received->manifest_index, context);
        return;
    }
    handle_sections(self, received->sections, context);
}

void handle_platform_section(state& self, const platform_read_finished& event,
                             context& context)
{
    if (!self.fetch || !self.fetch->section_read_pending ||
        event.key != "section/" + to_string(self.fetch->requested_section)) {
        return;
    }
    manifest_fetch& fetch = *self.fetch;
    fetch.section_read_pending = false;
    if (!event.value || !event.value.value()) {
        const std::string cause =
            event.value ? "no such key" : to_string(event.value.error());
        handle_section_failure(self, event.key + ": " + cause, context);
        return;
    }
    const std::string& text = event.value.value()->content;
    if (hash_content(text) != fetch.requested_section) {
        handle_section_failure(
            self, event.key + ": content hash does not match", context);
        return;
    }
    const auto& references = fetch.index->sections;
    const bool is_fleet =
        std::any_of(references.begin(), references.end(), [&](const auto& one) {
            return one.name == "fleet" && one.hash == fetch.requested_section;
        });
    if (is_fleet) {
        update_fleet_size(self, text);
    }
    fetch.sections.emplace(fetch.requested_section,
                           std::make_shared<const std::string>(text));
}

} // namespace bulrushspring::configuration
