#ifndef BULRUSHSPRING_LIBRARIES_MEMBERSHIP_STATE_HPP
#define BULRUSHSPRING_LIBRARIES_MEMBERSHIP_STATE_HPP

#include "base/random.hpp"
#include "base/time.hpp"
#include "libraries/limits/token_bucket.hpp"
#include "libraries/membership/member_rotation.hpp"
#include "libraries/membership/options.hpp"
#include "libraries/membership/pending_updates.hpp"
#include "libraries/wire/message.hpp"

#include <array>
#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace bulrushspring::membership
{

// This daemon's own index in the table of members.
inline constexpr member_index self_index = 0;

inline constexpr boot_time never = boot_time::max();

// A row of the table of members, which includes this daemon.
struct member {
    // Incarnation 0: known only from the manifest, never heard from.
    wire::member_record record;
    boot_time since; // when the status or the incarnation changed
    boot_time heard_at = boot_time::min(); // when its last datagram arrived
    boot_time suspicion_ends = never;      // valid while it is suspect
    std::uint32_t group = 0;               // index of its data centre's group
    std::uint32_t view_position = 0;       // valid if in_view
    bool in_view = false;
    bool in_entries = false; // whether its group's entries contain it
    bool in_manifest = false;
    bool listed_live = false;    // by the platform's list of VMs
    bool listed_leaving = false; // by the platform's list of VMs
};

// The entries of one data centre that may be given to callers.
struct data_centre_group {
    std::string name;
    std::string region;
    member_rotation entries;
};

// The live members: this daemon first, whatever its status, then the members
// that are alive or suspect, in no particular order.
struct view {
    std::vector<wire::member_record> members;

    // Incremented when a member is added or removed, or changes an address, its
    // data centre, its region or its incarnation.
    std::uint64_t generation = 0;
};

// Members are divided for probing: live ones by their distance, and dead ones.
enum class probe_class : std::uint8_t {
    own_data_centre,
    own_region,
    other_regions,
    dead,
    probe_class_count,
};
inline constexpr auto probe_class_count =
    static_cast<std::size_t>(probe_class::probe_class_count);

// The probe of a live member in progress.
struct probe {
    bool running = false;
    bool helpers_asked = false;
    member_index target = self_index;
    std::uint64_t sequence = 0;
    boot_time sent_at;
    boot_time ask_helpers_at = never;
};

// A ping sent on behalf of another member, whose ack is to be forwarded.
struct relay {
    std::uint64_t sequence = 0;           // of the ping that this daemon sent
    std::uint64_t requested_sequence = 0; // of the ping request
    endpoint requester;
    boot_time expires;
};

// The end of a member's suspicion. An item of the heap is stale if the member's
// own suspicion_ends differs from it.
struct suspicion {
    boot_time ends;
    member_index index = self_index;
};

struct leaving_entry {
    std::string name;
    boot_time expires;
};

// The leafs that are leaving, in a ring buffer: when it is full, the oldest is
// replaced.
struct leaving_table {
    std::vector<leaving_entry> entries;
    std::unordered_map<std::string, subject_index> by_name;
    pending_updates updates;
    std::size_t next = 0; // the oldest, once the buffer is full
};

struct state {
    options settings;
    random_source random;
    std::vector<endpoint> seeds;
    wire::digest in_force;
    boot_time last_event_at;

    std::vector<member> members;            // this daemon at self_index
    std::vector<member_index> free_members; // unused rows
    std::unordered_map<std::string, member_index> by_name;
    std::unordered_set<std::string> listed_leaving; // names of VMs
    std::vector<data_centre_group> groups;
    std::array<member_rotation, probe_class_count> rotations;
    view live;

    probe current;
    boot_time next_probe;
    boot_time next_dead_probe;
    duration dead_probe_interval{0};
    boot_time next_seed_probe; // sent in place of the next dead probe after it
    std::uint64_t last_sequence = 0;
    std::deque<relay> relays;
    // Members that are live here but suspect or dead in the view of another
    // daemon, to be probed first.
    std::deque<member_index> disputed;
    std::vector<suspicion> suspicions; // a min-heap by end
    // Until this time no member is declared suspect or dead, because this
    // daemon was paused or cut off.
    boot_time verdicts_suspended_until;
    std::uint32_t awareness = 0; // see options::max_awareness
    boot_time heard_at;          // when the last datagram of any member arrived
    bool isolated = false;
    bool superseded = false;

    pending_updates updates; // about members
    leaving_table leaving;
    std::uint32_t digest_transmissions_left = 0;
    boot_time next_gossip = never;
    boot_time last_gossip;
    limits::token_bucket update_bytes;
    limits::token_bucket datagrams;

    std::optional<exchange_id> sync;
    boot_time next_sync;
    duration sync_retry{0};
    limits::token_bucket full_replies;
};

inline member_rotation& rotation_of(state& membership, probe_class which)
{
    return membership.rotations[static_cast<std::size_t>(which)];
}

inline const member_rotation& rotation_of(const state& membership,
                                          probe_class which)
{
    return membership.rotations[static_cast<std::size_t>(which)];
}

inline const wire::member_record& self_record(const state& membership)
{
    return membership.members[self_index].record;
}

} // namespace bulrushspring::membership

#endif
