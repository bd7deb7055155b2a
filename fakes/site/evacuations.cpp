#include "fakes/site/evacuations.hpp"

namespace bulrushspring::site
{

void begin(evacuations& self, installation& site,
           const std::string& data_centre, boot_time now)
{
    self.data_centre = data_centre;
    self.begun_at = now;
    ++self.count;
    site.evacuate(data_centre, false);
}

void revoke(evacuations& self, installation& site)
{
    if (!self.data_centre.empty()) {
        site.evacuate(self.data_centre, true);
        self.data_centre.clear();
    }
}

std::vector<std::string> check(evacuations& self, const installation& site,
                               boot_time now)
{
    // A request takes a few milliseconds, so that none is left after a second.
    constexpr seconds end_of_requests{1};
    std::vector<std::string> violations;
    const auto in_force_at = self.begun_at + evacuate_time;
    if (self.data_centre.empty() || now < in_force_at) {
        return violations;
    }
    for (const auto& each : site.leafs) {
        const auto& leaf = *each.server;
        const auto& id = leaf.options().id;
        const bool reached = leaf.last_arrival() > in_force_at;
        const bool connected =
            now > in_force_at + end_of_requests && leaf.connections() > 0;
        if (leaf.options().data_centre == self.data_centre &&
            (reached || connected) && self.reported.insert(id).second) {
            violations.push_back(
                (reached ? "request to" : "connection to") +
                std::string(" a leaf of an evacuated data centre: ") + id);
        }
    }
    return violations;
}

} // namespace bulrushspring::site
