#ifndef BULRUSHSPRING_FAKES_SITE_SITE_HPP
#define BULRUSHSPRING_FAKES_SITE_SITE_HPP

#include "fakes/site/leaf.hpp"
#include "fakes/site/proxy.hpp"
#include "fakes/site/store.hpp"

#include <set>
#include <sys/types.h>

namespace bulrushspring::site
{

struct site_options {
    std::string program; // path of the daemon's executable
    // If set, the executable that every second daemon starts with.
    std::string second_program;
    std::string folder; // for settings and logs
    std::size_t daemons = 4;
    std::size_t shards = 4;
    std::size_t leafs = 3; // of each service
    std::size_t data_centres = 3;
    std::uint64_t seed = 1;
    // The services' `coldPerS`; 0: not in the configuration, and the soak
    // restarts no leafs.
    double cold_per_second = 0;
    std::uint64_t memory_mb = 0; // limits.memoryMb; 0: not in the settings
    std::uint64_t max_body_bytes = 65536; // of callers' requests
    // Whether the settings have overload.admission=1.
    bool queue_admission = false;
};

// A daemon process and the proxy between it and the store.
struct daemon {
    std::string name;
    std::string program; // path of the executable
    std::string data_centre;
    std::uint32_t address = 0;
    pid_t process = -1;
    boot_time started_at{};
    std::unique_ptr<proxy> store_link;
    bool stopping = false;  // SIGTERM has been sent
    boot_time stopped_at{}; // the time of the first SIGTERM
    bool overdue = false;   // ran longer after SIGTERM than it may
    boot_time partitioned_since = boot_time::max(); // from all leafs
    bool partition_reported = false; // callers were sent to it nevertheless
    bool paused = false;
    boot_time paused_at{};
    // Failures that callers see before this time may be caused by injected
    // faults and do not count as violations.
    boot_time disturbed_until{};
    std::uint64_t proven_version = 0; // newest version this process has served
};

struct placed_leaf {
    std::unique_ptr<leaf> server;
    std::unique_ptr<proxy> link;
    endpoint address;      // of the link, which the record names
    std::string published; // its record's content
    bool listed = true;
    bool over_limit = false;     // got more than the limit that it states
    bool over_cold_rate = false; // got more than it may while cold
};

// An installation on loopback addresses: a simulated store and simulated
// leafs, and daemon processes that it starts and, when destroyed, kills.
class installation
{
    // Declared first because the initialisation of other members allocates
    // addresses from it.
    std::uint32_t last_address_ = 0;

public:
    installation(event_base* base, site_options options);
    ~installation();
    installation(const installation&) = delete;
    installation& operator=(const installation&) = delete;

    // Publishes the next configuration version, which adds the route
    // /n<version>/.
    void publish_table();
    void start(daemon& node);
    void signal(const daemon& node, int number) const;
    // Reaps daemon processes that have exited. Returns a description of each
    // that was neither killed by SIGKILL nor exited with status 0 after
    // SIGTERM.
    std::vector<std::string> reap();
    // Partitions the daemon from all leafs, or heals the partition that holds.
    // There is one at a time.
    void partition_from_leafs(daemon& node, bool reset);
    void heal_partition();
    // Writes the operator's key that evacuates the data centre, or removes it.
    void evacuate(const std::string& data_centre, bool revoked);
    // Publishes the leaf's record with what the leaf states now, or removes it.
    void publish(placed_leaf& placed, bool draining);
    void remove(placed_leaf& placed);
    // Replaces all shards by the same number of new ones and publishes that.
    void reshard();
    // Publishes the newest content of the records of these keys again.
    void write_again(const std::vector<std::string>& keys);

    endpoint callers_address(const daemon& node) const;
    endpoint directory_address(const daemon& node) const;
    endpoint readiness_address(const daemon& node) const;
    endpoint metrics_address(const daemon& node) const;
    endpoint peers_address(const daemon& node) const;
    std::size_t shards() const { return options_.shards; }
    const std::vector<std::string>& shard_services() const { return shards_; }
    // The shard services of each published version, the newest last.
    const std::vector<std::set<std::string>>& shard_sets() const
    {
        return shard_sets_;
    }
    std::uint64_t version() const { return version_; }
    static constexpr std::uint32_t connection_limit = 60;
    static constexpr seconds warm_up{5}; // the services' `warmupS`

    store platform_store;
    run_counts runs;
    std::vector<daemon> daemons;
    std::vector<placed_leaf> leafs;

private:
    void add_leafs(const std::string& service, duration work);
    void write_settings(const daemon& node) const;
    std::string settings_path(const daemon& node) const;
    endpoint next_address();

    event_base* base_;
    site_options options_;
    std::vector<std::string> shards_;
    std::vector<std::set<std::string>> shard_sets_;
    std::uint64_t version_ = 0;
    std::string table_; // the newest published
    std::uint32_t leaf_count_ = 0;
    client_partition partition_; // that holds now
    std::set<std::uint16_t> partitioned_ports_;
    boot_time ports_read_at_{};
};

} // namespace bulrushspring::site

#endif
