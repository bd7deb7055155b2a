#include "libraries/membership/sync.hpp"

#include "libraries/membership/claims.hpp"
#include "libraries/membership/events.hpp"
#include "libraries/membership/members.hpp"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace bulrushspring::membership
{
namespace
{

using wire::member_record;

// Returns the span multiplied by a random factor from 0.5 to 1.5.
duration jittered(state& membership, duration span)
{
    const double factor = 0.5 + random_fraction(membership.random);
    return std::chrono::duration_cast<duration>(span * factor);
}

bool is_shared(const member_record& record)
{
    return record.status != wire::member_status::dead;
}

std::vector<member_record> known_records(const state& membership)
{
    std::vector<member_record> records;
    for (const auto& each : membership.members) {
        if (!each.record.name.empty() && is_shared(each.record)) {
            records.push_back(each.record);
        }
    }
    return records;
}

// Chooses the peer to ask: a live member or, before any is known, a seed or an
// entry named by the manifest.
std::optional<endpoint> choose_peer(state& membership)
{
    if (const auto member = pick_random_live(membership)) {
        return membership.members[*member].record.peer;
    }
    const auto& seeds = membership.seeds;
    const auto dead = take_next(rotation_of(membership, probe_class::dead),
                                membership.random);
    const bool prefer_dead = random_below(membership.random, 2) == 0;
    if (dead && (seeds.empty() || prefer_dead)) {
        return membership.members[*dead].record.peer;
    }
    if (seeds.empty()) {
        return std::nullopt;
    }
    return seeds[random_below(membership.random, seeds.size())];
}

duration sync_interval(const state& membership)
{
    const auto& settings = membership.settings;
    const auto size = static_cast<std::int64_t>(live_count(membership));
    return std::max(settings.shortest_sync_interval,
                    settings.sync_interval_per_member * size);
}

duration next_retry(state& membership)
{
    const auto& settings = membership.settings;
    const auto wait = jittered(membership, membership.sync_retry);
    membership.sync_retry =
        std::min(membership.sync_retry * 2, settings.longest_sync_retry);
    return wait;
}

// Applies the records of a full view. Returns the number of members that were
// not known before.
std::size_t merge_view(state& membership,
                       const std::vector<member_record>& records,
                       context& effects)
{
    std::size_t added = 0;
    std::size_t changed = 0;
    for (const auto& record : records) {
        const auto outcome = apply_claim(
            membership, record, claim_source::full_view, "sync", effects);
        added += outcome == claim_outcome::added ? 1 : 0;
        changed += outcome == claim_outcome::changed ? 1 : 0;
    }
    if (added + changed > 0) {
        effects.emit(write_log{
            make_record(members_synced, field("records", records.size()),
                        field("added", added), field("changed", changed))});
    }
    return added;
}

// Returns the records that the requester lacks or has an older version of. Dead
// members are included only if the requester knows them by an older record.
std::vector<member_record>
missing_records(const state& membership,
                const std::vector<member_record>& known)
{
    std::unordered_map<std::string_view, const member_record*> by_name;
    for (const auto& record : known) {
        by_name.emplace(record.name, &record);
    }
    std::vector<member_record> records;
    for (const auto& each : membership.members) {
        const auto found = by_name.find(each.record.name);
        const bool missing = found == by_name.end()
                                 ? is_shared(each.record)
                                 : newer(each.record, *found->second);
        if (missing && !each.record.name.empty()) {
            records.push_back(each.record);
        }
    }
    return records;
}

std::vector<member_record> sample_records(state& membership)
{
    std::vector<member_record> records = {self_record(membership)};
    for (std::size_t i = 1; i < membership.settings.sync_sample; ++i) {
        if (const auto member = pick_random_live(membership)) {
            records.push_back(membership.members[*member].record);
        }
    }
    return records;
}

} // namespace

void sync(state& membership, context& effects)
{
    if (effects.now < membership.next_sync) {
        return;
    }
    membership.next_sync = effects.now + next_retry(membership);
    const auto peer = choose_peer(membership);
    if (!peer || *peer == self_record(membership).peer) {
        return;
    }
    const auto& settings = membership.settings;
    // handle_sync_reply() replaces this value when the reply or its failure
    // arrives. It applies only if neither does.
    membership.next_sync = effects.now + 2 * settings.sync_timeout;
    membership.sync = effects.new_identifier<exchange_id>();
    effects.emit(
        send_peer_request{*membership.sync, *peer,
                          wire::members_request{known_records(membership)},
                          settings.sync_timeout});
}

void handle_sync_request(state& membership, const peer_request_received& asked,
                         const wire::members_request& request, context& effects)
{
    const bool complete = take(membership.full_replies, 1, effects.now);
    wire::members_reply reply;
    reply.known = complete ? missing_records(membership, request.known)
                           : sample_records(membership);
    effects.emit(reply_to_peer{asked.token, std::move(reply)});
    merge_view(membership, request.known, effects);
}

void handle_sync_reply(state& membership, const peer_reply_received& replied,
                       context& effects)
{
    if (!membership.sync || *membership.sync != replied.exchange) {
        return;
    }
    membership.sync.reset();
    const auto* reply =
        replied.reply.has_value()
            ? std::get_if<wire::members_reply>(&replied.reply.value())
            : nullptr;
    if (reply == nullptr) {
        const auto wait = next_retry(membership);
        membership.next_sync = effects.now + wait;
        const auto reason = replied.reply.has_value()
                                ? std::string("unexpected kind of reply")
                                : to_string(replied.reply.error());
        effects.emit(
            write_log{make_record(sync_failed, field("reason", reason),
                                  field("retry_ms", to_milliseconds(wait)))});
        return;
    }
    membership.sync_retry = membership.settings.shortest_sync_retry;
    // A view that added members may have been a sample, or come from a daemon
    // that has itself just joined, so the next sync follows soon.
    const auto added = merge_view(membership, reply->known, effects);
    const auto wait = added > 0 ? membership.settings.longest_sync_retry
                                : sync_interval(membership);
    membership.next_sync = effects.now + jittered(membership, wait);
}

} // namespace bulrushspring::membership
