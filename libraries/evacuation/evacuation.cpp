#include "libraries/evacuation/evacuation.hpp"

#include "libraries/evacuation/events.hpp"

namespace bulrushspring::evacuation
{
namespace
{

// How long a revoked evacuation is remembered: longer than leafs stay cold.
constexpr seconds retention{600};

} // namespace

void begin(state& self, const std::string& name, std::uint64_t revision,
           const usage& used, context& context)
{
    auto& each = self.data_centres[name];
    if (each.evacuated) {
        return;
    }
    each = {true, false, context.now, context.now, revision};
    context.emit(add_to_counter{metrics::counter::evacuations_begun});
    context.emit(write_log{make_record(
        evacuation_begun, field("data_centre", name),
        field("leafs", used.leafs), field("connections", used.connections),
        field("running", used.running), field("revision", revision))});
}

void revoke(state& self, const std::string& name, std::uint64_t revision,
            const usage& used, context& context)
{
    const auto found = self.data_centres.find(name);
    if (found == self.data_centres.end() || !found->second.evacuated) {
        return;
    }
    auto& each = found->second;
    each.evacuated = false;
    each.changed_at = context.now;
    each.revision = revision;
    context.emit(add_to_counter{metrics::counter::evacuations_revoked});
    context.emit(write_log{make_record(
        evacuation_revoked, field("data_centre", name),
        field("after_ms", to_milliseconds(context.now - each.begun_at)),
        field("leafs", used.leafs), field("running", used.running),
        field("revision", revision))});
}

void note_usage(state& self,
                const std::function<usage(std::string_view)>& usage_of,
                context& context)
{
    for (auto& [name, each] : self.data_centres) {
        if (!each.evacuated || each.drained) {
            continue;
        }
        const auto used = usage_of(name);
        if (used.running > 0 || used.connections > 0) {
            continue;
        }
        each.drained = true;
        context.emit(add_to_counter{metrics::counter::evacuations_drained});
        context.emit(write_log{make_record(
            evacuation_drained, field("data_centre", name),
            field("after_ms", to_milliseconds(context.now - each.begun_at)))});
    }
    std::erase_if(self.data_centres, [&](const auto& each) {
        return !each.second.evacuated &&
               context.now - each.second.changed_at > retention;
    });
}

bool is_closed(const state& self, std::string_view data_centre)
{
    const auto found = self.data_centres.find(data_centre);
    return found != self.data_centres.end() && found->second.evacuated;
}

} // namespace bulrushspring::evacuation
