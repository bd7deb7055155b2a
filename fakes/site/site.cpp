#include "fakes/site/site.hpp"

#include "fakes/site/socket_owner.hpp"
#include "platform/names.hpp"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

namespace bulrushspring::site
{
namespace
{

using nlohmann::json;

// The port of the store, leafs and proxies; each has its own address.
constexpr std::uint16_t port = 7700;
constexpr std::uint16_t callers_port = 7701;
constexpr std::uint16_t readiness_port = 7702;
constexpr std::uint16_t peers_port = 7703;
constexpr std::uint16_t directory_port = 7704;
constexpr std::uint16_t metrics_port = 9790; // the daemon's default

// A /24 loopback network derived from the process ID, so that concurrent runs
// do not collide.
std::uint32_t process_network()
{
    constexpr std::uint32_t loopback = 127U << 24U;
    return loopback | ((static_cast<std::uint32_t>(getpid()) & 0x7FFFU) + 256U)
                          << 8U;
}

json route_of(const std::string& name, const std::string& prefix, bool safe)
{
    return {{"name", name},      {"host", "site.example"},
            {"prefix", prefix},  {"kind", safe ? "safe" : "unsafe"},
            {"timeoutMs", 2000}, {"targetLatencyMs", 200},
            {"maxAttempts", 2},  {"priority", 1}};
}

std::string leaf_key(const placed_leaf& placed)
{
    return std::string(platform::names::leaf_prefix) +
           placed.server->options().id;
}

std::string data_centre_of(std::size_t number, const site_options& options)
{
    return "dc-" + std::to_string(number % options.data_centres);
}

} // namespace

endpoint installation::next_address()
{
    return {process_network() + ++last_address_, port};
}

installation::installation(event_base* base, site_options options)
    : platform_store(base, next_address()), base_(base),
      options_(std::move(options))
{
    const endpoint store_address{process_network() + 1, port};
    for (std::size_t i = 0; i < options_.shards; ++i) {
        shards_.push_back("shard-" + std::to_string(i));
        add_leafs(shards_.back(), milliseconds{8});
    }
    add_leafs("single", milliseconds{15});
    for (std::size_t i = 0; i < options_.daemons; ++i) {
        auto& created = daemons.emplace_back();
        created.name = "entry-" + std::to_string(i);
        created.data_centre = data_centre_of(i, options_);
        created.program = options_.second_program.empty() || i % 2 == 0
                              ? options_.program
                              : options_.second_program;
        const auto link = next_address();
        created.address = next_address().address;
        created.store_link = std::make_unique<proxy>(base, link, store_address);
        std::ofstream(settings_path(created) + ".store") << to_string(link);
        write_settings(created);
    }
    publish_table();
}

installation::~installation()
{
    for (auto& each : daemons) {
        if (each.process > 0) {
            kill(each.process, SIGKILL);
            waitpid(each.process, nullptr, 0);
        }
    }
}

void installation::add_leafs(const std::string& service, duration work)
{
    for (std::size_t i = 0; i < options_.leafs; ++i) {
        const auto server = next_address();
        const auto link = next_address();
        placed_leaf created;
        leaf_options settings;
        settings.id = "i-" + std::to_string(++leaf_count_);
        settings.service = service;
        settings.address = server;
        settings.data_centre = data_centre_of(i, options_);
        settings.work = work;
        settings.cold_per_second = options_.cold_per_second;
        created.server = std::make_unique<leaf>(base_, settings, runs,
                                                options_.seed + leaf_count_);
        created.link = std::make_unique<proxy>(base_, link, server);
        created.link->partition_clients(partition_);
        created.address = link;
        publish(created, false);
        leafs.push_back(std::move(created));
    }
}

void installation::publish(placed_leaf& placed, bool draining)
{
    auto item = json::parse(placed.server->published(draining));
    item["address"] = to_string(placed.address);
    placed.published = item.dump();
    placed.listed = true;
    platform_store.put(leaf_key(placed), placed.published);
}

void installation::remove(placed_leaf& placed)
{
    placed.listed = false;
    platform_store.remove(leaf_key(placed));
}

void installation::publish_table()
{
    ++version_;
    json routes = json::array();
    auto query = route_of("query", "/q/", true);
    query["gather"] = shards_;
    query["topK"] = 5;
    query["minCoverage"] = 0.5;
    routes.push_back(query);
    auto read = route_of("read", "/s/", true);
    read["service"] = "single";
    routes.push_back(read);
    auto order = route_of("order", "/u/", false);
    order["service"] = "single";
    routes.push_back(order);
    for (std::uint64_t each = 1; each <= version_; ++each) {
        const auto number = std::to_string(each);
        auto added = route_of("n" + number, "/n" + number + "/", true);
        added["service"] = "single";
        routes.push_back(added);
    }
    json services = json::array();
    auto names = shards_;
    names.emplace_back("single");
    for (const auto& name : names) {
        auto& added =
            services.emplace_back(json{{"name", name},
                                       {"healthPath", health_path},
                                       {"maxConnections", connection_limit},
                                       {"protocol", "h1"},
                                       {"tls", false}});
        if (options_.cold_per_second > 0) {
            added["coldPerS"] = options_.cold_per_second;
            added["warmupS"] = warm_up.count();
        }
    }
    const json limits = {{"maxHeaderBytes", 16384},
                         {"maxBodyBytes", options_.max_body_bytes},
                         {"headerTimeoutMs", 3000},
                         {"idleTimeoutMs", 15000}};
    shard_sets_.emplace_back(shards_.begin(), shards_.end());
    table_ = json{
        {"version", version_},
        {"routes", routes},
        {"services", services},
        {"limits",
         limits}}.dump();
    platform_store.put(std::string(platform::names::table_key), table_);
}

void installation::write_again(const std::vector<std::string>& keys)
{
    for (const auto& key : keys) {
        if (key == platform::names::table_key) {
            platform_store.put(key, table_);
            continue;
        }
        for (const auto& each : leafs) {
            if (key == leaf_key(each)) {
                each.listed ? platform_store.put(key, each.published)
                            : platform_store.remove(key);
            }
        }
    }
}

void installation::partition_from_leafs(daemon& node, bool reset)
{
    node.partitioned_since = system_boot_clock{}.now();
    node.partition_reported = false;
    partition_.reset = reset;
    ports_read_at_ = {};
    partition_.ports = [this, &node] {
        const auto now = system_boot_clock{}.now();
        if (now - ports_read_at_ >= port_cache_time) {
            ports_read_at_ = now;
            partitioned_ports_ = ports_of(std::span(&node.process, 1));
        }
        return partitioned_ports_;
    };
    for (auto& each : leafs) {
        each.link->partition_clients(partition_);
    }
}

void installation::heal_partition()
{
    partition_ = {};
    for (auto& each : daemons) {
        each.partitioned_since = boot_time::max();
    }
    for (auto& each : leafs) {
        each.link->partition_clients(partition_);
    }
}

void installation::evacuate(const std::string& data_centre, bool revoked)
{
    const auto key =
        std::string(platform::names::evacuation_prefix) + data_centre;
    if (revoked) {
        platform_store.remove(key);
    } else {
        platform_store.put(key, "{}");
    }
}

void installation::reshard()
{
    for (auto& each : shards_) {
        each = "next-" + std::to_string(version_) + "-" + each;
        add_leafs(each, milliseconds{8});
    }
    publish_table();
}

std::string installation::settings_path(const daemon& node) const
{
    return options_.folder + "/" + node.name + ".conf";
}

void installation::write_settings(const daemon& node) const
{
    std::ifstream link_file(settings_path(node) + ".store");
    std::string link;
    link_file >> link;
    const auto listen_address = [&](std::uint16_t number) {
        return to_string(endpoint{node.address, number});
    };
    std::ofstream file(settings_path(node));
    file << "nodeName=" << node.name << "\nzone=" << node.data_centre
         << "\nregion=r\nlisten.front=" << listen_address(callers_port)
         << "\nlisten.readinessAddress=" << listen_address(readiness_port)
         << "\nlisten.control=" << listen_address(peers_port)
         << "\nlisten.directory=" << listen_address(directory_port)
         << "\nseeds=" << to_string(endpoint{daemons[0].address, peers_port})
         << "\nbounds.graceS=6\nbounds.configApplyMs=3000"
         << "\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10"
         << "\nbounds.retryBudgetSlack=100\nplatform.address=" << link << '\n';
    if (options_.memory_mb != 0) {
        file << "limits.memoryMb=" << options_.memory_mb << '\n';
    }
    if (options_.queue_admission) {
        file << "overload.admission=1\n";
    }
}

void installation::start(daemon& node)
{
    const auto settings = "--settings=" + settings_path(node);
    const auto log = options_.folder + "/" + node.name + ".log";
    // No program can handle a signal before its main begins: the daemon starts
    // with these blocked, so that they stay pending.
    sigset_t planned;
    sigemptyset(&planned);
    sigaddset(&planned, SIGTERM);
    sigaddset(&planned, SIGHUP);
    sigset_t earlier;
    sigprocmask(SIG_BLOCK, &planned, &earlier);
    node.process = fork();
    if (node.process == 0) {
        const int to = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(to, STDOUT_FILENO);
        dup2(to, STDERR_FILENO);
        execl(node.program.c_str(), node.program.c_str(), settings.c_str(),
              nullptr);
        _exit(127);
    }
    sigprocmask(SIG_SETMASK, &earlier, nullptr);
    node.started_at = system_boot_clock{}.now();
    node.stopping = false;
    node.overdue = false;
    node.paused = false;
    node.proven_version = 0;
}

void installation::signal(const daemon& node, int number) const
{
    if (node.process > 0) {
        kill(node.process, number);
    }
}

std::vector<std::string> installation::reap()
{
    std::vector<std::string> unexpected;
    for (auto& each : daemons) {
        int status = 0;
        if (each.process > 0 &&
            waitpid(each.process, &status, WNOHANG) == each.process) {
            const bool killed =
                WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
            const bool ended =
                WIFEXITED(status) && WEXITSTATUS(status) == 0 && each.stopping;
            if (!killed && !ended) {
                unexpected.push_back(
                    each.name + " ended unexpectedly, by " +
                    (WIFSIGNALED(status)
                         ? "signal " + std::to_string(WTERMSIG(status))
                         : "exit " + std::to_string(WEXITSTATUS(status))) +
                    ", " +
                    std::to_string(to_milliseconds(system_boot_clock{}.now() -
                                                   each.started_at)) +
                    " ms after its start");
            }
            each.process = -1;
        }
    }
    return unexpected;
}

endpoint installation::callers_address(const daemon& node) const
{
    return {node.address, callers_port};
}

endpoint installation::directory_address(const daemon& node) const
{
    return {node.address, directory_port};
}

endpoint installation::readiness_address(const daemon& node) const
{
    return {node.address, readiness_port};
}

endpoint installation::metrics_address(const daemon& node) const
{
    return {node.address, metrics_port};
}

endpoint installation::peers_address(const daemon& node) const
{
    return {node.address, peers_port};
}

} // namespace bulrushspring::site
