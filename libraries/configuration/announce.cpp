#include "libraries/configuration/internal.hpp"

#include <algorithm>

namespace bulrushspring::configuration
{
namespace
{

// The maximum number of daemons drawn at random to find one at the wanted
// location. If none of them matches, the last one drawn is used.
constexpr std::size_t max_draws = 8;

enum class location : std::uint8_t {
    anywhere,
    other_data_centre,
    other_region
};

bool is_at(const wire::member_record& member, const wire::member_record& self,
           location wanted)
{
    if (wanted == location::other_region) {
        return member.region != self.region;
    }
    return wanted == location::anywhere ||
           member.data_centre != self.data_centre;
}

const wire::member_record* draw_member(state& self, const peers& fleet,
                                       location wanted)
{
    const wire::member_record* last = nullptr;
    for (std::size_t i = 0; i < max_draws && !fleet.live.empty(); ++i) {
        const auto& member =
            fleet.live[random_below(self.random, fleet.live.size())];
        if (member.name == fleet.self.name) {
            continue;
        }
        last = &member;
        if (is_at(member, fleet.self, wanted)) {
            break;
        }
    }
    return last;
}

} // namespace

// Notifies a number of daemons that does not depend on the size of the fleet:
// one in another region and one in another data centre, if such are drawn, and
// the others at random. Further daemons learn of the change from the digests on
// datagrams.
void announce(state& self, const peers& fleet, context& context)
{
    std::vector<endpoint> recipients;
    for (std::size_t i = 0; i < self.settings.update_fan_out; ++i) {
        const location wanted = i == 0   ? location::other_region
                                : i == 1 ? location::other_data_centre
                                         : location::anywhere;
        const auto* member = draw_member(self, fleet, wanted);
        if (member == nullptr || std::find(recipients.begin(), recipients.end(),
                                           member->peer) != recipients.end()) {
            continue;
        }
        recipients.push_back(member->peer);
        context.emit(send_datagram{
            member->peer, wire::gossip{fleet.self, digest_of(self), {}, {}}});
    }
    self.announced = true;
}

} // namespace bulrushspring::configuration
