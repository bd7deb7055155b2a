#include "libraries/poison/poison.hpp"

#include <algorithm>
#include <tuple>

namespace bulrushspring::poison
{
namespace
{

std::uint64_t raw(fingerprint of)
{
    return static_cast<std::uint64_t>(of);
}

const record* find(const state& self, fingerprint of)
{
    const auto found = self.records.find(raw(of));
    return found == self.records.end() ? nullptr : &found->second;
}

// Makes room for another record: erases the one with the fewest crashes one
// after the other, of these with the fewest leafs, and of these the one not
// seen for longest.
void evict_one(state& self)
{
    const auto least = std::min_element(
        self.records.begin(), self.records.end(),
        [](const auto& one, const auto& other) {
            const auto rank = [](const record& of) {
                return std::tuple{consecutive_crashes(of), of.crashes.size(),
                                  of.seen_at};
            };
            return rank(one.second) < rank(other.second);
        });
    self.records.erase(least);
}

record& find_or_add(state& self, fingerprint of)
{
    const bool known = self.records.count(raw(of)) > 0;
    if (!known && self.records.size() >= self.settings.max_records) {
        evict_one(self);
    }
    return self.records[raw(of)];
}

void discard_crashes_before_answer(record& of)
{
    std::erase_if(of.crashes, [&](const crash& each) {
        return each.sent_at < of.answered_at;
    });
}

bool includes(const record& of, std::uint64_t leaf_process)
{
    return std::any_of(
        of.crashes.begin(), of.crashes.end(),
        [&](const crash& each) { return each.leaf_process == leaf_process; });
}

bool share_a_crash(const record& one, const record& other)
{
    return std::any_of(
        one.crashes.begin(), one.crashes.end(),
        [&](const crash& each) { return includes(other, each.leaf_process); });
}

void discard_crashes_of(record& from, const record& other)
{
    std::erase_if(from.crashes, [&](const crash& each) {
        return includes(other, each.leaf_process);
    });
}

// Discards the last crash that does not count as a further one, since the count
// must not suffer; the last of all if each counts.
void discard_one(record& from)
{
    auto discarded = std::prev(from.crashes.end());
    boot_time ended_at = boot_time::min();
    for (auto it = from.crashes.begin(); it != from.crashes.end(); ++it) {
        if (it->sent_at > ended_at) {
            ended_at = it->ended_at;
        } else {
            discarded = it;
        }
    }
    from.crashes.erase(discarded);
}

bool insert(record& into, const crash& added, std::size_t max_kept)
{
    if (added.sent_at < into.answered_at ||
        includes(into, added.leaf_process)) {
        return false;
    }
    // Crashes that ended at the same time are ordered too, so that the count
    // doesn't depend on the order in which they arrive.
    const auto ends_later = [](const crash& one, const crash& other) {
        return std::tie(one.ended_at, one.sent_at, one.leaf_process) <
               std::tie(other.ended_at, other.sent_at, other.leaf_process);
    };
    into.crashes.insert(std::upper_bound(into.crashes.begin(),
                                         into.crashes.end(), added, ends_later),
                        added);
    if (into.crashes.size() > max_kept) {
        discard_one(into);
    }
    return includes(into, added.leaf_process);
}

} // namespace

std::uint32_t consecutive_crashes(const record& of)
{
    std::uint32_t count = 0;
    boot_time ended_at = boot_time::min();
    for (const auto& each : of.crashes) { // ordered by their ends
        if (each.sent_at > ended_at) {
            ++count;
            ended_at = each.ended_at;
        }
    }
    return count;
}

std::uint32_t crashes_of(const state& self, fingerprint of)
{
    const auto* known = find(self, of);
    return known == nullptr ? 0 : consecutive_crashes(*known);
}

bool add_crash(state& self, fingerprint of, const crash& added, boot_time now)
{
    auto& into = find_or_add(self, of);
    into.seen_at = std::max(into.seen_at, now);
    return insert(into, added, self.settings.max_crashes_kept);
}

bool add_answer(state& self, fingerprint of, boot_time now)
{
    const auto found = self.records.find(raw(of));
    if (found == self.records.end()) {
        return false;
    }
    auto& answered = found->second;
    const bool suspected = !answered.crashes.empty();
    answered.answered_at = std::max(answered.answered_at, now);
    answered.seen_at = std::max(answered.seen_at, now);
    discard_crashes_before_answer(answered);
    return suspected;
}

bool is_suspect(const state& self, fingerprint of)
{
    const auto* known = find(self, of);
    return known != nullptr && !known->crashes.empty();
}

bool is_poison(const state& self, fingerprint of)
{
    const auto* known = find(self, of);
    if (known == nullptr) {
        return false;
    }
    const auto crashes = consecutive_crashes(*known);
    if (crashes < self.settings.max_crashes) {
        return false;
    }
    record unexplained = *known;
    bool tied = false;
    for (const auto& [key, other] : self.records) {
        if (key == raw(of) || !share_a_crash(*known, other)) {
            continue;
        }
        const auto others = consecutive_crashes(other);
        tied = tied || others == crashes;
        if (others > crashes) {
            discard_crashes_of(unexplained, other);
        }
    }
    const auto own = consecutive_crashes(unexplained);
    return own >=
           (tied ? self.settings.max_tied_crashes : self.settings.max_crashes);
}

duration add_refusal(state& self, fingerprint of, boot_time now)
{
    auto& refused = find_or_add(self, of);
    refused.seen_at = std::max(refused.seen_at, now);
    return self.settings.retention;
}

std::vector<fingerprint> to_blame(const state& self,
                                  std::span<const fingerprint> running)
{
    std::uint32_t most = 0;
    for (const auto each : running) {
        most = std::max(most, crashes_of(self, each));
    }
    std::vector<fingerprint> blamed;
    for (const auto each : running) {
        if (crashes_of(self, each) == most) {
            blamed.push_back(each);
        }
    }
    return blamed;
}

bool merge(state& self, const wire::crash_report& report, boot_time now)
{
    const fingerprint of{report.fingerprint};
    const bool tells_nothing =
        report.crashes.empty() && report.answered_ms_ago == wire::never_ago;
    if (report.seen_ms_ago == wire::never_ago ||
        (tells_nothing && find(self, of) == nullptr)) {
        return false;
    }
    const boot_time seen_at = wire::time_of(report.seen_ms_ago, now);
    if (now - seen_at >= self.settings.retention) {
        return false;
    }
    auto& into = find_or_add(self, of);
    // A refusal long after the last one renews the retention everywhere.
    bool changed = !into.crashes.empty() &&
                   seen_at - into.seen_at >= self.settings.retention / 2;
    into.seen_at = std::max(into.seen_at, seen_at);
    const boot_time answered_at = wire::time_of(report.answered_ms_ago, now);
    const bool was_suspect = !into.crashes.empty();
    if (answered_at > into.answered_at) {
        into.answered_at = answered_at;
        discard_crashes_before_answer(into);
        changed = changed || (was_suspect && into.crashes.empty());
    }
    for (const auto& each : report.crashes) {
        const crash added{each.leaf_process,
                          wire::time_of(each.sent_ms_ago, now),
                          wire::time_of(each.ended_ms_ago, now)};
        changed =
            insert(into, added, self.settings.max_crashes_kept) || changed;
    }
    return changed;
}

wire::crash_report report_of(const state& self, fingerprint of, boot_time now)
{
    wire::crash_report report;
    report.fingerprint = raw(of);
    const auto* known = find(self, of);
    if (known == nullptr) {
        return report;
    }
    report.seen_ms_ago = wire::age_of(known->seen_at, now);
    report.answered_ms_ago = wire::age_of(known->answered_at, now);
    for (const auto& each : known->crashes) {
        report.crashes.push_back({each.leaf_process,
                                  wire::age_of(each.sent_at, now),
                                  wire::age_of(each.ended_at, now)});
    }
    return report;
}

void expire(state& self, boot_time now)
{
    std::erase_if(self.records, [&](const auto& each) {
        return now - each.second.seen_at >= self.settings.retention;
    });
}

} // namespace bulrushspring::poison
