#include "base/hash.hpp"
#include "fakes/http/program.hpp"
#include "fakes/leaf/host.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/str_split.h>

#include <fstream>
#include <set>
#include <string>
#include <vector>

ABSL_FLAG(std::string, pool, "",
          "file with a manifest's pool section, whose leafs are hosted");
ABSL_FLAG(std::vector<std::string>, names, {},
          "with --pool: host only these leafs");
ABSL_FLAG(std::uint32_t, leafs, 1, "without --pool: number of leafs to host");
ABSL_FLAG(std::uint32_t, first, 0, "without --pool: number of the first leaf");
ABSL_FLAG(std::string, prefix, "leaf-", "without --pool: prefix of the names");
ABSL_FLAG(std::uint32_t, shards, 1,
          "without --pool: shards; leaf N holds shard N modulo this");
ABSL_FLAG(std::uint64_t, snapshot, 1, "without --pool: the snapshot served");
ABSL_FLAG(std::string, data_centre, "dc-1", "without --pool: data centre");
ABSL_FLAG(std::string, address, "127.0.0.1", "IPv4 address to listen on");
ABSL_FLAG(std::uint16_t, port, 0,
          "without --pool: port of the first leaf, the others use the next "
          "ports; 0: any free ports");
ABSL_FLAG(std::uint16_t, admin_port, 0,
          "port of the operator interface; 0: any free port");
ABSL_FLAG(std::string, port_file, "",
          "file to write once listening: the admin address, then a line "
          "NAME ADDRESS for each leaf");
ABSL_FLAG(std::string, record, "",
          "file to which a line of JSON is appended before each execution; it "
          "is kept when the process ends");
ABSL_FLAG(std::string, pool_file, "",
          "file to write once listening: the leafs as a pool section");
ABSL_FLAG(std::uint32_t, slots, 3, "without --pool: slots of a leaf");
ABSL_FLAG(std::uint32_t, connections, 65,
          "without --pool: connection limit of a leaf");
ABSL_FLAG(double, connect_cost_ms, 0,
          "without --pool: delay of the first answer on a new connection");
ABSL_FLAG(std::uint32_t, queue, 6, "requests that may wait for a slot");
ABSL_FLAG(double, cold_start_ms, 0, "time from the start until a leaf is warm");
ABSL_FLAG(double, cold_factor, 4, "service time multiplier while cold");
ABSL_FLAG(double, service_time_ms, 5, "mean service time");
ABSL_FLAG(std::string, service_time, "exponential",
          "distribution of service times: constant or exponential");
ABSL_FLAG(double, straggle_share, 0, "share of requests that are stragglers");
ABSL_FLAG(double, straggle_ms, 0, "time by which stragglers take longer");
ABSL_FLAG(std::uint64_t, seed, 1,
          "seed of the random generators, combined with the leaf's name");
ABSL_FLAG(std::string, faults, "",
          "initial faults, as for POST /admin/faults: KEY=VALUE&...");

namespace
{

using namespace bulrushspring;
using fakes::leaf_options;

duration to_duration(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(value));
}

result<std::vector<leaf_options>> generated_leafs()
{
    TRY(address, parse_endpoint(absl::GetFlag(FLAGS_address) + ":0"));
    const auto port = absl::GetFlag(FLAGS_port);
    std::vector<leaf_options> leafs;
    for (std::uint32_t i = 0; i < absl::GetFlag(FLAGS_leafs); ++i) {
        const auto number = absl::GetFlag(FLAGS_first) + i;
        leaf_options leaf;
        leaf.name = absl::GetFlag(FLAGS_prefix) + std::to_string(number);
        leaf.data_centre = absl::GetFlag(FLAGS_data_centre);
        leaf.address = address;
        leaf.address.port =
            static_cast<std::uint16_t>(port == 0 ? 0 : port + i);
        leaf.current_snapshot = absl::GetFlag(FLAGS_snapshot);
        leaf.holdings[leaf.current_snapshot].insert(
            number % absl::GetFlag(FLAGS_shards));
        leaf.slots = absl::GetFlag(FLAGS_slots);
        leaf.connections = absl::GetFlag(FLAGS_connections);
        leaf.connect_cost = to_duration(absl::GetFlag(FLAGS_connect_cost_ms));
        leafs.push_back(std::move(leaf));
    }
    return leafs;
}

result<std::vector<leaf_options>> pool_leafs()
{
    const auto names = absl::GetFlag(FLAGS_names);
    TRY(section, fakes::read_file(absl::GetFlag(FLAGS_pool)));
    return fakes::parse_pool(section, {names.begin(), names.end()});
}

result<void> set_common_options(leaf_options& leaf)
{
    const auto distribution = absl::GetFlag(FLAGS_service_time);
    if (distribution != "constant" && distribution != "exponential") {
        return error{errc::malformed, "read flags", "", "--service_time"};
    }
    leaf.work.distribution = distribution == "constant"
                                 ? fakes::time_distribution::constant
                                 : fakes::time_distribution::exponential;
    leaf.work.mean = to_duration(absl::GetFlag(FLAGS_service_time_ms));
    leaf.work.straggler_share = absl::GetFlag(FLAGS_straggle_share);
    leaf.work.straggler_delay = to_duration(absl::GetFlag(FLAGS_straggle_ms));
    leaf.queue = absl::GetFlag(FLAGS_queue);
    leaf.cold_start = to_duration(absl::GetFlag(FLAGS_cold_start_ms));
    leaf.cold_factor = absl::GetFlag(FLAGS_cold_factor);
    leaf.seed = stable_hash(leaf.name, absl::GetFlag(FLAGS_seed));
    return success();
}

result<void> announce_leafs(const fakes::leaf_host& host)
{
    auto text = to_string(host.operators->address) + "\n";
    std::vector<leaf_options> leafs;
    for (const auto& it : host.leafs) {
        leafs.push_back(it->options);
        text += it->options.name + " " + to_string(it->options.address) + "\n";
    }
    if (const auto path = absl::GetFlag(FLAGS_pool_file); !path.empty()) {
        TRY(fakes::write_file(path, fakes::pool_section(leafs)));
    }
    return fakes::announce_addresses(absl::GetFlag(FLAGS_port_file), text);
}

fakes::query_values parse_pairs(const std::string& text)
{
    fakes::query_values pairs;
    for (const auto part : absl::StrSplit(text, '&', absl::SkipEmpty())) {
        const std::pair<std::string, std::string> pair =
            absl::StrSplit(part, absl::MaxSplits('=', 1));
        pairs[pair.first] = pair.second;
    }
    return pairs;
}

result<void> record_executions(fakes::leaf_host& host, std::ofstream& record)
{
    const auto path = absl::GetFlag(FLAGS_record);
    if (path.empty()) {
        return success();
    }
    record.open(path, std::ios::app);
    if (!record) {
        return error{errc::unreachable, "open record", path, ""};
    }
    for (const auto& leaf : host.leafs) {
        leaf->on_execution = [&record](const fakes::execution_record& done) {
            record << fakes::to_json(done) + "\n" << std::flush;
        };
    }
    return success();
}

result<void> run()
{
    const auto base = client::make_event_base();
    const system_boot_clock time;
    TRY(leafs,
        absl::GetFlag(FLAGS_pool).empty() ? generated_leafs() : pool_leafs());
    for (auto& leaf : leafs) {
        TRY(set_common_options(leaf));
    }
    TRY(admin, parse_endpoint(absl::GetFlag(FLAGS_address) + ":" +
                              std::to_string(absl::GetFlag(FLAGS_admin_port))));
    std::ofstream record; // declared first: the leafs write to it
    TRY(host, fakes::open_host(*base, time, leafs, admin));
    const auto faults = parse_pairs(absl::GetFlag(FLAGS_faults));
    for (const auto& leaf : host->leafs) {
        TRY(fakes::apply_faults(*leaf, faults));
    }
    TRY(record_executions(*host, record));
    TRY(announce_leafs(*host));
    return fakes::run_until_signal(*base);
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("fake leafs (docs/TARGETS.md)");
    absl::ParseCommandLine(argc, argv);
    return fakes::exit_code_of(run());
}
