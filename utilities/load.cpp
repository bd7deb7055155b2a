#include "libraries/client/load.hpp"

#include "libraries/client/load_report.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, entries, {},
          "bootstrap addresses of entries, as ADDRESS:PORT,...");
ABSL_FLAG(std::vector<std::string>, data_centres, {},
          "data centres of the simulated clients, assigned round-robin");
ABSL_FLAG(double, rate, 100, "calls per second");
ABSL_FLAG(double, duration_s, 10, "duration of the load in seconds");
ABSL_FLAG(std::string, arrivals, "poisson", "poisson or fixed");
ABSL_FLAG(std::string, service, "", "name of the service");
ABSL_FLAG(std::string, kind, "query", "query, read or request");
ABSL_FLAG(std::uint32_t, deadline_ms, 2000,
          "deadline of each call in milliseconds");
ABSL_FLAG(std::vector<std::string>, caller, {"load"},
          "callers and their shares of the calls, as NAME=SHARE,...");
ABSL_FLAG(std::uint32_t, clients, 32,
          "simulated clients, each with its own address book");
ABSL_FLAG(std::uint32_t, connections, 512,
          "maximum number of connections to one entry");
ABSL_FLAG(std::uint64_t, seed, 1,
          "random seed of arrival times, query texts and ids");
ABSL_FLAG(std::vector<std::string>, leafs, {},
          "admin addresses of fake leafs, whose executions are counted");
ABSL_FLAG(std::string, history, "",
          "file to write the call history to, one JSON object per line");
ABSL_FLAG(std::string, label, "run", "name of the run in the report");
ABSL_FLAG(bool, header, true, "print the header of the Markdown table");
ABSL_FLAG(bool, json, false, "print JSON instead of a Markdown row");

namespace
{

using namespace bulrushspring;

constexpr int exit_usage = 2;
constexpr int exit_failed = 1;
constexpr double max_rate_per_second = 1e6;

error flag_error(std::string detail)
{
    return {errc::malformed, "read flags", "", std::move(detail)};
}

result<std::vector<endpoint>>
parse_endpoints(const std::vector<std::string>& texts)
{
    std::vector<endpoint> endpoints;
    for (const auto& text : texts) {
        TRY(value, parse_endpoint(text));
        endpoints.push_back(value);
    }
    return endpoints;
}

result<std::vector<client::caller_share>>
parse_callers(const std::vector<std::string>& texts)
{
    std::vector<client::caller_share> callers;
    for (const auto& text : texts) {
        const auto equals = text.find('=');
        client::caller_share caller{text.substr(0, equals)};
        if (equals != std::string::npos) {
            caller.share = std::atof(text.c_str() + equals + 1);
        }
        if (caller.name.empty() || !(caller.share > 0.0)) {
            return flag_error("--caller: expected NAME=SHARE");
        }
        callers.push_back(std::move(caller));
    }
    return callers;
}

result<client::call> parse_call_template()
{
    client::call call;
    const auto kind = absl::GetFlag(FLAGS_kind);
    if (kind == "read") {
        call.kind = manifest::service_kind::read;
    } else if (kind == "request") {
        call.kind = manifest::service_kind::request;
    } else if (kind != "query") {
        return flag_error("--kind must be query, read or request");
    }
    call.service = absl::GetFlag(FLAGS_service);
    call.deadline = milliseconds{absl::GetFlag(FLAGS_deadline_ms)};
    return call;
}

result<client::load_options> parse_options()
{
    client::load_options options;
    TRY(bootstrap, parse_endpoints(absl::GetFlag(FLAGS_entries)));
    TRY(callers, parse_callers(absl::GetFlag(FLAGS_caller)));
    TRY(call, parse_call_template());
    options.bootstrap = std::move(bootstrap);
    options.callers = std::move(callers);
    options.call_template = std::move(call);
    options.data_centres = absl::GetFlag(FLAGS_data_centres);
    options.rate = absl::GetFlag(FLAGS_rate);
    options.load_duration = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(absl::GetFlag(FLAGS_duration_s)));
    options.clients = absl::GetFlag(FLAGS_clients);
    options.max_connections = absl::GetFlag(FLAGS_connections);
    options.seed = absl::GetFlag(FLAGS_seed);
    const auto arrivals = absl::GetFlag(FLAGS_arrivals);
    if (arrivals != "poisson" && arrivals != "fixed") {
        return flag_error("--arrivals must be poisson or fixed");
    }
    options.arrival_process = arrivals == "fixed" ? client::arrivals::fixed
                                                  : client::arrivals::poisson;
    if (options.bootstrap.empty() || options.call_template.service.empty()) {
        return flag_error("--entries and --service are required");
    }
    if (!(options.rate > 0.0) || options.rate > max_rate_per_second ||
        options.clients == 0 || options.max_connections == 0) {
        return flag_error("--rate, --clients and --connections: out of range");
    }
    return options;
}

// Total number of executions so far of all leafs behind the admin addresses.
result<std::uint64_t> count_executions(const std::vector<endpoint>& admins)
{
    std::uint64_t total = 0;
    for (const auto& admin : admins) {
        const client::http_request request{
            client::http_method::get, "/admin/counts", {}, ""};
        const auto ended = client::exchange(admin, request, seconds{5});
        TRY(response, ended.response);
        const auto object =
            nlohmann::json::parse(response.body, nullptr, false);
        if (!object.is_object() || !object.contains("leafs")) {
            return flag_error("--leafs: the response lists no fake leafs");
        }
        for (const auto& leaf : object["leafs"]) {
            total += leaf.value("executions", std::uint64_t{0});
        }
    }
    return total;
}

result<client::load_report> run(const client::load_options& options,
                                const std::vector<endpoint>& admins)
{
    client::load_report report;
    report.label = absl::GetFlag(FLAGS_label);
    report.rate = options.rate;
    report.load_duration = options.load_duration;
    const auto path = absl::GetFlag(FLAGS_history);
    std::ofstream history;
    if (!path.empty()) {
        history.open(path, std::ios::trunc);
    }
    TRY(before, count_executions(admins));
    client::run_load(options, system_boot_clock{},
                     [&](const client::history_line& line) {
                         client::add(report, line);
                         if (history.is_open()) {
                             history << client::to_json(line) << "\n";
                         }
                     });
    TRY(after, count_executions(admins));
    if (!admins.empty()) {
        report.leaf_executions = after - before;
    }
    if (!path.empty() && !history.flush()) {
        return error{errc::closed, "write history", path, ""};
    }
    return report;
}

int report_error(const error& failure, int code)
{
    std::cerr << to_string(failure) << "\n";
    return code;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("generates open-loop load on the query tier "
                                 "and reports latency, outcomes "
                                 "and extra load");
    absl::ParseCommandLine(argc, argv);
    client::ignore_broken_pipes();
    const auto options = parse_options();
    if (options.has_error()) {
        return report_error(options.error(), exit_usage);
    }
    const auto admins = parse_endpoints(absl::GetFlag(FLAGS_leafs));
    if (admins.has_error()) {
        return report_error(admins.error(), exit_usage);
    }
    const auto report = run(options.value(), admins.value());
    if (report.has_error()) {
        return report_error(report.error(), exit_failed);
    }
    if (absl::GetFlag(FLAGS_json)) {
        std::cout << client::report_json(report.value()) << "\n";
        return 0;
    }
    std::cout << (absl::GetFlag(FLAGS_header) ? client::markdown_header() : "")
              << client::markdown_row(report.value());
    return 0;
}
