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
    std::string program; // the daemon
    std::string folder;  // for settings and logs
    std::size_t daemons = 4;
    std::size_t shards = 4;
    std::size_t leafs = 3; // of each service
    std::uint64_t seed = 1;
};

// One daemon process, with the link between it and the store.
struct daemon {
    std::string name;
    std::string data_centre;
    std::uint32_t address = 0;
    pid_t process = -1;
    std::unique_ptr<proxy> store_link;
    bool stopping = false; // it was sent SIGTERM
    bool paused = false;
    // Until then, what callers see of it may be its own faults'.
    boot_time disturbed_until{};
    std::uint64_t proven_version = 0; // shown by this process
};

struct placed_leaf {
    std::unique_ptr<leaf> server;
    std::unique_ptr<proxy> link;
    bool listed = true;
};

// An installation on loopback: store, leafs and daemons, all of whose
// processes it starts and ends itself.
class installation
{
    // Before the members that take their addresses from it.
    std::uint32_t addresses_ = 0;

public:
    installation(event_base* base, site_options options);
    ~installation();
    installation(const installation&) = delete;
    installation& operator=(const installation&) = delete;

    // Publishes the next version: it adds the route /n<version>/.
    void publish_table();
    void start(daemon& which);
    void signal(const daemon& which, int number) const;
    // Forgets processes that ended by themselves; false if one did so with a
    // failure that no signal explains.
    bool collect();
    // Swaps the set of shards for another one of the same size.
    void reshard();

    endpoint callers_of(const daemon& which) const;
    endpoint directory_of(const daemon& which) const;
    std::size_t shards() const { return options_.shards; }
    const std::vector<std::string>& shard_services() const { return shards_; }
    // Sets of services that a version named, the newest last.
    const std::vector<std::set<std::string>>& shard_sets() const
    {
        return sets_;
    }
    std::uint64_t version() const { return version_; }
    static constexpr std::uint32_t connection_limit = 60;

    store platform_store;
    run_counts runs;
    std::vector<daemon> daemons;
    std::vector<placed_leaf> leafs;

private:
    void add_leafs(const std::string& service, duration work);
    void write_settings(const daemon& which) const;
    std::string settings_path(const daemon& which) const;
    endpoint next_address();

    event_base* base_;
    site_options options_;
    std::vector<std::string> shards_;
    std::vector<std::set<std::string>> sets_;
    std::uint64_t version_ = 0;
    std::uint32_t leafs_made_ = 0;
};

} // namespace bulrushspring::site

#endif
