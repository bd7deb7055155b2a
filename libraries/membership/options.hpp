#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_OPTIONS_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_OPTIONS_HPP

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace bulrushspring::membership
{

// Rates, timeouts and limits of the membership protocol. The defaults suit
// fleets of 2 to some thousands of daemons.
struct options {
    // One member is probed per interval. If it does not answer within the
    // timeout, helpers are asked to probe it; if no answer arrives within the
    // interval, it becomes suspect.
    duration probe_interval = milliseconds{1000};
    duration probe_timeout = milliseconds{300};
    std::size_t probe_helpers = 3;

    // A suspect is declared dead if it does not refute within this time, which
    // is multiplied by log10 of the fleet's size if that is above 1.
    duration suspicion_time = milliseconds{2000};

    // Weights that divide probes and gossip by the location of the receiver.
    std::uint32_t own_data_centre_weight = 70;
    std::uint32_t own_region_weight = 20;
    std::uint32_t other_regions_weight = 10;

    // While updates are pending, they are sent to this many members once per
    // interval.
    duration gossip_interval = milliseconds{200};
    std::size_t gossip_fanout = 2;

    // The number of transmissions of an update, as a multiple of log2 of the
    // fleet's size.
    double transmission_factor = 3.0;

    // With more updates pending than this, the second factor applies instead,
    // so that each is sent less often. Syncs repair what members miss that way.
    std::size_t congested_update_count = 64;
    double congested_transmission_factor = 0.5;

    // The rate limit on the bytes of gossip messages and of updates piggybacked
    // on probes. The probes themselves are not counted.
    double update_bytes_per_second = 2500;
    double update_bytes_burst = 20000;

    // The rate limit on all datagrams sent. Datagrams above it are dropped.
    double datagrams_per_second = 40;
    double datagrams_burst = 80;

    // Dead members are probed one at a time, to notice their return. The
    // interval doubles up to the longest while none answers, and falls to the
    // shortest when one does. The death of a member lowers it to
    // dead_probe_interval_after_death.
    duration shortest_dead_probe_interval = milliseconds{100};
    duration dead_probe_interval_after_death = milliseconds{2000};
    duration longest_dead_probe_interval = milliseconds{30000};

    // Until a live member is known, seeds are probed as often as dead members.
    // After that, one is probed per this interval times the number of other
    // members that are not dead: seeds are few and probed by all daemons, so
    // this bounds their load.
    duration seed_probe_interval_per_member = milliseconds{1000};

    // How long a dead member is kept that neither the manifest nor the VM list
    // names.
    duration dead_retention = std::chrono::hours{24};

    // A full view is exchanged with one member per interval. The interval grows
    // with the fleet, so that the bytes per second do not.
    duration shortest_sync_interval = milliseconds{30000};
    duration sync_interval_per_member = milliseconds{300};
    duration sync_timeout = milliseconds{3000};
    duration shortest_sync_retry = milliseconds{1000};
    duration longest_sync_retry = milliseconds{10000};

    // When a member returns that was dead for longer than the threshold, a
    // partition may have healed: a sync follows after a random delay of up to
    // the spread.
    duration partition_threshold = milliseconds{30000};
    duration partition_sync_spread = milliseconds{20000};

    // The rate limit on replies with a full view. Above it, a reply holds only
    // a random sample of this many members.
    double full_replies_per_second = 2;
    double full_replies_burst = 20;
    std::size_t sync_sample = 64;

    // A daemon that has received nothing for this time considers itself
    // isolated and declares no member dead.
    duration isolation_time = milliseconds{2000};

    // A wake-up that is late by more than this counts as a pause of the
    // process.
    duration pause_threshold = milliseconds{2000};

    // Timeouts are multiplied by 1 + awareness, which rises with signs that
    // this daemon itself is slow. It is the local health awareness of the
    // Lifeguard extensions to SWIM.
    std::uint32_t max_awareness = 4;

    // How long a leaving leaf is remembered, so that it is reported only once.
    duration leaving_leaf_retention = std::chrono::minutes{5};

    std::size_t max_members = 8192;
    std::size_t max_data_centres = 256;
    std::size_t max_relays = 64;
    std::size_t max_disputed = 64;
    std::size_t max_leaving_leafs = 1024;
};

} // namespace bulrushspring::membership

#endif
