#ifndef BULRUSHSPRING_FAKES_EXPERIMENT_SIMULATION_HPP
#define BULRUSHSPRING_FAKES_EXPERIMENT_SIMULATION_HPP

#include "fakes/experiment/fleet.hpp"
#include "fakes/limits/rate_check.hpp"

#include "base/random.hpp"
#include "libraries/gateway/gateway.hpp"

#include <deque>
#include <functional>
#include <map>
#include <queue>

// The state of a run, and the actions of its leafs. Internal to fleet.cpp and
// leafs.cpp.
namespace bulrushspring::experiment
{

// One way between two machines of a region.
inline constexpr duration network_latency = std::chrono::microseconds{500};
// Time in which the daemons learn their fleet and connect.
inline constexpr seconds preparation{8};

// After this time, callers of a partitioned daemon have to be served.
inline constexpr seconds partition_grace{4};

// A daemon's connection to a leaf.
struct link {
    std::size_t leaf = 0;
    bool accepted = false; // counts against the leaf's limit
};

struct daemon {
    gateway::state state;
    std::vector<gateway::effect> effects;
    std::vector<bulrushspring::effect> shared;
    std::uint64_t last_identifier = 0;
    std::map<std::uint64_t, link> links;   // by connection_id
    boot_time wakes_at = boot_time::max(); // the next tick
};

struct job {
    std::size_t daemon = 0;
    connection_id connection{};
    boot_time until{};
};

struct leaf {
    std::size_t shard = 0;
    std::size_t number = 0; // in its shard
    std::uint32_t connections = 0;
    std::size_t running = 0;
    std::deque<job> queue;
    std::uint32_t starts = 0; // of its process
    rate_check rate;
};

struct query {
    boot_time sent_at{};
    bool counted = false; // in the result
    // Sent while a partition has lasted for the users' grace time, to a daemon
    // that is partitioned or to another.
    bool during_partition = false;
    bool in_partition = false;
};

// Callers that ask the directory at the same times.
struct caller_group {
    duration ttl{0};
    boot_time asks_at{};
    std::vector<endpoint> entries;
};

struct timed_action {
    boot_time at{};
    std::uint64_t number = 0; // keeps the order of actions at the same time
    std::function<void()> run;
};
struct later {
    bool operator()(const timed_action& one, const timed_action& other) const
    {
        return std::pair(one.at, one.number) >
               std::pair(other.at, other.number);
    }
};

struct simulation {
    const pattern& plan;
    random_source random;
    boot_time now{seconds{1000}};
    boot_time start = now;
    std::uint64_t last_number = 0;
    std::uint64_t last_query = 0;
    std::priority_queue<timed_action, std::vector<timed_action>, later> actions;
    std::vector<daemon> daemons;
    std::vector<leaf> leafs;
    std::map<std::uint64_t, query> queries; // in progress, by token
    // Questions between daemons: who asked, and how it identifies them.
    std::map<std::uint64_t, std::pair<std::size_t, exchange_id>> peer_calls;
    std::vector<caller_group> groups;
    // Groups that await the directory's answer, by token.
    std::map<std::uint64_t, std::size_t> directory_calls;
    topology::records_learned records;
    run_result result;
};

// Performs an action after the delay.
void after(simulation&, duration delay, std::function<void()> run);

// Whether the warm-up has ended, and the time of the queries has not.
bool is_counting(const simulation&);

// Delivers an event to a daemon and carries out its effects.
void feed(simulation&, std::size_t daemon, const gateway::any_event&);

// A leaf gets a request, and answers it or ends the connection.
void arrive(simulation&, std::size_t leaf, const job& request);

// A leaf gets a connection that a daemon opens, and accepts it or not.
void accept(simulation&, std::size_t daemon, connection_id);

// The partition that holds for the daemon now; null if there is none.
const daemon_partition* find_partition(const simulation&, std::size_t daemon);

// A leaf ends a connection, or does not accept it.
void disconnect(simulation&, std::size_t daemon, connection_id);

// Removes a connection. Returns false if it has ended already.
bool remove_link(simulation&, std::size_t daemon, connection_id);

// Ends the connections and the work of leafs when they go down, and the
// connections of daemons whose paths are reset.
void schedule_faults(simulation&);

} // namespace bulrushspring::experiment

#endif
