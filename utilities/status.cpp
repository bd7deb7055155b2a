#include "libraries/client/http.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

ABSL_FLAG(std::string, daemon, "",
          "operators' address of a daemon, as ADDRESS:PORT");
ABSL_FLAG(bool, fleet, false,
          "query every member that this daemon knows and compare their status");
ABSL_FLAG(bool, json, false, "print JSON instead of tables");
ABSL_FLAG(std::uint32_t, timeout_ms, 2000,
          "timeout of each status request in milliseconds");

namespace
{

using namespace bulrushspring;
using json = nlohmann::json;

// Exit codes; documented in docs/OPERATORS.md.
enum exit_code : int {
    exit_success = 0,
    exit_disagreement = 1,
    exit_usage = 2,
    exit_unreachable = 3,
};

result<json> read_status(const endpoint& daemon)
{
    client::http_request request;
    request.target = "/v1/status";
    auto outcome = client::exchange(
        daemon, request, milliseconds{absl::GetFlag(FLAGS_timeout_ms)});
    TRY(response, std::move(outcome.response));
    auto status = json::parse(response.body, nullptr, false);
    if (response.status != 200 || !status.is_object()) {
        return error{errc::malformed, "read status", to_string(daemon), ""};
    }
    return status;
}

void print_targets(const json& status)
{
    std::cout
        << "\ntargets        state        limit in_flight latency_ms why\n";
    for (const auto& leaf : status.at("targets")) {
        std::cout << std::left << std::setw(24)
                  << leaf.at("name").get<std::string>() << std::setw(12)
                  << leaf.at("state").get<std::string>() << std::setw(8)
                  << leaf.at("limit").get<double>() << std::setw(6)
                  << leaf.at("in_flight").get<unsigned>() << std::setw(8)
                  << leaf.at("latency_ms").get<std::int64_t>()
                  << leaf.at("why").get<std::string>() << '\n';
    }
}

void print_members(const json& status)
{
    std::cout << "\nmembers\n";
    for (const auto& member : status.at("members")) {
        std::cout << "  " << std::left << std::setw(24)
                  << member.at("name").get<std::string>() << std::setw(16)
                  << member.at("data_centre").get<std::string>()
                  << std::setw(10) << member.at("status").get<std::string>()
                  << member.at("status_age_ms").get<std::int64_t>() << " ms\n";
    }
}

void print_configuration(const json& status)
{
    const auto& configuration = status.at("configuration");
    std::cout << status.at("name").get<std::string>()
              << (status.at("serving").get<bool>() ? " serves"
                                                   : " does not serve yet")
              << (status.at("stopping").get<bool>() ? ", stopping" : "")
              << "; manifest " << configuration.at("manifest_version")
              << " for " << configuration.at("age_ms") << " ms from "
              << configuration.at("source").get<std::string>() << ", relied on "
              << configuration.at("relied_on").get<std::string>() << '\n';
    for (const auto& refusal : configuration.at("refusals")) {
        std::cout << "  refused version " << refusal.at("version") << ": "
                  << refusal.at("reason").get<std::string>() << '\n';
    }
    for (const auto& race : configuration.at("races")) {
        std::cout << "  two contents under version " << race.at("version")
                  << ": in force is " << race.at("winner").get<std::string>()
                  << '\n';
    }
}

void print_latencies(const json& status)
{
    std::cout << "\nlatency                   count      p50      p99    p99.9"
                 " ms\n";
    for (const auto& [name, values] : status.at("latencies").items()) {
        std::cout << std::left << std::setw(26) << name << std::setw(10)
                  << values.at("count") << std::fixed << std::setprecision(2)
                  << std::setw(9) << values.at("p50_ms").get<double>()
                  << std::setw(9) << values.at("p99_ms").get<double>()
                  << values.at("p999_ms").get<double>() << '\n';
    }
}

int print_daemon(const json& status)
{
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << status.dump(2) << '\n';
        return exit_success;
    }
    print_configuration(status);
    print_members(status);
    print_targets(status);
    print_latencies(status);
    return exit_success;
}

// Number of members that the daemon considers alive.
std::size_t count_alive(const json& status)
{
    std::size_t alive = 0;
    for (const auto& member : status.at("members")) {
        alive += member.at("status") == "alive" ? 1 : 0;
    }
    return alive;
}

struct fleet_row {
    std::string name;
    std::string operators;
    std::string believed_status; // according to the daemon of --daemon
    result<json> status;
};

std::vector<fleet_row> read_fleet(const json& first)
{
    std::vector<fleet_row> rows;
    for (const auto& member : first.at("members")) {
        const auto address = member.at("operators").get<std::string>();
        fleet_row row{member.at("name"), address, member.at("status"),
                      error{errc::unreachable, "read status", address, ""}};
        const auto parsed = parse_endpoint(address);
        if (parsed && parsed.value().port != 0) {
            row.status = read_status(parsed.value());
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

bool agrees(const fleet_row& row, const json& first)
{
    if (!row.status) {
        return row.believed_status != "alive";
    }
    const auto& status = row.status.value();
    return status.at("configuration").at("manifest_hash") ==
               first.at("configuration").at("manifest_hash") &&
           count_alive(status) == count_alive(first);
}

void print_row(const fleet_row& row, bool agreed)
{
    std::cout << std::left << std::setw(24) << row.name << std::setw(10)
              << row.believed_status;
    if (!row.status) {
        std::cout << to_string(row.status.error());
    } else {
        const auto& configuration = row.status.value().at("configuration");
        std::cout << std::setw(9) << configuration.at("manifest_version")
                  << std::setw(12) << configuration.at("age_ms")
                  << std::setw(24)
                  << configuration.at("source").get<std::string>()
                  << std::setw(7) << count_alive(row.status.value());
    }
    std::cout << (agreed ? "" : "  DISAGREES") << '\n';
}

int print_fleet(const json& first)
{
    bool all_agree = true;
    json report = json::array();
    if (!absl::GetFlag(FLAGS_json)) {
        std::cout << "daemon                  believed  version  age_ms      "
                     "from                    alive\n";
    }
    for (const auto& row : read_fleet(first)) {
        const bool agreed = agrees(row, first);
        all_agree = all_agree && agreed;
        if (absl::GetFlag(FLAGS_json)) {
            report.push_back(
                {{"name", row.name},
                 {"agrees", agreed},
                 {"status", row.status ? row.status.value()
                                       : json(to_string(row.status.error()))}});
        } else {
            print_row(row, agreed);
        }
    }
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << report.dump(2) << '\n';
    }
    return all_agree ? exit_success : exit_disagreement;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "shows a daemon's status, or compares the whole fleet's "
        "(docs/OPERATORS.md)\n"
        "usage: bulrushspring-status --daemon ADDRESS:PORT [--fleet] [--json]\n"
        "exit codes: 0 success, 1 daemons disagree, 2 usage, 3 unreachable");
    absl::ParseCommandLine(argc, argv);
    const auto daemon = parse_endpoint(absl::GetFlag(FLAGS_daemon));
    if (!daemon) {
        std::cerr << "--daemon: " << to_string(daemon.error()) << '\n';
        return exit_usage;
    }
    const auto status = read_status(daemon.value());
    if (!status) {
        std::cerr << to_string(status.error()) << '\n';
        return exit_unreachable;
    }
    return absl::GetFlag(FLAGS_fleet) ? print_fleet(status.value())
                                      : print_daemon(status.value());
}
