#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_GOSSIP_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_GOSSIP_HPP

#include "libraries/membership/state.hpp"
#include "libraries/reducer/effect.hpp"

// Sends datagrams with piggybacked updates within the rate limits, and
// schedules gossip, probes of dead members and syncs.
namespace bulrushspring::membership
{

// Each of these sends a datagram with this daemon's record, the digest and as
// many pending updates as fit and as the rate limit allows. A correction, if
// not null, is a record that the receiver must learn; it goes before all
// updates. The datagram is dropped if it exceeds the rate limit on datagrams.
void send_ping(state&, endpoint to, std::uint64_t sequence,
               const wire::member_record* correction, context&);
void send_ack(state&, endpoint to, std::uint64_t sequence,
              const wire::member_record* correction, context&);
void send_updates(state&, endpoint to, const wire::member_record* correction,
                  context&);

// Sends a datagram that carries no updates, within the same rate limit.
void send_without_updates(state&, endpoint to, wire::datagram message,
                          context&);

// How often an update is sent, at the present size of the fleet and number of
// pending updates.
std::uint32_t transmission_limit(const state&);

// Schedules a round of gossip as soon as the gossip interval permits.
void schedule_gossip(state&, boot_time now);

// Sends pending updates to some random members if a round of gossip is due.
void gossip(state&, context&);

// Makes the next probe of a dead member due within the interval, and lowers the
// time between such probes to it.
void schedule_dead_probe(state&, duration interval, boot_time now);

// Makes a member that is dead here the next dead member to be probed, as
// another daemon believes that it is alive.
void prioritise_dead_probe(state&, member_index, boot_time now);

// Makes the next sync due within a random delay of up to partition_sync_spread,
// as a partition may have healed.
void schedule_partition_sync(state&, boot_time now);

} // namespace bulrushspring::membership

#endif
