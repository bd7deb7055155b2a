#include "libraries/targets/targets.hpp"

#include <algorithm>

namespace bulrushspring::targets
{
namespace
{

std::string leaving_sources(const leaving_evidence& evidence)
{
    std::string sources;
    const auto add = [&](bool reported, std::string_view source) {
        if (reported) {
            sources += sources.empty() ? "" : ",";
            sources += source;
        }
    };
    add(evidence.manifest, "manifest");
    add(evidence.vms, "vms");
    add(evidence.leaf, "leaf");
    add(evidence.peer, "peer");
    return sources;
}

void set_state(const leaf_state& leaf, leaf_status_line& line)
{
    const bool connected = leaf.connections.size() > leaf.opening;
    if (leaf.leaving.any()) {
        line.state = "leaving";
        line.reason = "reported by " + leaving_sources(leaf.leaving);
    } else if (!connected && leaf.consecutive_failures > 0) {
        line.state = "unreachable";
        line.reason = std::to_string(leaf.consecutive_failures) +
                      " consecutive connection failures";
    } else if (!connected) {
        line.state = "connecting";
        line.reason = leaf.hold_expiries.empty()
                          ? "no connection yet"
                          : "the leaf may still count earlier connections";
    } else if (!leaf.warm) {
        line.state = "cold";
        line.reason = "reported by its health probe";
    } else {
        line.state = "live";
    }
}

} // namespace

bool warmed_up(const state& self)
{
    if (self.manifest == nullptr || !self.placement_jobs.empty()) {
        return false;
    }
    return std::all_of(self.active_leafs.begin(), self.active_leafs.end(),
                       [&](leaf_index index) {
                           const auto& leaf = leaf_at(self, index);
                           return leaf.connect_attempted || leaf.share == 0 ||
                                  leaf.leaving.any();
                       });
}

std::vector<leaf_status_line> status_of(const state& self)
{
    std::vector<leaf_status_line> lines;
    for (const auto index : self.active_leafs) {
        const auto& leaf = leaf_at(self, index);
        leaf_status_line line;
        line.name = leaf.name;
        line.pool = leaf.pool;
        line.data_centre = leaf.data_centre;
        line.connections =
            static_cast<std::uint32_t>(leaf.connections.size()) - leaf.opening;
        line.share = leaf.share;
        line.limit = leaf.limit.limit;
        line.in_flight = leaf.in_flight;
        line.latency = leaf.latency;
        set_state(leaf, line);
        lines.push_back(std::move(line));
    }
    std::sort(lines.begin(), lines.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    return lines;
}

} // namespace bulrushspring::targets
