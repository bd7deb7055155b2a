#include "libraries/poison/trials.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace bulrushspring::poison
{
namespace
{

const record* find(const state& table, fingerprint of)
{
    const auto found = table.records.find(static_cast<std::uint64_t>(of));
    return found == table.records.end() ? nullptr : &found->second;
}

// Whether a leaf has answered the trial, or it has crashed the leaf.
bool has_outcome(const permitted_trials& permitted, const record& known)
{
    return known.answered_at >= permitted.last_at ||
           known.crashes.back().ended_at >= permitted.last_at;
}

} // namespace

bool requires_trial(const trial_options& settings, const state& table,
                    fingerprint of, boot_time now)
{
    const auto* known = find(table, of);
    const std::size_t enough = table.settings.max_crashes;
    if (known == nullptr || known->crashes.size() < enough ||
        is_poison(table, of)) {
        return false;
    }
    return now - known->crashes[enough - 1].ended_at >= settings.required_after;
}

bool permit_trial(const trial_options& settings, trials& permitted,
                  const state& table, fingerprint of, boot_time now)
{
    if (!requires_trial(settings, table, of, now)) {
        return !is_poison(table, of);
    }
    auto& last = permitted[static_cast<std::uint64_t>(of)];
    if (has_outcome(last, *find(table, of))) {
        last.interval = duration{0};
    } else if (now - last.last_at < last.interval) {
        return false;
    }
    last.last_at = now;
    last.interval = std::clamp(2 * last.interval, settings.shortest_interval,
                               settings.longest_interval);
    return true;
}

void withdraw_trial(trials& permitted, fingerprint of)
{
    const auto found = permitted.find(static_cast<std::uint64_t>(of));
    if (found != permitted.end()) {
        found->second.interval = duration{0};
    }
}

void expire(trials& permitted, const state& table)
{
    std::erase_if(permitted, [&](const auto& each) {
        return table.records.count(each.first) == 0;
    });
}

const wire::member_record& arbiter_of(fingerprint of,
                                      std::span<const wire::member_record> live)
{
    const auto rank = [&](const wire::member_record& member) {
        return stable_hash(member.name, static_cast<std::uint64_t>(of));
    };
    const auto* arbiter = &live.front();
    for (const auto& each : live.subspan(1)) {
        if (each.status == wire::member_status::alive &&
            rank(each) > rank(*arbiter)) {
            arbiter = &each;
        }
    }
    return *arbiter;
}

} // namespace bulrushspring::poison
