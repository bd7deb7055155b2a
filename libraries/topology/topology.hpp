#ifndef BULRUSHSPRING_LIBRARIES_TOPOLOGY_TOPOLOGY_HPP
#define BULRUSHSPRING_LIBRARIES_TOPOLOGY_TOPOLOGY_HPP

#include "base/random.hpp"
#include "libraries/reducer/effect.hpp"
#include "libraries/reducer/event.hpp"
#include "libraries/routing/routing.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

// The published routes and leafs, as this daemon knows them. They are read
// from the store and passed on between daemons, so that one that the store
// turns away learns of a change from those that it serves. Every change has
// a revision; of two versions of a record the one with the higher wins, so
// nothing goes back whatever order news comes in.
namespace bulrushspring::topology
{

// What a record's content says. Unreadable content names nothing to use.
struct unreadable {
    std::string reason;
};
using record_content =
    std::variant<unreadable, routing::leaf, routing::table_pointer>;

// A record as it was read from the store or heard from a peer.
struct learned_record {
    wire::published_record published;
    record_content content; // not looked at for a removed record
};

// Records from one source. If `whole`, those not named are gone.
struct records_learned {
    std::string source; // "store", or the peer's address
    std::uint64_t revision = 0;
    bool whole = false;
    std::vector<learned_record> records;
};

// A call to the store failed. `history_gone`: the revision to go on from is
// no longer known there, and all has to be read anew.
struct store_failed {
    error cause;
    bool history_gone = false;
};

// Asks the store for all records; answered by records_learned (whole) or
// store_failed. Stale answers may be seconds old, and cost a tenth; what they
// lack is brought by watching from the revision that they name.
struct read_all {
    bool may_be_stale = false;
};

// Asks the store for what changes after the revision; answered like read_all.
// Nothing new within the wait is an answer without records.
struct watch_changes {
    std::uint64_t after = 0;
    duration wait{0};
};

using store_call = std::variant<read_all, watch_changes>;

struct options {
    // How long a call waits for a change. The store may have swallowed it and
    // be back: a leader finds out within a third of the shortest time that a
    // change may take, followers, of which there are several, later.
    duration leader_wait = milliseconds{1000};
    duration follower_wait = milliseconds{5000};
    // Changes that come within this time of each other share one call.
    duration watch_spacing = milliseconds{150};
    // The same for a reader that follows others: peers tell it of most
    // changes, and it only has to notice in time that they don't.
    duration follower_spacing = milliseconds{1000};
    duration least_backoff = milliseconds{100};
    duration most_backoff = milliseconds{1000};
    // How long a change that a peer has may take to come from the store
    // before it is fetched from the peer.
    duration peer_advantage = milliseconds{200};
    duration peer_time_limit = milliseconds{700};
    // With no answer from the store for so long, what is known may be old.
    duration fresh_for = milliseconds{1500};
    // A daemon that leaves the reading to others takes what a peer shows
    // after this time: the peers that it would ask change with each digest.
    duration peer_advantage_of_others = milliseconds{5};
    // How long the revision of a removed record is remembered.
    duration removal_retention = seconds{60};
};

// What a daemon has to do with the store. Those without a part in it learn
// from peers. Followers read it too, less often.
enum class store_role : std::uint8_t { none, follower, leader };

struct known_record {
    wire::published_record published;
    boot_time removed_at{};
};

struct state {
    options settings;
    random_source random;
    std::map<std::string, known_record> records;  // removed ones too
    std::map<std::string, std::string> leaf_keys; // id of a leaf by its key
    std::uint64_t revision = 0;   // all changes up to it are known
    std::uint64_t forgotten = 0;  // no removal above it was forgotten
    routing::table_pointer table; // null until one is known
    // The store.
    store_role role = store_role::none;
    bool calling = false;
    bool listed = false; // read whole since the history was last lost
    // After a loss of history what is stale may be older than what can be
    // watched.
    bool history_lost = false;
    std::uint32_t failures = 0;
    boot_time call_at{};
    boot_time answered_at = boot_time::min();
    boot_time waiting_since{}; // of the call in progress
    // Peers.
    std::optional<exchange_id> asking;
    std::uint64_t seen_revision = 0; // the highest that a peer has shown
    endpoint seen_at;
    boot_time fetch_at{};
};

// What changed, for the users of routes and leafs.
struct leaf_changed {
    routing::leaf now;
};
struct leaf_gone {
    std::string id;
};
struct table_changed {
    routing::table_pointer now;
};
using change = std::variant<leaf_changed, leaf_gone, table_changed>;

struct outcome {
    std::vector<change> changes;
    std::vector<store_call> calls; // to the store
};

state make_state(const options& settings, std::uint64_t seed, boot_time now);

void reduce(state&, const tick&, outcome&, context&);
void reduce(state&, const records_learned&, outcome&, context&);
void reduce(state&, const store_failed&, outcome&, context&);
// A datagram shows the revision that its sender knows.
void reduce(state&, const datagram_received&, outcome&, context&);
// Answers a records_request; leaves other requests to others.
void reduce(state&, const peer_asked&, outcome&, context&);
// A request of this library's to a peer failed. Replies come as
// records_learned.
void reduce(state&, const peer_replied&, outcome&, context&);

// What this daemon is to do. A call in progress is not broken off.
void set_role(state&, store_role, boot_time now);

// The revision known here, in the form that datagrams carry.
wire::digest digest_of(const state&);

// Whether the store answered, or holds a call of this daemon's, a short while
// ago: what is not known here then does not exist.
bool fresh(const state&, boot_time now);

boot_time next_wakeup(const state&);

} // namespace bulrushspring::topology

#endif
