#ifndef BULRUSHSPRING_LIBRARIES_WIRE_MESSAGE_HPP
#define BULRUSHSPRING_LIBRARIES_WIRE_MESSAGE_HPP

#include "base/endpoint.hpp"
#include "base/hash.hpp"
#include "base/identifiers.hpp"
#include "base/time.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bulrushspring::wire
{

// Times are sent as ages in milliseconds before the message was sent.
// The age of a time that never was.
inline constexpr std::uint32_t never_ago = 0xFFFFFFFFU;

// The age of a time; boot_time::min() never was. Saturates.
inline std::uint32_t age_of(boot_time at, boot_time now)
{
    if (at == boot_time::min()) {
        return never_ago;
    }
    const auto age = std::max<std::int64_t>(to_milliseconds(now - at), 0);
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(age, never_ago - 1));
}

// The inverse of age_of.
inline boot_time time_of(std::uint32_t age, boot_time now)
{
    return age == never_ago ? boot_time::min() : now - milliseconds{age};
}

// The numeric values are sent.
enum class member_status : std::uint8_t { alive, suspect, leaving, dead };

// One daemon's view of a member. Of two records of the same member, the one
// with the higher tuple (incarnation, refutation, status) is the newer.
struct member_record {
    std::string name;
    std::string data_centre;
    std::string region;
    endpoint peer;
    endpoint caller;
    endpoint operators;

    // Rises with each restart of the process.
    incarnation_number incarnation = 0;

    // Raised by the member itself, to refute a claim about it.
    std::uint32_t refutation = 0;

    member_status status = member_status::alive;
    std::uint32_t capacity = 0; // thousandths of a core; 0 if unknown
    bool overloaded = false;    // callers wait for its processor
    bool partitioned = false;   // it reaches no leaf, while others do

    bool operator==(const member_record&) const = default;
};

// Versions and hashes of the manifest and the list of VMs that are in force at
// the sender. A gateway has neither, and states its own data in these fields;
// see libraries/topology/digest.hpp.
struct digest {
    std::uint64_t manifest_version = 0;
    content_hash manifest_hash;
    std::uint64_t vms_revision = 0;
    content_hash vms_hash;

    bool operator==(const digest&) const = default;
};

// Reports that a leaf is shutting down, to daemons that may not know it yet.
struct leaving_leaf {
    std::string name;

    bool operator==(const leaving_leaf&) const = default;
};

// A failure detection probe with piggybacked membership updates. It is answered
// by an ack with the same sequence number.
struct ping {
    std::uint64_t sequence = 0;
    member_record from;
    digest in_force;
    std::vector<member_record> members;
    std::vector<leaving_leaf> leaving;
};

struct ack {
    std::uint64_t sequence = 0;
    member_record from;
    digest in_force;
    std::vector<member_record> members;
    std::vector<leaving_leaf> leaving;
};

// An indirect probe: asks the receiver to ping a third member and to forward
// its ack.
struct ping_request {
    std::uint64_t sequence = 0;
    member_record from;
    std::string target;
    endpoint target_address;
};

// Carries membership updates as soon as they occur, without waiting for the
// next ping.
struct gossip {
    member_record from;
    digest in_force;
    std::vector<member_record> members;
    std::vector<leaving_leaf> leaving;
};

// A leaf process that ended while a request was running on it. Ages are in
// milliseconds before the message was sent.
struct leaf_crash {
    std::uint64_t leaf_process = 0; // hash of the leaf's id and incarnation
    std::uint32_t sent_ms_ago = 0;  // when the request was sent to the leaf
    std::uint32_t ended_ms_ago = 0;

    bool operator==(const leaf_crash&) const = default;
};

// What the sender knows of a request that was running on leafs that crashed.
struct crash_report {
    std::uint64_t fingerprint = 0;
    std::uint32_t seen_ms_ago = 0;
    // When a leaf last answered it; the highest value means never.
    std::uint32_t answered_ms_ago = never_ago;
    std::vector<leaf_crash> crashes;

    bool operator==(const crash_report&) const = default;
};

// Spreads what the sender knows of requests that crash leafs.
struct crash_reports {
    std::vector<crash_report> reports;
};

// The requests a second that a leaf process takes from all daemons together, as
// it has stated to some daemon.
struct leaf_rate {
    std::string leaf;
    std::uint64_t incarnation = 0;
    bool limited = false;                       // else it has stated none
    std::uint64_t millirequests_per_second = 0; // if limited
    std::uint32_t stated_ms_ago = 0;

    bool operator==(const leaf_rate&) const = default;
};

// Spreads changes of the rates that leafs state.
struct leaf_rates {
    std::vector<leaf_rate> rates;
};

// Only ever extended at its end: a daemon drops messages it doesn't know.
using datagram =
    std::variant<ping, ack, ping_request, gossip, crash_reports, leaf_rates>;

// Sent over TCP. Asks for the digest and for any of the documents in force: the
// manifest's index, the list of VMs and sections by their hashes. A requester
// that already has a list of VMs sends its hash in vms_base, and may then get
// only the changes since.
struct documents_request {
    bool manifest_index = false;
    bool vms = false;
    content_hash vms_base;
    std::vector<content_hash> sections;
};

struct section {
    content_hash hash;
    std::string content;
};

struct documents_reply {
    digest in_force;
    std::string manifest_index; // empty if not requested or not known
    std::string vms;
    content_hash vms_base; // if set, `vms` holds the changes since that list
    std::vector<section> sections;
};

// Sent over TCP for anti-entropy: all members known to the sender.
struct members_request {
    std::vector<member_record> known;
};

struct members_reply {
    std::vector<member_record> known;
};

// A published record as known to the sender. Each change of any record gets a
// revision of its own, higher than all earlier ones.
struct published_record {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    std::string content; // empty if removed
};

// Sent over TCP. Asks for the records that changed after a revision.
struct records_request {
    std::uint64_t after = 0;
};

// The sender knows every change up to `revision`. If `complete` is set,
// `records` is the complete set and records missing from it were removed;
// otherwise it holds only the changed records.
struct records_reply {
    std::uint64_t revision = 0;
    bool complete = false;
    std::vector<published_record> records;
};

// Sent over TCP. Asks for all reports of requests that crash leafs.
struct crash_reports_request {
};

// The reports of the sender, those with the most crashes first.
struct crash_reports_reply {
    std::vector<crash_report> reports;
};

// Sent over TCP. Asks for the receiver's last contact with any leaf.
struct leaf_contact_request {
};

// Milliseconds since a leaf answered the sender, and since one last accepted a
// connection of it or answered. The highest value is sent for longer times.
struct leaf_contact_reply {
    std::uint32_t answered_ms_ago = never_ago;
    std::uint32_t contact_ms_ago = never_ago;
};

// As records_request, but sent only to daemons that state a protocol level of
// at least 1 in their digest; see libraries/topology/digest.hpp.
struct record_changes_request {
    std::uint32_t level = 0; // of the sender
    std::uint64_t after = 0; // the changes up to it are known
    // Continues a complete list behind the record of this revision; 0: none.
    std::uint64_t listed = 0;
    std::uint64_t table_version = 0; // of the table in use; 0: none
    // Asks also for the records whose content in use at the receiver is older
    // than what the store holds.
    bool kept = false;
    // The reply may be compressed. Older daemons don't send the field.
    bool accepts_compression = false;
};

// If `complete` is set, `records` is a piece of the complete list, ordered by
// revision, and `revision` is that of the sender. Otherwise it holds the
// changes up to `revision`, and what else was asked for.
struct record_changes_reply {
    std::uint32_t level = 0; // of the sender
    std::uint64_t revision = 0;
    bool complete = false;
    bool more = false; // of the list, or of the changes
    std::vector<published_record> records;
};

// Sent over TCP. Asks whether a request that has crashed several leafs may be
// sent to another one, with what the sender knows of it.
struct crash_trial_request {
    crash_report known;
    // The sender has not made the trial that it was permitted, and asks for
    // none.
    bool withdrawn = false;
};

// `known` is what the sender knows of the request.
struct crash_trial_reply {
    bool permitted = false;
    crash_report known;
};

// Only ever extended at their ends: a daemon refuses messages it doesn't know.
using peer_request =
    std::variant<documents_request, members_request, records_request,
                 crash_reports_request, leaf_contact_request,
                 record_changes_request, crash_trial_request>;
using peer_reply = std::variant<documents_reply, members_reply, records_reply,
                                crash_reports_reply, leaf_contact_reply,
                                record_changes_reply, crash_trial_reply>;

} // namespace bulrushspring::wire

#endif
