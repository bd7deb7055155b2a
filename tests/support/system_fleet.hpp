#ifndef BULRUSHSPRING_TESTS_SUPPORT_SYSTEM_FLEET_HPP
#define BULRUSHSPRING_TESTS_SUPPORT_SYSTEM_FLEET_HPP

#include "libraries/client/caller.hpp"
#include "libraries/manifest/documents.hpp"
#include "tests/support/process.hpp"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace bulrushspring::test
{

using json = nlohmann::json;

// A fleet of six daemons in three data centres with a fake platform and fake
// leafs, all of them processes. The loopback address is derived from the
// process id, so that tests can run in parallel.
class system_fleet
{
public:
    static constexpr int daemons = 6;
    static constexpr int shards = 4;
    static constexpr int replicas = 3;

    // Publishes version 1 and starts the platform and the leafs; `prefix` is
    // the first octet of the loopback address, with its dot, and `limits` are
    // further lines of that section of the daemons' settings.
    explicit system_fleet(std::string prefix = "127.", std::string limits = "")
        : limits_(std::move(limits))
    {
        address_ = std::move(prefix) +
                   std::to_string(getpid() / 250 % 100 + 100) + "." +
                   std::to_string(getpid() % 250 + 1) + ".1";
        make_sections();
        write_publication(1);
        start_platform();
        start_leafs("index");
        start_leafs("desk");
    }

    // Has the daemon read another platform, from its next start on.
    void use_platform(int number, const endpoint& platform)
    {
        other_platforms_.insert_or_assign(number, platform);
    }

    void start_daemon(int number)
    {
        const std::string file = folder_ / (daemon_name(number) + ".ini");
        write_text(file, daemon_settings(number));
        running_daemons_.insert_or_assign(
            number, process({"bulrushspringd", "--settings=" + file},
                            folder_ / (daemon_name(number) + ".log")));
    }

    // Starts all daemons and waits until they serve version 1 and a query is
    // answered.
    void start_daemons()
    {
        for (int number = 1; number <= daemons; ++number) {
            start_daemon(number);
        }
        wait_for_version(1);
        wait_until([&] {
            return send_call("find").answer.status == answer_status::answered;
        });
    }

    process& daemon(int number) { return running_daemons_.at(number); }
    void kill_daemon(int number)
    {
        daemon(number).stop(SIGKILL);
        running_daemons_.erase(number);
    }
    int stop_daemon(int number)
    {
        const int status = daemon(number).stop(SIGTERM);
        running_daemons_.erase(number);
        return status;
    }

    // The process that runs one replica of each shard of a pool.
    process& leaf_process(const std::string& pool, int replica)
    {
        return leafs_.at(pool + std::to_string(replica));
    }

    json status(int number) const
    {
        const auto text = http_get(operator_address(number), "/v1/status");
        return json::parse(text, nullptr, false);
    }
    // The manifest version that a daemon serves; 0 if it does not serve.
    std::uint64_t served_version(int number) const
    {
        const auto current = status(number);
        return current.is_object() && current["serving"] == true
                   ? current["configuration"]["manifest_version"]
                         .get<std::uint64_t>()
                   : 0;
    }
    // Waits until every running daemon serves the version.
    void wait_for_version(std::uint64_t version) const
    {
        for (const auto& [number, unused] : running_daemons_) {
            wait_until(
                [&, at = number] { return served_version(at) == version; });
        }
    }

    // Replaces the text of a section and publishes the manifest under a
    // version.
    void publish(std::uint64_t version, const std::string& section,
                 const std::string& text)
    {
        sections_[section] = text;
        write_publication(version);
        http_post(platform_admin_,
                  "/admin/publish?folder=" + publication_folder());
    }
    const std::string& section(const std::string& name) const
    {
        return sections_.at(name);
    }
    // `faults` is a query string of the fake platform's /admin/faults.
    void inject_platform_faults(const std::string& faults) const
    {
        http_post(platform_admin_, "/admin/faults?" + faults);
    }
    // `faults` is a query string of the fake leafs' /admin/faults.
    void inject_leaf_faults(const std::string& pool, int replica,
                            const std::string& faults) const
    {
        http_post(leaf_admin_.at(pool + std::to_string(replica)),
                  "/admin/faults?" + faults);
    }

    // Sends one call to the running daemons and waits up to 5 s for its
    // outcome. An empty id stands for a new one.
    client::call_outcome
    send_call(const std::string& service,
              manifest::service_kind kind = manifest::service_kind::query,
              const std::string& id = "") const
    {
        client::address_book book;
        for (const auto& [number, unused] : running_daemons_) {
            book.bootstrap.push_back(caller_address(number));
        }
        client::call call;
        call.kind = kind;
        call.service = service;
        call.key = "key";
        call.id =
            id.empty() ? "ask-" + std::to_string(++last_call_number_) : id;
        call.body = "words";
        call.deadline = seconds{5};
        return client::run_call(book, client::http_transport(),
                                std::move(call));
    }

    // Number of recorded executions of non-idempotent requests with this id.
    int count_executions(const std::string& id) const
    {
        const std::string pattern = "\"request_id\":\"" + id + "\"";
        int count = 0;
        for (const auto& [name, admin] : leaf_admin_) {
            const auto text =
                http_get(admin, "/admin/executions?idempotent=no");
            for (auto at = text.find(pattern); at != std::string::npos;
                 at = text.find(pattern, at + 1)) {
                ++count;
            }
        }
        return count;
    }

    std::string leaf_admin_addresses() const
    {
        std::string all;
        for (const auto& [name, admin] : leaf_admin_) {
            all += (all.empty() ? "" : ",") + to_string(admin);
        }
        return all;
    }
    std::string caller_addresses() const
    {
        std::string all;
        for (int number = 1; number <= daemons; ++number) {
            all += (all.empty() ? "" : ",") + to_string(caller_address(number));
        }
        return all;
    }
    endpoint caller_address(int number) const { return address_of(number, 1); }
    endpoint peer_address(int number) const { return address_of(number, 2); }
    endpoint operator_address(int number) const
    {
        return address_of(number, 3);
    }
    std::string path(const std::string& name) const { return folder_ / name; }
    std::string read_log(int number) const
    {
        return read_text(folder_ / (daemon_name(number) + ".log"));
    }

    // Body of the response, empty if there is none within 5 s.
    static std::string http_get(const endpoint& to, const std::string& target)
    {
        client::http_request request;
        request.target = target;
        auto exchanged = client::exchange(to, request, seconds{5});
        return exchanged.response ? exchanged.response.value().body : "";
    }
    static void http_post(const endpoint& to, const std::string& target)
    {
        client::http_request request;
        request.method = client::http_method::post;
        request.target = target;
        client::exchange(to, request, seconds{5});
    }

private:
    static std::string daemon_name(int number)
    {
        return "entry-" + std::to_string(number);
    }
    static std::string data_centre_name(int number)
    {
        return "dc-" + std::to_string(number % 3 + 1);
    }
    // Address of a listener of a daemon; `offset` is 1 for callers, 2 for peers
    // and 3 for operators.
    endpoint address_of(int number, int offset) const
    {
        return parse_endpoint(address_ + ":" +
                              std::to_string(7000 + 10 * number + offset))
            .value();
    }
    endpoint platform_of(int number) const
    {
        const auto found = other_platforms_.find(number);
        return found == other_platforms_.end() ? platform_ : found->second;
    }
    std::string publication_folder() const { return folder_ / "published"; }

    std::string daemon_settings(int number) const
    {
        return "[daemon]\nname = " + daemon_name(number) +
               "\ndata_centre = " + data_centre_name(number) +
               "\nregion = r\n[listen]\ncallers = " +
               to_string(caller_address(number)) +
               "\npeers = " + to_string(peer_address(number)) +
               "\noperators = " + to_string(operator_address(number)) +
               "\n[platform]\naddress = " + to_string(platform_of(number)) +
               "\n[seeds]\na = " + to_string(peer_address(1)) +
               "\nb = " + to_string(peer_address(2)) +
               "\n[limits]\naddress_hold_ms = 300\n" + limits_;
    }

    void make_sections()
    {
        std::string fleet = "[fleet]\nspare_vms = 1\n";
        for (int i = 1; i <= 3; ++i) {
            fleet += "[data_centre dc-" + std::to_string(i) + "]\nregion = r\n";
        }
        for (int i = 1; i <= daemons; ++i) {
            fleet += "[vm " + daemon_name(i) +
                     "]\ndata_centre = " + data_centre_name(i) +
                     "\ncaller = " + to_string(caller_address(i)) +
                     "\npeer = " + to_string(peer_address(i)) +
                     "\noperators = " + to_string(operator_address(i)) + "\n";
        }
        sections_["fleet"] = fleet;
        sections_["pool.index"] = pool_section("index", shards, 8100);
        sections_["pool.desk"] = pool_section("desk", 1, 8200);
        sections_["service.find"] =
            "[service]\nkind = query\npool = index\ndeadline_ms = 3000\n"
            "hedge_budget = 0.05\nwait_for_coverage = yes\n";
        sections_["service.track"] =
            "[service]\nkind = read\npool = index\ndeadline_ms = 3000\n"
            "hedge_budget = 0.05\n";
        sections_["service.order"] =
            "[service]\nkind = request\npool = desk\ndeadline_ms = 3000\n";
    }
    std::string pool_section(const std::string& name, int shard_count,
                             int first_port) const
    {
        std::string text = "[pool]\nserve = 1\nslots = 3\nconnections = 40\n"
                           "[snapshot 1]\nshards = " +
                           std::to_string(shard_count) + "\n";
        for (int shard = 0; shard < shard_count; ++shard) {
            for (int replica = 0; replica < replicas; ++replica) {
                text +=
                    "[leaf " + leaf_name(name, shard, replica) +
                    "]\naddress = " + address_ + ":" +
                    std::to_string(first_port + shard * replicas + replica) +
                    "\ndata_centre = " + data_centre_name(replica) +
                    "\nstate = live\nholds = 1/" + std::to_string(shard) + "\n";
            }
        }
        return text;
    }
    static std::string leaf_name(const std::string& pool, int shard,
                                 int replica)
    {
        return pool + "-" + std::to_string(shard) + "-" +
               std::to_string(replica);
    }

    void write_publication(std::uint64_t version)
    {
        std::filesystem::create_directories(publication_folder() + "/section");
        std::vector<manifest::section_text> texts;
        for (const auto& [name, content] : sections_) {
            texts.push_back({name, content});
            write_text(publication_folder() + "/section/" +
                           to_string(hash_content(content)),
                       content);
        }
        write_text(publication_folder() + "/manifest",
                   manifest::pack_index(version, texts));
        std::string vms;
        for (int i = 1; i <= daemons; ++i) {
            vms += "[vm " + daemon_name(i) + "]\nstate = live\n";
        }
        write_text(publication_folder() + "/vms", vms);
    }

    // Waits until a program has written its port file and returns the
    // addresses in it, one per line.
    std::vector<endpoint> wait_for_port_file(const std::string& file) const
    {
        wait_until([&] { return !read_text(file).empty(); });
        std::vector<endpoint> all;
        std::istringstream lines(read_text(file));
        for (std::string line; std::getline(lines, line);) {
            const auto parsed = parse_endpoint(line);
            if (parsed) {
                all.push_back(parsed.value());
            }
        }
        return all;
    }
    void start_platform()
    {
        const auto file = folder_ / "platform.port";
        platform_process_.emplace_back(process(
            {"fake-platform", "--address=" + address_,
             "--publish=" + publication_folder(), "--port_file=" + file},
            folder_ / "platform.log"));
        const auto ports = wait_for_port_file(file);
        platform_ = ports.at(0);
        platform_admin_ = ports.at(1);
    }
    void start_leafs(const std::string& pool)
    {
        const auto section = folder_ / ("pool." + pool);
        write_text(section, sections_.at("pool." + pool));
        const int shard_count = pool == "index" ? shards : 1;
        for (int replica = 0; replica < replicas; ++replica) {
            std::string names;
            for (int shard = 0; shard < shard_count; ++shard) {
                names +=
                    (shard == 0 ? "" : ",") + leaf_name(pool, shard, replica);
            }
            const auto key = pool + std::to_string(replica);
            const auto file = folder_ / (key + ".port");
            leafs_.emplace(key,
                           process({"fake-leaf", "--address=" + address_,
                                    "--pool=" + section, "--names=" + names,
                                    "--port_file=" + file},
                                   folder_ / (key + ".log")));
            leaf_admin_[key] = wait_for_port_file(file).at(0);
        }
    }

    mutable int last_call_number_ = 0;
    std::string limits_;
    temporary_folder folder_;
    std::string address_;
    std::map<std::string, std::string> sections_;
    endpoint platform_;
    endpoint platform_admin_;
    std::map<int, endpoint> other_platforms_;
    std::map<std::string, endpoint> leaf_admin_;
    std::vector<process> platform_process_;
    std::map<std::string, process> leafs_;
    std::map<int, process> running_daemons_;
};

} // namespace bulrushspring::test

#endif
