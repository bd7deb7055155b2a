#include "libraries/configuration/events.hpp"
#include "libraries/configuration/internal.hpp"

#include <algorithm>

namespace bulrushspring::configuration
{
namespace
{

// The maximum size of all sections of a reply; a single section may be larger.
// The requester asks again for sections that were left out.
constexpr std::size_t max_reply_bytes = 1024UL * 1024;

void refill_tokens(state& self, boot_time now)
{
    const double elapsed =
        std::chrono::duration<double>(now - self.serving_updated_at).count();
    self.serving_tokens = std::min(
        self.settings.max_served_burst_bytes,
        self.serving_tokens + elapsed * self.settings.served_bytes_per_second);
    self.serving_updated_at = now;
}

// Takes the tokens for a text. Returns false, without taking any, if there are
// too few.
bool try_spend(state& self, const shared_text& text)
{
    const auto bytes = static_cast<double>(text->size());
    if (bytes > self.serving_tokens) {
        return false;
    }
    self.serving_tokens -= bytes;
    return true;
}

void add_sections(state& self, const wire::documents_request& request,
                  wire::documents_reply& reply, bool& limited)
{
    std::size_t bytes = 0;
    for (const auto& hash : request.sections) {
        const auto it = self.in_force.texts.find(hash);
        if (it == self.in_force.texts.end()) {
            continue;
        }
        bytes += it->second->size();
        if (bytes > max_reply_bytes && !reply.sections.empty()) {
            return;
        }
        if (!try_spend(self, it->second)) {
            limited = true;
            return;
        }
        reply.sections.push_back({hash, *it->second});
    }
}

} // namespace

void serve_documents(state& self, const peer_request_received& event,
                     const wire::documents_request& request, context& context)
{
    wire::documents_reply reply;
    if (!ready(self)) {
        context.emit(reply_to_peer{event.token, std::move(reply)});
        return;
    }
    refill_tokens(self, context.now);
    bool limited = false;
    reply.in_force = digest_of(self);
    if (request.manifest_index && try_spend(self, self.in_force.index_text)) {
        reply.manifest_index = *self.in_force.index_text;
    }
    limited = request.manifest_index && reply.manifest_index.empty();
    const auto vms = vms_text_for(self, request.vms_base);
    if (request.vms && vms.text) {
        if (try_spend(self, vms.text)) {
            reply.vms = *vms.text;
            reply.vms_base =
                vms.changes_only ? request.vms_base : content_hash{};
        } else {
            limited = true;
        }
    }
    add_sections(self, request, reply, limited);
    if (limited) {
        context.emit(write_log{
            make_record(serving_limited, field("to", to_string(event.from)))});
    }
    context.emit(reply_to_peer{event.token, std::move(reply)});
}

} // namespace bulrushspring::configuration
