#include "libraries/topology/evacuations.hpp"

namespace bulrushspring::topology
{

void begin_evacuation(state& self, const wire::published_record& published,
                      const evacuation_record& made, outcome& result,
                      boot_time now)
{
    // A peer keeps it although the restored store does not list it: this daemon
    // must not keep it for longer.
    if (era_of(published.revision) < self.era && !self.evacuation_grace_until) {
        self.evacuation_grace_until = now + self.settings.evacuation_grace;
    }
    if (self.evacuations.emplace(published.key, made).second) {
        result.changes.emplace_back(
            evacuation_changed{made.data_centre, true, published.revision});
    }
}

void end_evacuation(state& self, const std::string& key, std::uint64_t revision,
                    outcome& result)
{
    const auto found = self.evacuations.find(key);
    if (found == self.evacuations.end()) {
        return;
    }
    result.changes.emplace_back(
        evacuation_changed{found->second.data_centre, false, revision});
    self.evacuations.erase(found);
}

bool keeps_evacuation(const state& self, const std::string& key,
                      const wire::published_record& published)
{
    return self.evacuation_grace_until && self.evacuations.count(key) > 0 &&
           era_of(published.revision) < self.era;
}

} // namespace bulrushspring::topology
