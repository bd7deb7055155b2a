#ifndef BULRUSHSPRING_LIBRARIES_TOPOLOGY_TOPOLOGY_HPP
#define BULRUSHSPRING_LIBRARIES_TOPOLOGY_TOPOLOGY_HPP

#include "base/random.hpp"
#include "libraries/reducer/effect.hpp"
#include "libraries/reducer/event.hpp"
#include "libraries/routing/routing.hpp"
#include "libraries/topology/digest.hpp"
#include "libraries/topology/era.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

// This daemon's replica of the published routes, leafs and evacuations. Records
// are read from the store and replicated between daemons, so that a daemon
// whose requests the store rejects still receives changes from its peers. Every
// change has a revision; of two versions of a record the one with the higher
// revision wins, so the order in which updates arrive does not matter. The
// exceptions are in precedence.hpp, the design in docs/design/records.md.
namespace bulrushspring::topology
{

// Content that could not be parsed, and why.
struct unreadable {
    std::string field; // empty: the content as a whole
    std::string expected;
    std::string found;
    // What could be read of it tells that the leaf is being withdrawn.
    bool withdrawn = false;
    // Kept and sent to peers in place of the content, which may be large.
    std::string summary;
};

// The operator evacuates a data centre: while the record is present, no request
// may reach a leaf there.
struct evacuation_record {
    std::string data_centre;
};

// The parsed content of a record.
using record_content = std::variant<unreadable, routing::leaf,
                                    routing::table_pointer, evacuation_record>;

// A record as received from the store or from a peer.
struct learned_record {
    wire::published_record published;
    record_content content; // ignored for a removed record
    // The protocol level since which daemons know this kind of record.
    std::uint32_t since_level = 0;
};

// Records received from one source. If `complete`, a known record that the list
// lacks has been removed, unless the source doesn't know its kind.
struct records_learned {
    std::string source; // "store", or "peer"
    std::uint64_t revision = 0;
    bool complete = false;
    std::vector<learned_record> records;
    // The source knows the kinds of records of this protocol level.
    std::uint32_t level = protocol_level;
    // From a peer: the next piece has to be requested. From the store: what the
    // operator has written, while a listing goes on.
    bool more = false;
    // From a peer: the size of the contents, and how long they took to decode.
    std::size_t bytes = 0;
    duration decoding{0};
};

// A request to the store failed. `history_gone`: the store no longer holds the
// changes since the requested revision, so that all records have to be read
// again. `too_large`: the changes since that revision exceed what this daemon
// reads in one answer, so that all records are read instead, in pages.
struct store_failed {
    error cause;
    bool history_gone = false;
    std::uint64_t era = 0; // of the store's answer; 0: not given
    bool too_large = false;
};

// Reads all records from the store; answered by records_learned with
// `complete` set, or by store_failed. A stale answer may be seconds old but
// costs a tenth of a current one; watching from its revision brings the changes
// that it lacks.
struct read_all {
    bool may_be_stale = false;
};

// Waits for changes after the revision; answered like read_all. If nothing
// changes within the wait, the answer holds no records.
struct watch_changes {
    std::uint64_t after = 0;
    duration wait{0};
};

using store_call = std::variant<read_all, watch_changes>;

struct options {
    // How long a watch request waits for a change. If the store loses a
    // waiting request and is available again, this is noticed only when the
    // wait ends: for a leader, within a third of the shortest time allowed for
    // a change to take effect. Followers, of which there are several, wait
    // longer.
    duration leader_wait = milliseconds{1000};
    duration follower_wait = milliseconds{5000};
    // Time between watch requests; changes within it share one request.
    duration watch_interval = milliseconds{150};
    // The same for a follower: most changes reach it through peers, and it
    // only has to notice in time when they don't.
    duration follower_watch_interval = milliseconds{1000};
    duration min_backoff = milliseconds{100};
    duration max_backoff = milliseconds{1000};
    // How long this daemon waits for the store to deliver a change that a
    // peer already has before it requests the change from the peer.
    duration peer_fetch_delay = milliseconds{200};
    duration peer_timeout = milliseconds{700}; // without progress
    // After a failed request, the pause before another peer is asked, less a
    // random part of up to a half.
    duration peer_retry_pause = milliseconds{100};
    // A peer's higher revision that is still missing here after this time
    // means that the records known here may be out of date.
    duration max_staleness = milliseconds{1500};
    // The delay of a daemon that does not read the store. It is short because
    // changes reach such a daemon only through peers, and each further digest
    // may name another peer to request them from.
    duration peer_fetch_delay_without_store = milliseconds{5};
    // How long a removed record is kept, so that an older version of it from a
    // peer is not taken for a new record.
    duration removal_retention = seconds{60};
    // After the store has been restored from a backup, leafs write their
    // records again within about two seconds. For this long, records that the
    // backup lacks are kept, and a leaf that was draining or removed before is
    // not used again because the backup lists it.
    duration restore_grace = seconds{5};
    // After a restore, an evacuation that the backup lacks stays in force for
    // this long, unless the store states otherwise in its new era.
    duration evacuation_grace = seconds{30};
    // A daemon that has heard of no peer in the store's era for this long reads
    // the store itself.
    duration era_timeout = seconds{4};
    // A daemon that lacks the records of kinds which its peers don't know for
    // this long reads the store itself, for a while.
    duration level_timeout = seconds{2};
    duration reads_itself_for = seconds{30};
    // A daemon that has just started lists the store before it asks a peer, but
    // waits no longer than this for the listing.
    duration first_list_wait = milliseconds{400};
    // When to request the version of a table again that was not delivered.
    duration table_retry = seconds{10};
};

// How a daemon reads the store: a leader reads all changes, a follower reads
// less often, and a daemon with no role receives changes from peers only.
enum class store_role : std::uint8_t { none, follower, leader };

// A leaf that was published as draining, or removed.
struct departed_leaf {
    std::uint64_t incarnation = 0;
    boot_time departed_at{};
};

struct known_record {
    // The content may be older than the revision; see precedence.hpp.
    wire::published_record published;
    boot_time removed_at{};
    bool readable = true;
    bool kept = false; // the content is older than the revision
    std::uint32_t since_level = 0;
};

// What peers' digests state that is not known here.
struct peer_offer {
    std::uint64_t value = 0;     // the highest revision or version
    std::vector<endpoint> peers; // that state it and have not failed
    boot_time fetch_at{};        // when to request it
    boot_time missing_since{};   // here, if it still is
};

// A peer that serves callers, asked once after the start.
struct first_peer {
    endpoint address;
    std::uint32_t level = 0;
    boot_time heard_at{};
};

enum class fetch_purpose : std::uint8_t { first, table, changes };

// The pieces of a complete list that have arrived from a peer.
struct partial_list {
    endpoint peer;
    fetch_purpose purpose = fetch_purpose::changes;
    records_learned received; // with the revision of the first piece
};

// Requests to peers, of which one is in progress at a time.
struct peer_fetches {
    std::optional<exchange_id> exchange;            // the request in progress
    fetch_purpose purpose = fetch_purpose::changes; // of that request
    endpoint asked;                                 // the peer that it went to
    boot_time asked_at{};
    peer_offer changes; // of peers of this program's level: their revision
    peer_offer basic_changes; // of peers of level 0: their revision
    peer_offer table;         // the version in use at the peer
    // A version that a peer stated and could not deliver, or that can't be read
    // here. It is not requested again before this time.
    std::uint64_t undelivered_table = 0;
    boot_time undelivered_until{};
    std::optional<first_peer> first;
    bool answered = false; // a peer has answered since the start
    // Peers heard of before any that could answer: they are starting as well.
    std::vector<endpoint> starting;
    std::optional<partial_list> list;
};

struct state {
    options settings;
    random_source random;
    std::map<std::string, known_record> records; // including removed ones
    std::map<std::string, routing::leaf> leafs;  // published; by record key
    std::uint64_t revision = 0; // all changes up to it are known
    // The same of the kinds of records of protocol level 0, if it is higher:
    // peers of that level deliver no others.
    std::uint64_t basic_revision = 0;
    // When the basic revision went ahead, and until when this daemon reads the
    // store itself because no peer delivered the other kinds.
    std::optional<boot_time> incomplete_since;
    boot_time reads_itself_until = boot_time::min();
    // The highest revision of a removal that has been deleted from `records`.
    // A peer that knows only earlier revisions is sent a complete list.
    std::uint64_t forgotten_revision = 0;
    // The last complete list skipped the changes between these revisions: of
    // records that came and went meanwhile, or before this daemon knew any, it
    // has no removal. A peer that knows some of them is sent a complete list.
    std::uint64_t skipped_from = 0;
    std::uint64_t skipped_until = 0;
    routing::table_pointer table; // null until one is known
    std::string table_key;        // of the table's record
    // The store's era; see era.hpp.
    std::uint64_t era = 0;
    // When a peer last reported a revision of this era.
    boot_time era_heard_at = boot_time::min();
    // Until then, the records of the backup that began the era are unconfirmed;
    // see options::restore_grace.
    std::optional<boot_time> restore_grace_until;
    std::map<std::string, departed_leaf> departed; // by record key
    // The evacuations in force, by record key, and until when those of an
    // earlier era stay so.
    std::map<std::string, evacuation_record> evacuations;
    std::optional<boot_time> evacuation_grace_until;
    // Leafs that the backup lists as ready although they had departed; by key.
    std::map<std::string, routing::leaf> unconfirmed;
    // Requests to the store.
    store_role role = store_role::none;
    bool call_in_progress = false;
    bool listed = false; // all records read since the last loss of history
    // After a loss of history, a stale answer may be older than the first
    // revision that can still be watched.
    bool history_lost = false;
    std::uint32_t failures = 0;
    boot_time next_call_at{};
    boot_time last_answer_at = boot_time::min();
    boot_time call_started_at{}; // start of the current or last call
    peer_fetches peers;
};

// Changes to routes, leafs and evacuations that the caller of reduce has to
// apply. The revisions are those of the records.
struct leaf_changed {
    routing::leaf leaf;
    std::uint64_t revision = 0;
};
struct leaf_gone {
    std::string id;
};
struct table_changed {
    routing::table_pointer table;
};
struct evacuation_changed {
    std::string data_centre;
    bool evacuated = false; // else it is no longer
    std::uint64_t revision = 0;
};
using change =
    std::variant<leaf_changed, leaf_gone, table_changed, evacuation_changed>;

struct outcome {
    std::vector<change> changes;
    std::vector<store_call> calls; // to the store
};

// What a peer's reply holds of records; nothing if it is another kind of reply.
// The records are decoded by the function, since their encoding is not known
// here.
std::optional<records_learned>
read_reply(const wire::peer_reply&,
           learned_record (*decode)(wire::published_record));

state make_state(const options& settings, std::uint64_t seed, boot_time now);

void reduce(state&, const tick&, outcome&, context&);
void reduce(state&, const records_learned&, outcome&, context&);
void reduce(state&, const store_failed&, outcome&, context&);
// Datagrams carry a digest with the revision that the sender knows.
void reduce(state&, const datagram_received&, outcome&, context&);
// Answers requests for records and ignores all others.
void reduce(state&, const peer_request_received&, outcome&, context&);
// Handles the failure of a request that this library sent to a peer.
// Successful replies arrive as records_learned.
void reduce(state&, const peer_reply_received&, outcome&, context&);

// Changes how this daemon reads the store. A call in progress is not cancelled.
void set_role(state&, store_role, boot_time now);

// Whether peers can deliver the changes of the store's era, and of all kinds of
// records. They can't if they all run a version of this program that ignores
// eras, or does not know some kinds.
bool peers_deliver(const state&, boot_time now);

// The revisions and the table known here, as a digest for datagrams.
// `in_service`: this daemon serves callers.
wire::digest digest_of(const state&, bool in_service);

// Whether a peer that serves callers has answered since the start, or so many
// are starting as well that none is expected to.
bool has_asked_peer(const state&);

// Whether the records are up to date, so that a name unknown here can be taken
// not to exist. A daemon that reads the store must have had an answer, and its
// last request must not have failed. In every role, a peer's higher revision
// must not have been missing here for longer than `max_staleness`.
bool is_up_to_date(const state&, boot_time now);

// When the next tick is due; boot_time::max() if none is.
boot_time next_wakeup(const state&);

} // namespace bulrushspring::topology

#endif
