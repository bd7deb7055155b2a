#include "libraries/configuration/events.hpp"
#include "libraries/configuration/internal.hpp"

#include <algorithm>

namespace bulrushspring::configuration
{
namespace
{

// After this many daemons, or once all were asked, the check starts over.
constexpr std::size_t max_asked = 16;
constexpr duration restart_delay = milliseconds{500};
// Added to the timeout of a request, after which its reply counts as lost.
constexpr duration reply_grace_period = seconds{1};

bool was_asked(const peer_check& check, const std::string& name)
{
    return std::find(check.asked_peers.begin(), check.asked_peers.end(),
                     name) != check.asked_peers.end();
}

// Returns a random live member that has not been asked yet, or null.
const wire::member_record* choose_member(state& self, const peers& fleet)
{
    const std::size_t count = fleet.live.size();
    if (count == 0 || self.check->asked_peers.size() >= max_asked) {
        return nullptr;
    }
    const std::size_t start = random_below(self.random, count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto& member = fleet.live[(start + i) % count];
        if (member.name != fleet.self.name &&
            !was_asked(*self.check, member.name)) {
            return &member;
        }
    }
    return nullptr;
}

void ask_next_member(state& self, const peers& fleet, context& context)
{
    peer_check& check = *self.check;
    if (context.now < check.next_request_at) {
        return;
    }
    const auto* member = choose_member(self, fleet);
    if (member == nullptr) {
        check.asked_peers.clear();
        check.answers = 0;
        check.next_request_at = context.now + restart_delay;
        return;
    }
    check.asked_peers.push_back(member->name);
    const auto exchange = context.new_identifier<exchange_id>();
    const duration timeout = self.settings.peer_timeout;
    check.outstanding = {exchange, context.now + timeout + reply_grace_period};
    check.asked_peer = {member->name, member->peer};
    context.emit(send_peer_request{exchange, member->peer,
                                   wire::documents_request{}, timeout});
}

bool is_finished(const state& self, const peers& fleet, boot_time now)
{
    const peer_check& check = *self.check;
    if (!self.in_force.accepted) {
        return false;
    }
    const auto others = static_cast<std::size_t>(std::count_if(
        fleet.live.begin(), fleet.live.end(),
        [&](const auto& member) { return member.name != fleet.self.name; }));
    const bool enough =
        check.answers > 0 &&
        check.answers >= std::min(self.settings.peers_to_check, others);
    const bool settled =
        now >= check.started_at + self.settings.membership_settle_time;
    if (settled && enough && !self.fetch) {
        return true;
    }
    return now >= check.deadline &&
           (!self.fetch ||
            now >= check.deadline + self.settings.fetch_grace_period);
}

// Returns whose answers confirmed the configuration, for the log and status.
const char* relied_on(const state& self)
{
    const bool platform =
        self.check->platform_answered ||
        (self.check->after_start && self.in_force_source == "platform");
    if (self.check->answers > 0) {
        return platform ? "both" : "peers";
    }
    return platform ? "platform" : "nobody";
}

void finish_check(state& self, context& context)
{
    self.relied_on = relied_on(self);
    context.emit(write_log{
        make_record(check_finished, field("version", self.in_force.id.version),
                    field("relied_on", self.relied_on),
                    field("answers", self.check->answers))});
    self.check.reset();
}

} // namespace

void start_check(state& self, bool after_start, boot_time now)
{
    self.check.emplace();
    self.check->after_start = after_start;
    self.check->started_at = now;
    self.check->deadline =
        now + (after_start ? self.settings.start_check_timeout
                           : self.settings.wake_check_timeout);
}

void continue_check(state& self, const peers& fleet, context& context)
{
    if (!self.check) {
        return;
    }
    auto& outstanding = self.check->outstanding;
    if (outstanding && context.now >= outstanding->expires) {
        outstanding.reset();
    }
    if (is_finished(self, fleet, context.now)) {
        finish_check(self, context);
        return;
    }
    if (!outstanding) {
        ask_next_member(self, fleet, context);
    }
}

void handle_check_reply(state& self, const result<wire::peer_reply>& reply,
                        context& context)
{
    self.check->outstanding.reset();
    if (!reply) {
        return;
    }
    const auto* received = std::get_if<wire::documents_reply>(&reply.value());
    if (received == nullptr) {
        return;
    }
    // The digest of a daemon that is not ready is empty.
    if (received->in_force.manifest_version > 0) {
        ++self.check->answers;
    }
    consider_digest(self, received->in_force, self.check->asked_peer, context);
}

} // namespace bulrushspring::configuration
