#ifndef BULRUSHSPRING_LIBRARIES_POISON_SPREAD_HPP
#define BULRUSHSPRING_LIBRARIES_POISON_SPREAD_HPP

#include "base/random.hpp"
#include "libraries/membership/gossip_sender.hpp"
#include "libraries/poison/poison.hpp"
#include "libraries/reducer/effect.hpp"

#include <optional>
#include <span>
#include <vector>

// Spreads what is known of poison requests between the daemons: new reports by
// gossip, and all reports on request to daemons that have just started.
namespace bulrushspring::poison
{

struct spread_options {
    membership::gossip_options gossip;
    // An innocent request that ran beside is answered by another leaf within
    // this time, and then needs no report.
    duration first_crash_delay = milliseconds{500};
    std::size_t max_queued = 64;
    // Limits on the reports sent in reply to requests.
    double reply_bytes_per_second = 2500;
    double reply_bytes_burst = 100000;
    // A daemon that starts asks this many peers one after the other, since the
    // first may have started just now as well.
    std::uint32_t initial_syncs = 3;
    duration sync_retry = milliseconds{300};
    duration sync_timeout = milliseconds{700};
    duration shortest_sync_interval = seconds{30};
    // The interval grows with the fleet.
    duration sync_interval_per_member = milliseconds{300};
};

struct queued_report {
    fingerprint of{};
    std::uint32_t crashes = 0;
    boot_time crashed_at{}; // last
    std::uint32_t transmissions = 0;
    boot_time due{};
};

struct spread_state {
    spread_options settings;
    random_source random;
    std::vector<queued_report> queue; // at most one for each fingerprint
    membership::gossip_sender sender;
    limits::token_bucket reply_bytes;
    std::optional<exchange_id> sync; // in progress
    std::uint32_t initial_syncs_left = 0;
    boot_time next_sync{};
};

spread_state make_spread(const spread_options&, std::uint64_t seed,
                         boot_time now);

// Queues the report of a request that has crashed this many leafs one after the
// other; 0 if a leaf has answered it. Reports with more crashes come first, and
// newer ones among these; if the queue is full, the last is dropped.
void share(spread_state&, fingerprint, std::uint32_t crashes, boot_time now);

// Sends the reports and requests that are due. `live` are the live members, of
// which the first is this daemon.
void advance(spread_state&, const state&,
             std::span<const wire::member_record> live, context&);

// Merges reports of a peer, and queues those that changed something. The source
// is for the log.
void receive(spread_state&, state&, std::span<const wire::crash_report> reports,
             std::string_view source, context&);

// Replies with all reports that the rate limit allows, those with the most
// crashes first.
void reply_to_request(spread_state&, const state&, peer_token, context&);

// Handles the reply to the request in progress, or its failure. Other replies
// are ignored.
void handle_reply(spread_state&, state&, const peer_reply_received&,
                  std::size_t fleet_size, context&);

boot_time next_wakeup(const spread_state&);

} // namespace bulrushspring::poison

#endif
