#ifndef BULRUSHSPRING_LIBRARIES_WIRE_MESSAGE_HPP
#define BULRUSHSPRING_LIBRARIES_WIRE_MESSAGE_HPP

#include "base/endpoint.hpp"
#include "base/hash.hpp"
#include "base/identifiers.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bulrushspring::wire
{

enum class member_status : std::uint8_t { alive, suspect, leaving, dead };

// What one daemon believes of another. Of two records on one member the one
// with the higher (incarnation, refutation, status) is the newer.
struct member_record {
    std::string name;
    std::string data_centre;
    std::string region;
    endpoint peer;
    endpoint caller;
    endpoint operators;
    incarnation life = 0;
    std::uint32_t refutation = 0; // raised by the member to refute suspicion
    member_status status = member_status::alive;
    std::uint32_t capacity = 0; // thousandths of a core; 0: not told
    bool overloaded = false;    // it keeps callers waiting for its processor

    bool operator==(const member_record&) const = default;
};

// The documents in force at the sender.
struct digest {
    std::uint64_t manifest_version = 0;
    content_hash manifest_hash;
    std::uint64_t vms_revision = 0;
    content_hash vms_hash;

    bool operator==(const digest&) const = default;
};

// A target that the sender saw leaving, for those that have not seen it.
struct leaving_leaf {
    std::string name;

    bool operator==(const leaving_leaf&) const = default;
};

// "Are you there?", with news piggybacked. An answer is an ack with the same
// sequence number.
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

// Asks the receiver to ping a third member and to pass its ack on.
struct ping_request {
    std::uint64_t sequence = 0;
    member_record from;
    std::string target;
    endpoint target_address;
};

// Tells of a change at once, without waiting for the next ping.
struct news {
    member_record from;
    digest in_force;
    std::vector<member_record> members;
    std::vector<leaving_leaf> leaving;
};

using datagram = std::variant<ping, ack, ping_request, news>;

// Over TCP: asks for the digest and for what is named of the documents in
// force: the index, the list of VMs, sections by hash. An asker that has a list
// of VMs already gives its hash, to be sent only the changes since.
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
    std::string manifest_index; // empty where not asked for or not known
    std::string vms;
    content_hash vms_base; // set: `vms` holds only the changes since that list
    std::vector<section> sections;
};

// Over TCP: the whole view of the members, for anti-entropy.
struct members_request {
    std::vector<member_record> known;
};

struct members_reply {
    std::vector<member_record> known;
};

// A record of what is published, as the sender knows it. Each change of any
// record has a revision of its own, and they rise.
struct published_record {
    std::string key;
    std::uint64_t revision = 0;
    bool removed = false;
    std::string content; // as published; empty for a removed one
};

// Over TCP: asks for the records that changed after a revision.
struct records_request {
    std::uint64_t after = 0;
};

// The sender knows every change up to `revision`. If `whole`, records that
// are not named are gone; else only those named have changed.
struct records_reply {
    std::uint64_t revision = 0;
    bool whole = false;
    std::vector<published_record> records;
};

using peer_request =
    std::variant<documents_request, members_request, records_request>;
using peer_reply = std::variant<documents_reply, members_reply, records_reply>;

} // namespace bulrushspring::wire

#endif
