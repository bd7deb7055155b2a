#include "libraries/configuration/events.hpp"
#include "libraries/configuration/internal.hpp"

#include <algorithm>

namespace bulrushspring::configuration
{
namespace
{

constexpr std::size_t max_deltas = 64;
constexpr std::size_t max_delta_changes = 4096;
// Added to the timeout of a request, after which its reply counts as lost.
constexpr duration reply_grace_period = seconds{1};
// A platform that has returned lower revisions for this long, and has published
// another one meanwhile, was rebuilt. One that is merely stale has caught up by
// then.
constexpr duration rebuild_detection_time = seconds{60};

// Lists are ordered like manifests: by revision, then by the lower hash.
document_id document_id_of(const vms_state& vms)
{
    return {vms.revision, vms.hash};
}

void store_delta(vms_state& vms, vm_list_delta&& delta)
{
    // Sending a large difference costs as much as sending the whole list.
    if (delta.from == content_hash{} ||
        delta.changes.size() > max_delta_changes) {
        vms.deltas.clear();
        return;
    }
    vms.deltas.push_back(std::move(delta));
    std::size_t changes = 0;
    for (const auto& one : vms.deltas) {
        changes += one.changes.size();
    }
    while (vms.deltas.size() > max_deltas || changes > max_delta_changes) {
        changes -= vms.deltas.front().changes.size();
        vms.deltas.pop_front();
    }
}

void activate(state& self, const document_id& id, manifest::vm_list&& list,
              std::string&& text, const std::string& source, std::size_t bytes,
              context& context)
{
    vms_state& vms = self.vms;
    store_delta(vms, {vms.hash, id.hash, manifest::difference(vms.list, list)});
    vms.revision = id.version;
    vms.hash = id.hash;
    vms.list = std::move(list);
    vms.text = std::make_shared<const std::string>(std::move(text));
    vms.source = source;
    self.announced = false;
    context.emit(write_log{make_record(
        vms_accepted, field("revision", vms.revision),
        field("hash", to_string(vms.hash)), field("source", source),
        field("live", vms.list.live.size()),
        field("leaving", vms.list.leaving.size()), field("bytes", bytes))});
    context.emit(raise_event{vms_changed{vms.list.live, vms.list.leaving}});
}

void log_refusal(const std::string& source, const std::string& reason,
                 context& context)
{
    context.emit(write_log{make_record(vms_refused, field("source", source),
                                       field("reason", reason))});
}

// Parses the list of a reply, which is either complete or relative to the list
// in force.
manifest::checked<manifest::vm_list>
parse_reply(const vms_state& vms, const wire::documents_reply& reply)
{
    if (reply.vms_base == content_hash{}) {
        return manifest::parse_vms(reply.vms);
    }
    if (reply.vms_base != vms.hash) {
        return manifest::validation_errors{{errc::hash_mismatch, "vms", "",
                                            "changes to the list in force",
                                            ""}};
    }
    const auto changes = manifest::parse_vm_changes(reply.vms);
    if (!changes) {
        return changes.error();
    }
    return manifest::apply(vms.list, changes.value());
}

// Called for a list from the platform that is not newer than the one in force.
// Returns whether the platform was rebuilt, so that its revisions restarted.
bool platform_was_rebuilt(vms_state& vms, std::uint64_t revision, boot_time now)
{
    if (!vms.lower_seen) {
        vms.lower_seen = true;
        vms.lower_since = now;
        vms.lower_revision = revision;
        return false;
    }
    return revision > vms.lower_revision &&
           now >= vms.lower_since + rebuild_detection_time;
}

// Converts a revision of the platform to one of the fleet; 0 if it would be
// negative.
std::uint64_t fleet_revision(const vms_state& vms, std::uint64_t revision)
{
    const auto sum = static_cast<std::int64_t>(revision) + vms.revision_offset;
    return sum > 0 ? static_cast<std::uint64_t>(sum) : 0;
}

} // namespace

void consider_vms(state& self, const wire::digest& seen,
                  const document_source& source, context& context)
{
    vms_state& vms = self.vms;
    const document_id id{seen.vms_revision, seen.vms_hash};
    if (id.hash == content_hash{} || !is_newer(id, document_id_of(vms))) {
        return;
    }
    if (id.hash == vms.hash) {
        vms.revision = id.version;
        return;
    }
    if (vms.pending_request || context.now < vms.next_request_at) {
        return;
    }
    wire::documents_request request;
    request.vms = true;
    request.vms_base = vms.hash;
    const auto exchange = context.new_identifier<exchange_id>();
    const duration timeout = self.settings.peer_timeout;
    vms.pending_request = {exchange,
                           context.now + timeout + reply_grace_period};
    vms.asked_peer = source;
    context.emit(
        send_peer_request{exchange, source.peer, std::move(request), timeout});
}

void handle_vms_reply(state& self, const result<wire::peer_reply>& reply,
                      context& context)
{
    vms_state& vms = self.vms;
    vms.pending_request.reset();
    vms.next_request_at = context.now + backoff(self, 0);
    const auto* received =
        reply ? std::get_if<wire::documents_reply>(&reply.value()) : nullptr;
    if (received == nullptr || received->vms.empty()) {
        return;
    }
    auto list = parse_reply(vms, *received);
    if (!list) {
        log_refusal(vms.asked_peer.name, manifest::summary(list.error()),
                    context);
        return;
    }
    std::string text = manifest::to_text(list.value());
    const document_id id{received->in_force.vms_revision, hash_content(text)};
    if (id.hash != received->in_force.vms_hash) {
        log_refusal(vms.asked_peer.name, "content hash does not match",
                    context);
        return;
    }
    if (!is_newer(id, document_id_of(vms))) {
        return;
    }
    vms.next_request_at = context.now;
    activate(self, id, std::move(list).value(), std::move(text),
             vms.asked_peer.name, received->vms.size(), context);
}

void handle_platform_vms(state& self, const platform_value& value,
                         context& context)
{
    vms_state& vms = self.vms;
    auto list = manifest::parse_vms(value.content);
    if (!list) {
        log_refusal("platform", manifest::summary(list.error()), context);
        return;
    }
    std::string text = manifest::to_text(list.value());
    document_id id{fleet_revision(vms, value.revision), hash_content(text)};
    if (id.hash == vms.hash) {
        vms.lower_seen = false;
        vms.revision = std::max(vms.revision, id.version);
        vms.revision_offset = static_cast<std::int64_t>(vms.revision) -
                              static_cast<std::int64_t>(value.revision);
        return;
    }
    if (!is_newer(id, document_id_of(vms))) {
        if (!platform_was_rebuilt(vms, value.revision, context.now)) {
            return;
        }
        id.version = vms.revision + 1;
        vms.revision_offset = static_cast<std::int64_t>(id.version) -
                              static_cast<std::int64_t>(value.revision);
        context.emit(write_log{make_record(
            vms_restarted, field("platform_revision", value.revision),
            field("revision", id.version))});
    }
    vms.lower_seen = false;
    activate(self, id, std::move(list).value(), std::move(text), "platform",
             value.content.size(), context);
}

vms_text vms_text_for(const state& self, const content_hash& base)
{
    const vms_state& vms = self.vms;
    const auto first = std::find_if(
        vms.deltas.begin(), vms.deltas.end(),
        [&](const vm_list_delta& one) { return one.from == base; });
    if (first == vms.deltas.end()) {
        return {vms.text, false};
    }
    // Merges the differences: the last state of each VM replaces earlier ones.
    manifest::vm_changes changes;
    for (auto it = first; it != vms.deltas.end(); ++it) {
        changes.insert(changes.end(), it->changes.begin(), it->changes.end());
    }
    std::stable_sort(changes.begin(), changes.end(),
                     [](const auto& left, const auto& right) {
                         return left.name < right.name;
                     });
    manifest::vm_changes merged;
    for (auto& change : changes) {
        if (!merged.empty() && merged.back().name == change.name) {
            merged.back() = std::move(change);
        } else {
            merged.push_back(std::move(change));
        }
    }
    return {std::make_shared<const std::string>(manifest::to_text(merged)),
            true};
}

} // namespace bulrushspring::configuration
