#ifndef BULRUSHSPRING_TESTS_CONFIGURATION_FLEET_HPP
#define BULRUSHSPRING_TESTS_CONFIGURATION_FLEET_HPP

#include "libraries/configuration/configuration.hpp"

#include <map>
#include <queue>
#include <set>

// A deterministic simulation of a fleet of configuration reducers. A seeded
// event queue delivers their messages with latency and loss (fleet.cpp). They
// read two replicas of the platform, each half of the fleet one of them
// (fleet_platform.cpp). After each event the invariants of the configuration in
// force are checked (fleet_history.cpp).
namespace bulrushspring::configuration::test
{

// The documents of a manifest as they are published to the platform.
struct published {
    std::string index;
    std::map<std::string, std::string> sections; // by platform key
};

// Makes a small manifest with so many VMs. The salt makes its content unique;
// with `valid` false, a leaf refers to an unknown data centre.
published make_manifest(std::uint64_t version, std::size_t vms,
                        std::uint64_t salt, bool valid = true);

document_id document_id_of(const published& what);

struct platform_call {
    boot_time when;
    std::string key;
};

struct platform_replica {
    bool up = true;
    bool frozen = false; // ignores manifests that are published
    std::map<std::string, platform_value> values;
};

struct member {
    wire::member_record record;
    std::optional<state> node; // empty while the daemon is down
    std::uint64_t incarnation = 0;
    std::uint64_t last_identifier = 0;
    boot_time frozen_until{};
    std::deque<event> deferred_events; // received while it was frozen
    document_id highest;               // that was in force in this incarnation
    // The oldest manifest that other reachable daemons had when it started. It
    // must have this or a newer one when it becomes ready.
    document_id min_expected;
    std::uint64_t disturbances = 0; // of the fleet when it started
    bool was_ready = false;
    // Members only reach those with the same partition number.
    std::size_t partition = 0;
    std::uint64_t bytes_received = 0; // of documents
};

struct simulated_fleet {
    explicit simulated_fleet(std::size_t size, std::uint64_t seed,
                             const options& settings = {});

    void publish(std::size_t replica, const published& what);
    void publish_everywhere(const published& what);
    void publish_valid(const published& what); // to both, as valid
    void publish_vms(const std::string& text);
    void start(std::size_t member_index);
    void start_all();
    void stop(std::size_t member_index);
    void move(std::size_t member_index, std::size_t partition);
    void freeze(std::size_t member_index, duration span);
    void run(duration span);
    // The number of members that have the manifest in force.
    std::size_t count_in_force(const document_id& what) const;
    // Whether all members are ready and have the same digest.
    bool converged() const;
    // The number of platform calls for keys with the prefix.
    std::size_t platform_call_count(std::string_view prefix) const;

    std::vector<member> members;
    std::vector<platform_replica> replicas{2};
    std::set<content_hash> valid; // index hashes of manifests to be accepted
    std::vector<platform_call> platform_calls;
    std::vector<log_record> log;
    std::vector<std::string> violations;
    double loss = 0.0; // probability of losing a datagram
    bool pings = true; // each member sends one per second, with its digest
    boot_time now{seconds{1000}};

private:
    struct delivery {
        boot_time when;
        std::uint64_t sequence;
        std::size_t to;
        std::uint64_t incarnation;
        event what;
        bool operator<(const delivery& other) const
        {
            return std::tie(other.when, other.sequence) <
                   std::tie(when, sequence);
        }
    };
    struct platform_watcher {
        std::size_t member_index;
        std::uint64_t incarnation;
        read_platform call;
        boot_time expires;
    };
    struct requester {
        std::size_t member_index;
        std::uint64_t incarnation;
        exchange_id exchange;
    };

    void deliver(std::size_t to, std::uint64_t incarnation, duration after,
                 event what);
    void process(std::size_t member_index, const event& what);
    void execute(std::size_t member_index, effect& what);
    void ask(std::size_t member_index, const send_peer_request& call);
    void read(std::size_t member_index, const read_platform& call);
    bool reaches(std::size_t from, std::size_t to) const;
    void answer_reads();
    void send_ticks_and_pings();
    void check_invariants(std::size_t member_index);
    std::optional<std::size_t> find_member(const endpoint& peer) const;

    options settings_;
    random_source random_;
    std::priority_queue<delivery> queue_;
    std::vector<platform_watcher> watchers_;
    std::map<std::uint64_t, requester> requesters_;
    std::uint64_t next_sequence_ = 0;
    // The number of restarts, stops, freezes and changes of partition so far.
    std::uint64_t disturbances_ = 0;
};

} // namespace bulrushspring::configuration::test

#endif
