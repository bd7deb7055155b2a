#include "libraries/poison/spread.hpp"

#include "libraries/poison/events.hpp"
#include "libraries/wire/frame.hpp"

#include <algorithm>
#include <tuple>

namespace bulrushspring::poison
{
namespace
{

// Crashes that have just been seen precede older ones at every daemon. So after
// the failure of many leafs the further crashes of a poison request get
// through, and reach the daemons that saw its first ones.
bool sent_before(const queued_report& one, const queued_report& other)
{
    return std::tie(other.crashes, other.crashed_at, one.transmissions) <
           std::tie(one.crashes, one.crashed_at, other.transmissions);
}

// The report of a request that a peer's report has changed. The peer has waited
// for an answer already.
queued_report forwarded(const state& table, fingerprint of, boot_time now)
{
    const auto found = table.records.find(static_cast<std::uint64_t>(of));
    if (found == table.records.end() || found->second.crashes.empty()) {
        return {of, 0, now, 0, now};
    }
    const auto& known = found->second;
    return {of, consecutive_crashes(known), known.crashes.back().ended_at, 0,
            now};
}

std::vector<queued_report>::iterator find(spread_state& self, fingerprint of)
{
    return std::find_if(self.queue.begin(), self.queue.end(),
                        [&](const auto& each) { return each.of == of; });
}

void enqueue(spread_state& self, const queued_report& added)
{
    const auto queued = find(self, added.of);
    if (queued != self.queue.end()) {
        const auto due = std::min(queued->due, added.due);
        *queued = added;
        queued->due = due;
        return;
    }
    if (self.queue.size() >= self.settings.max_queued) {
        const auto last =
            std::max_element(self.queue.begin(), self.queue.end(), sent_before);
        if (!sent_before(added, *last)) {
            return;
        }
        self.queue.erase(last);
    }
    self.queue.push_back(added);
}

void send_reports(spread_state& self, const state& table,
                  std::span<const wire::member_record> live, context& context)
{
    std::stable_sort(self.queue.begin(), self.queue.end(), sent_before);
    const auto report = [&](const queued_report& each) {
        return each.due > context.now
                   ? std::nullopt
                   : std::optional(report_of(table, each.of, context.now));
    };
    membership::send_queued(
        self.sender, self.queue, &wire::crash_reports::reports,
        wire::max_reports_in_datagram, report, live, context);
}

void request_reports(spread_state& self,
                     std::span<const wire::member_record> live,
                     context& context)
{
    const auto chosen = 1 + random_below(self.random, live.size() - 1);
    self.sync = context.new_identifier<exchange_id>();
    // Applies only if neither a reply nor a failure arrives.
    self.next_sync = context.now + 2 * self.settings.sync_timeout;
    context.emit(send_peer_request{*self.sync, live[chosen].peer,
                                   wire::crash_reports_request{},
                                   self.settings.sync_timeout});
}

} // namespace

spread_state make_spread(const spread_options& settings, std::uint64_t seed,
                         boot_time now)
{
    spread_state made;
    made.settings = settings;
    made.random.seed(seed);
    made.sender =
        membership::make_gossip_sender(settings.gossip, seed + 1, now);
    made.reply_bytes = limits::make_bucket(settings.reply_bytes_per_second,
                                           settings.reply_bytes_burst, now);
    made.initial_syncs_left = settings.initial_syncs;
    made.next_sync = now;
    return made;
}

void share(spread_state& self, fingerprint of, std::uint32_t crashes,
           boot_time now)
{
    const auto queued = find(self, of);
    const bool unsent =
        queued != self.queue.end() && queued->transmissions == 0;
    if (crashes == 0 && unsent && queued->crashes == 1 && queued->due > now) {
        self.queue.erase(queued);
        return;
    }
    const auto delay =
        crashes == 1 ? self.settings.first_crash_delay : duration{0};
    enqueue(self, {of, crashes, now, 0, now + delay});
}

void advance(spread_state& self, const state& table,
             std::span<const wire::member_record> live, context& context)
{
    if (context.now < next_wakeup(self)) {
        return;
    }
    const bool alone = live.size() < 2;
    if (context.now >= self.next_sync) {
        self.next_sync = context.now + self.settings.sync_retry;
        if (!alone) {
            request_reports(self, live, context);
        }
    }
    if (!self.queue.empty() && context.now >= self.sender.next_send) {
        self.sender.next_send = context.now + self.settings.gossip.interval;
        if (!alone) {
            send_reports(self, table, live, context);
        }
    }
}

void receive(spread_state& self, state& table,
             std::span<const wire::crash_report> reports,
             std::string_view source, context& context)
{
    std::size_t changed = 0;
    std::size_t poison = 0;
    for (const auto& each : reports) {
        if (!merge(table, each, context.now)) {
            continue;
        }
        const fingerprint of{each.fingerprint};
        ++changed;
        poison += is_poison(table, of) ? 1 : 0;
        enqueue(self, forwarded(table, of, context.now));
    }
    if (changed > 0) {
        context.emit(write_log{
            make_record(crashes_learned, field("source", source),
                        field("reports", reports.size()),
                        field("changed", changed), field("poison", poison))});
    }
}

void reply_to_request(spread_state& self, const state& table, peer_token token,
                      context& context)
{
    std::vector<std::pair<std::uint32_t, std::uint64_t>> ordered;
    for (const auto& [of, known] : table.records) {
        ordered.emplace_back(consecutive_crashes(known), of);
    }
    std::sort(ordered.rbegin(), ordered.rend());
    wire::crash_reports_reply reply;
    for (const auto& [crashes, of] : ordered) {
        auto report = report_of(table, fingerprint{of}, context.now);
        const auto size = static_cast<double>(wire::encoded_size(report));
        if (reply.reports.size() == wire::max_reports_in_frame ||
            !take(self.reply_bytes, size, context.now)) {
            break;
        }
        reply.reports.push_back(std::move(report));
    }
    context.emit(reply_to_peer{token, std::move(reply)});
}

void handle_reply(spread_state& self, state& table,
                  const peer_reply_received& replied, std::size_t fleet_size,
                  context& context)
{
    if (self.sync != replied.exchange) {
        return;
    }
    self.sync.reset();
    const auto* reply =
        replied.reply
            ? std::get_if<wire::crash_reports_reply>(&replied.reply.value())
            : nullptr;
    if (reply != nullptr) {
        receive(self, table, reply->reports, "request", context);
        self.initial_syncs_left -= std::min(self.initial_syncs_left, 1U);
    }
    const auto& settings = self.settings;
    if (reply == nullptr || self.initial_syncs_left > 0) {
        self.next_sync = context.now + settings.sync_retry;
        return;
    }
    const auto interval = std::max(settings.shortest_sync_interval,
                                   settings.sync_interval_per_member *
                                       static_cast<std::int64_t>(fleet_size));
    const double jitter = 0.5 + random_fraction(self.random);
    self.next_sync =
        context.now + std::chrono::duration_cast<duration>(interval * jitter);
}

boot_time next_wakeup(const spread_state& self)
{
    boot_time next = self.next_sync;
    if (!self.queue.empty()) {
        const auto first =
            std::min_element(self.queue.begin(), self.queue.end(),
                             [](const auto& one, const auto& other) {
                                 return one.due < other.due;
                             });
        next = std::min(next, std::max(self.sender.next_send, first->due));
    }
    return next;
}

} // namespace bulrushspring::poison
