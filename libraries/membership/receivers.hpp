#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_RECEIVERS_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_RECEIVERS_HPP

#include "base/random.hpp"
#include "libraries/wire/message.hpp"

#include <algorithm>
#include <cmath>
#include <span>
#include <vector>

// To whom, and how often, libraries send news of their own by gossip.
namespace bulrushspring::membership
{

// Up to `count` random members other than this daemon, which is the first of
// the live ones; there must be another. They are chosen evenly from all data
// centres.
inline std::vector<endpoint>
choose_receivers(random_source& random,
                 std::span<const wire::member_record> live, std::size_t count)
{
    std::vector<endpoint> receivers;
    for (std::size_t i = 0; i < count; ++i) {
        const auto chosen = 1 + random_below(random, live.size() - 1);
        const auto address = live[chosen].peer;
        if (std::find(receivers.begin(), receivers.end(), address) ==
            receivers.end()) {
            receivers.push_back(address);
        }
    }
    return receivers;
}

// The sendings after which a piece of news has reached a fleet of this size:
// `factor` times log2 of it.
inline std::uint32_t max_transmissions(double factor, std::size_t fleet_size)
{
    return static_cast<std::uint32_t>(
        std::ceil(factor * std::log2(static_cast<double>(fleet_size + 1))));
}

} // namespace bulrushspring::membership

#endif
