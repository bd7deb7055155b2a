#include "fakes/site/site.hpp"

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

constexpr std::uint16_t port = 7700; // of stand-ins, one address each
constexpr std::uint16_t callers_port = 7701;
constexpr std::uint16_t readiness_port = 7702;
constexpr std::uint16_t peers_port = 7703;
constexpr std::uint16_t directory_port = 7704;

// A net of loopback of this process's own, so that runs don't meet.
std::uint32_t own_net()
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

std::string data_centre_of(std::size_t number)
{
    return "dc-" + std::to_string(number % 3);
}

} // namespace

endpoint installation::next_address()
{
    return {own_net() + ++addresses_, port};
}

installation::installation(event_base* base, site_options options)
    : platform_store(base, next_address()), base_(base),
      options_(std::move(options))
{
    const endpoint store_address{own_net() + 1, port};
    for (std::size_t i = 0; i < options_.shards; ++i) {
        shards_.push_back("shard-" + std::to_string(i));
        add_leafs(shards_.back(), milliseconds{8});
    }
    add_leafs("single", milliseconds{15});
    for (std::size_t i = 0; i < options_.daemons; ++i) {
        auto& made = daemons.emplace_back();
        made.name = "entry-" + std::to_string(i);
        made.data_centre = data_centre_of(i);
        const auto link = next_address();
        made.address = next_address().address;
        made.store_link = std::make_unique<proxy>(base, link, store_address);
        std::ofstream(settings_path(made) + ".store") << to_string(link);
        write_settings(made);
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
        placed_leaf made;
        leaf_options settings;
        settings.id = "i-" + std::to_string(++leafs_made_);
        settings.service = service;
        settings.address = server;
        settings.data_centre = data_centre_of(i);
        settings.work = work;
        made.server = std::make_unique<leaf>(base_, settings, runs,
                                             options_.seed + leafs_made_);
        made.link = std::make_unique<proxy>(base_, link, server);
        auto item = json::parse(made.server->published(false));
        item["address"] = to_string(link);
        platform_store.put("servers/" + settings.id, item.dump());
        leafs.push_back(std::move(made));
    }
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
        services.push_back({{"name", name},
                            {"healthPath", "/health"},
                            {"maxConnections", connection_limit},
                            {"protocol", "h1"},
                            {"tls", false}});
    }
    const json limits = {{"maxHeaderBytes", 16384},
                         {"maxBodyBytes", 65536},
                         {"headerTimeoutMs", 3000},
                         {"idleTimeoutMs", 15000}};
    sets_.emplace_back(shards_.begin(), shards_.end());
    platform_store.put(std::string(platform::names::table_key),
                       json{{"version", version_},
                            {"routes", routes},
                            {"services", services},
                            {"limits", limits}}
                           .dump());
}

void installation::reshard()
{
    for (auto& each : shards_) {
        each = "next-" + std::to_string(version_) + "-" + each;
        add_leafs(each, milliseconds{8});
    }
    publish_table();
}

std::string installation::settings_path(const daemon& which) const
{
    return options_.folder + "/" + which.name + ".conf";
}

void installation::write_settings(const daemon& which) const
{
    std::ifstream link_file(settings_path(which) + ".store");
    std::string link;
    link_file >> link;
    const auto at = [&](std::uint16_t number) {
        return to_string(endpoint{which.address, number});
    };
    std::ofstream file(settings_path(which));
    file << "nodeName=" << which.name << "\nzone=" << which.data_centre
         << "\nregion=r\nlisten.front=" << at(callers_port)
         << "\nlisten.readinessAddress=" << at(readiness_port)
         << "\nlisten.control=" << at(peers_port)
         << "\nlisten.directory=" << at(directory_port)
         << "\nseeds=" << to_string(endpoint{daemons[0].address, peers_port})
         << "\nbounds.graceS=6\nbounds.configApplyMs=3000"
         << "\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10"
         << "\nbounds.retryBudgetSlack=100\nplatform.address=" << link << '\n';
}

void installation::start(daemon& which)
{
    const auto settings = "--settings=" + settings_path(which);
    const auto log = options_.folder + "/" + which.name + ".log";
    which.process = fork();
    if (which.process == 0) {
        const int to = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(to, STDOUT_FILENO);
        dup2(to, STDERR_FILENO);
        execl(options_.program.c_str(), options_.program.c_str(),
              settings.c_str(), nullptr);
        _exit(127);
    }
    which.stopping = false;
    which.paused = false;
    which.proven_version = 0;
}

void installation::signal(const daemon& which, int number) const
{
    if (which.process > 0) {
        kill(which.process, number);
    }
}

bool installation::collect()
{
    bool well = true;
    for (auto& each : daemons) {
        int status = 0;
        if (each.process > 0 &&
            waitpid(each.process, &status, WNOHANG) == each.process) {
            const bool killed =
                WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
            const bool ended =
                WIFEXITED(status) && WEXITSTATUS(status) == 0 && each.stopping;
            well = well && (killed || ended);
            each.process = -1;
        }
    }
    return well;
}

endpoint installation::callers_of(const daemon& which) const
{
    return {which.address, callers_port};
}

endpoint installation::directory_of(const daemon& which) const
{
    return {which.address, directory_port};
}

} // namespace bulrushspring::site
