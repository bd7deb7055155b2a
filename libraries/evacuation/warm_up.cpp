#include "libraries/evacuation/warm_up.hpp"

#include <algorithm>
#include <array>

namespace bulrushspring::evacuation
{
namespace
{

// The shares of the usual load, one after the other, before all of it.
constexpr std::array steps = {0.1, 0.2, 0.4, 0.7};
constexpr milliseconds step_time{1000};

// How long a leaf counts as cold after an evacuation where its service states
// no time and no newer entry arrives: entries are written every 1.2 s.
constexpr seconds assumed_warm_up{5};

const data_centre* find_revoked(const state& self, std::string_view name)
{
    const auto found = self.data_centres.find(name);
    return found == self.data_centres.end() || found->second.evacuated
               ? nullptr
               : &found->second;
}

} // namespace

void apply_entry(warm_up_state& leaf, std::uint64_t revision,
                 duration cold_remaining, boot_time now)
{
    leaf.revision = revision;
    leaf.entry_at = now;
    // The end of an earlier cold time is kept, since the load rises from there.
    const auto stated = cold_remaining > duration{0}
                            ? now + cold_remaining
                            : std::min(leaf.cold_until, now);
    // The entry may have been written before the answer.
    leaf.cold_until = std::max(stated, leaf.answered_until);
}

void apply_answer(warm_up_state& leaf, duration cold_remaining,
                  boot_time sent_at, boot_time now)
{
    if (sent_at < leaf.answered_at) {
        return;
    }
    const auto stated = cold_remaining > duration{0}
                            ? now + cold_remaining
                            : std::min(leaf.cold_until, now);
    leaf.answered_at = sent_at;
    leaf.answered_until = stated;
    // An entry that has arrived meanwhile may be newer than the answer.
    leaf.cold_until =
        sent_at >= leaf.entry_at ? stated : std::max(stated, leaf.cold_until);
}

bool is_settled(const state& self, const warm_up_state& leaf, boot_time now)
{
    return self.data_centres.empty() &&
           now - leaf.cold_until >=
               step_time * static_cast<std::int64_t>(steps.size());
}

boot_time cold_end(const state& self, std::string_view name,
                   const warm_up_state& leaf, const warm_up_limits& limits)
{
    const auto* revoked = find_revoked(self, name);
    const bool told = revoked == nullptr || leaf.revision > revoked->revision ||
                      leaf.answered_at > revoked->changed_at;
    if (told) {
        return leaf.cold_until;
    }
    const duration assumed = limits.warm_up > duration{0}
                                 ? limits.warm_up
                                 : duration{assumed_warm_up};
    return std::max(leaf.cold_until, revoked->changed_at + assumed);
}

double load_share(const state& self, std::string_view name,
                  const warm_up_state& leaf, const warm_up_limits& limits,
                  boot_time now)
{
    boot_time since{};
    if (limits.per_second > 0) {
        since = cold_end(self, name, leaf, limits);
    }
    if (const auto* revoked = find_revoked(self, name)) {
        since = std::max(since, revoked->changed_at);
    }
    if (since == boot_time{}) {
        return 1.0;
    }
    const auto step = std::max(duration{0}, now - since) / step_time;
    return step < static_cast<std::int64_t>(steps.size())
               ? steps.at(static_cast<std::size_t>(step))
               : 1.0;
}

} // namespace bulrushspring::evacuation
