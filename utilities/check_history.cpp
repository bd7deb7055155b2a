#include "fakes/history/history.hpp"
#include "fakes/http/server.hpp"
#include "libraries/client/http.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, calls, {},
          "history files written by bulrushspring-load --history");
ABSL_FLAG(std::vector<std::string>, executions, {},
          "execution records written by fake-leaf --record");
ABSL_FLAG(std::vector<std::string>, leafs, {},
          "admin addresses of fake leafs, to read the records from instead of "
          "from --executions files");
ABSL_FLAG(std::vector<std::string>, limits, {},
          "result limits of services, as SERVICE=LINES,...");
ABSL_FLAG(bool, other_callers, false,
          "callers that are not in the --calls files also used the leafs");
ABSL_FLAG(std::uint32_t, most_shown, 20,
          "maximum number of violations to print");

namespace
{

using namespace bulrushspring;
using nlohmann::json;

constexpr int exit_violations = 1;
constexpr int exit_usage = 2;
constexpr int exit_incomplete = 3;

result<void> add_executions_of(fakes::history& run, const std::string& body)
{
    const auto object = json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("leafs")) {
        return error{errc::malformed, "read executions", "", ""};
    }
    for (const auto& leaf : object["leafs"]) {
        if (leaf.value("dropped", std::uint64_t{1}) > 0) {
            run.executions_complete = false;
        }
        for (const auto& item : leaf.value("executions", json::array())) {
            TRY(record, fakes::parse_execution(item.dump()));
            run.executions.push_back(std::move(record));
        }
    }
    return success();
}

result<void> fetch_executions(fakes::history& run, const std::string& address)
{
    TRY(admin, parse_endpoint(address));
    for (const auto* idempotent : {"yes", "no"}) {
        const client::http_request request{
            client::http_method::get,
            std::string("/admin/executions?idempotent=") + idempotent,
            {},
            ""};
        TRY(response, client::exchange(admin, request, seconds{10}).response);
        TRY(add_executions_of(run, response.body));
    }
    return success();
}

result<void> add_limit(fakes::history& run, const std::string& text)
{
    const auto equals = text.find('=');
    const auto lines = equals == std::string::npos
                           ? std::nullopt
                           : fakes::parse_number(text.substr(equals + 1));
    if (!lines) {
        return error{errc::malformed, "read --limits", "", text};
    }
    run.result_limits[text.substr(0, equals)] =
        static_cast<std::uint32_t>(*lines);
    return success();
}

result<fakes::history> read_history()
{
    fakes::history run;
    run.callers_complete = !absl::GetFlag(FLAGS_other_callers);
    for (const auto& path : absl::GetFlag(FLAGS_calls)) {
        TRY(fakes::add_calls(run, path));
    }
    for (const auto& path : absl::GetFlag(FLAGS_executions)) {
        TRY(fakes::add_executions(run, path));
    }
    for (const auto& address : absl::GetFlag(FLAGS_leafs)) {
        TRY(fetch_executions(run, address));
    }
    for (const auto& text : absl::GetFlag(FLAGS_limits)) {
        TRY(add_limit(run, text));
    }
    if (absl::GetFlag(FLAGS_executions).empty() &&
        absl::GetFlag(FLAGS_leafs).empty()) {
        run.executions_complete = false;
    }
    return run;
}

int print(const fakes::history& run,
          const std::vector<fakes::violation>& violations)
{
    std::cout << run.calls.size() << " calls, " << run.executions.size()
              << " executions, " << violations.size() << " violations\n";
    std::size_t shown = 0;
    for (const auto& it : violations) {
        if (shown++ >= absl::GetFlag(FLAGS_most_shown)) {
            break;
        }
        std::cout << to_string(it.kind) << " id=" << it.id << " " << it.detail
                  << "\n";
    }
    if (!violations.empty()) {
        return exit_violations;
    }
    if (!run.executions_complete) {
        std::cout << "the execution records are incomplete: coverage and "
                     "answers from a single leaf were not checked\n";
        return exit_incomplete;
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "checks the call history of a run against the execution records of "
        "the fake leafs\n"
        "exit codes: 0 no violation, 1 violations found, 2 usage or unreadable "
        "input, 3 no violation, but the execution records are incomplete");
    absl::ParseCommandLine(argc, argv);
    client::ignore_broken_pipes();
    const auto run = read_history();
    if (run.has_error()) {
        std::cerr << to_string(run.error()) << "\n";
        return exit_usage;
    }
    return print(run.value(), fakes::check_history(run.value()));
}
