#ifndef BULRUSHSPRING_LIBRARIES_CONFIGURATION_CONFIGURATION_HPP
#define BULRUSHSPRING_LIBRARIES_CONFIGURATION_CONFIGURATION_HPP

#include "base/random.hpp"
#include "libraries/configuration/documents.hpp"
#include "libraries/configuration/readers.hpp"
#include "libraries/manifest/vm_changes.hpp"
#include "libraries/reducer/effect.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace bulrushspring::configuration
{

struct options {
    std::size_t readers_per_data_centre = 2;
    std::size_t update_fan_out = 4; // daemons that are notified of a change

    // Callers are served once this many other daemons, or all others if there
    // are fewer, have answered the check of the configuration, or at its
    // timeout.
    std::size_t peers_to_check = 3;
    // The timeout of the check after a start and after a late wake, and how
    // much longer a fetch that is in progress may take.
    duration start_check_timeout = seconds{3};
    duration wake_check_timeout = seconds{2};
    duration fetch_grace_period = seconds{7};
    // The time for membership to discover other daemons. The check does not
    // succeed earlier, because the number of others is not known by then.
    duration membership_settle_time = milliseconds{500};
    // A longer interval between two events is a late wake: the process did
    // not run, and its configuration may be outdated.
    duration late_wake_threshold = seconds{3};

    duration peer_timeout = seconds{2};
    duration platform_timeout = seconds{2};
    duration watch_timeout = seconds{20};
    // Values are also read unconditionally at these intervals, because a watch
    // does not notice changes once the platform was rebuilt and its revisions
    // restarted from 1.
    duration manifest_reread_interval = seconds{60};
    duration vms_reread_interval = seconds{600};
    duration min_backoff = milliseconds{500};
    duration max_backoff = seconds{10};

    double fleet_calls_per_second = 500.0; // to the platform
    // The assumed number of VMs until there is a manifest.
    std::size_t assumed_fleet_size = 2000;
    // The maximum random delay of a reader's first call. It applies in full if
    // every daemon is a reader, else in proportion to the number of readers.
    duration max_first_call_delay = seconds{3};

    // The limit of what is sent to daemons that request documents: the mean
    // rate and the maximum burst.
    double served_bytes_per_second = 1024.0 * 1024.0;
    double max_served_burst_bytes = 8.0 * 1024.0 * 1024.0;
};

// A daemon that announced a document.
struct document_source {
    std::string name;
    endpoint peer;
};

// A document that was refused. A permanent refusal applies to the same bytes
// for ever; any other one expires at `retry_at`.
struct refusal {
    document_id id;
    bool permanent = true;
    std::uint32_t times = 1; // how often it was refused
    boot_time retry_at{};
    std::string source;
    std::string reason;
};

// Two manifests with the same version and different content.
struct version_conflict {
    std::uint64_t version = 0;
    content_hash winner;
    content_hash loser;
};

// A request to another daemon whose reply is outstanding.
struct pending_exchange {
    exchange_id exchange;
    boot_time expires{};
};

// The manifest that is being fetched. There is at most one at a time.
struct manifest_fetch {
    document_id id;
    std::string source; // the origin of the index
    shared_text index_text;
    std::optional<manifest::index> index;
    section_texts sections;
    std::vector<document_source> peers; // the first is asked next
    std::optional<pending_exchange> pending_request;
    // Whether sections can be read from the platform.
    bool available_at_platform = false;
    bool section_read_pending = false;
    content_hash requested_section; // if section_read_pending
    boot_time section_read_expires{};
};

// The watch (long poll) of a key of the platform.
struct platform_watch {
    std::string key;
    std::uint64_t revision = 0;
    bool outstanding = false;
    boot_time expires{};
    boot_time next_call_at{};
    boot_time unconditional_read_at{}; // next unconditional read
    std::uint32_t failures = 0;        // since the last success
};

// The check of the configuration before callers are served: other daemons are
// asked for their digests.
struct peer_check {
    bool after_start = true;
    boot_time started_at{};
    boot_time deadline{};
    std::vector<std::string> asked_peers; // names
    boot_time next_request_at{};
    std::optional<pending_exchange> outstanding;
    document_source asked_peer;
    std::uint32_t answers = 0;      // from daemons that are ready themselves
    bool platform_answered = false; // with the manifest in force
};

// The difference between two consecutive lists of VMs. Daemons that have the
// earlier list are sent only the changes.
struct vm_list_delta {
    content_hash from;
    content_hash to;
    manifest::vm_changes changes;
};

// The list of VMs in force and its distribution.
struct vms_state {
    std::uint64_t revision = 0;
    content_hash hash;
    manifest::vm_list list;
    shared_text text; // canonical
    std::string source;
    std::deque<vm_list_delta> deltas; // oldest first, without gaps
    std::optional<pending_exchange> pending_request;
    document_source asked_peer;
    boot_time next_request_at{};
    // The fleet's revision minus the platform's. The platform's restarts from 1
    // when the platform is rebuilt.
    std::int64_t revision_offset = 0;
    // Whether the platform returns lower revisions, since when, and the first
    // one of them.
    bool lower_seen = false;
    boot_time lower_since{};
    std::uint64_t lower_revision = 0;
};

// The state of the configuration reducer of a daemon.
struct state {
    options settings;
    random_source random;
    accepted_documents in_force;
    boot_time in_force_since{};
    std::string in_force_source;
    bool announced = true; // other daemons were notified of what is in force
    std::optional<manifest_fetch> fetch;
    boot_time next_fetch_at{};
    std::uint32_t fetch_failures = 0;
    vms_state vms;
    std::optional<peer_check> check;
    std::string relied_on = "nothing yet";
    platform_watch manifest_watch{"manifest"};
    platform_watch vms_watch{"vms"};
    boot_time platform_answered_at{};
    bool platform_has_answered = false;
    reader_selection selection;
    boot_time next_selection_at{};
    std::size_t fleet_size = 0; // VMs and spare VMs, or an assumed number
    call_rate_limiter call_limiter;
    std::deque<refusal> refusals; // oldest first
    std::deque<version_conflict> version_conflicts;
    std::uint64_t older_versions_seen = 0; // read from the platform
    document_id last_older_version;
    double serving_tokens = 0; // bytes
    boot_time serving_updated_at{};
    boot_time last_event_at{};
    boot_time wake_at{};
};

// The status of the configuration as shown to operators.
struct status {
    document_id in_force;
    boot_time since{}; // when it came into force
    std::string source;
    bool ready = false;
    // Who confirmed the configuration: platform, peers, both or nobody;
    // "nothing yet" until the first check has finished.
    std::string relied_on;
    bool reading = false;             // whether this daemon is a reader
    std::vector<std::string> readers; // of this data centre
    bool platform_has_answered = false;
    boot_time platform_answered_at{};
    std::uint32_t platform_failures = 0; // since the last answer
    std::optional<document_id> fetching;
    std::uint64_t vms_revision = 0;
    content_hash vms_hash;
    std::string vms_source;
    std::vector<refusal> refusals;
    std::vector<version_conflict> version_conflicts;
    std::uint64_t older_versions_seen = 0;
};

state make_state(const options& settings, std::uint64_t seed, boot_time now);

void reduce(state& self, const tick& event, const peers& fleet,
            context& context);
void reduce(state& self, const datagram_received& event, const peers& fleet,
            context& context);
// Answers documents_request; ignores other requests.
void reduce(state& self, const peer_request_received& event, const peers& fleet,
            context& context);
// Ignores replies to exchanges of other libraries.
void reduce(state& self, const peer_reply_received& event, const peers& fleet,
            context& context);
void reduce(state& self, const platform_read_finished& event,
            const peers& fleet, context& context);

// Returns the versions and hashes in force, which are piggybacked on datagrams.
// The digest is empty until ready(), because before the check has finished this
// daemon's configuration may be outdated.
wire::digest digest_of(const state& self);

// Whether there is a manifest in force and its check has finished, so that
// callers may be served.
bool ready(const state& self);

status status_of(const state& self);

// When the next tick is due, at the latest.
boot_time next_wakeup(const state& self);

} // namespace bulrushspring::configuration

#endif
