// Checks a routing configuration before it is published.

#include "platform/configuration_check.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <span>

ABSL_FLAG(std::string, in_force, "",
          "file with the configuration in force, to list the differences and "
          "to require a higher version");
ABSL_FLAG(std::vector<std::string>, leafs, {},
          "numbers of leafs of services, as SERVICE=NUMBER,...");
ABSL_FLAG(std::string, format, "text", "format of the output: text or json");
ABSL_FLAG(bool, strict, false, "treat warnings as errors");

namespace
{

using namespace bulrushspring;
using platform::change_kind;
using platform::severity;

constexpr int exit_valid = 0;
constexpr int exit_errors = 1;
constexpr int exit_usage = 2;

constexpr auto usage_text =
    "Checks a routing configuration (the JSON of op/config) before it is "
    "published.\n"
    "usage: bulrushspring-check-configuration [--in_force=FILE] "
    "[--leafs=SERVICE=NUMBER,...] [--format=text|json] [--strict] FILE\n"
    "Exit status: 0 no errors, 1 errors, 2 usage error or unreadable files.";

struct report {
    std::vector<platform::table_finding> findings;
    std::vector<platform::table_change> changes;
};

int fail_usage(const std::string& why)
{
    std::cerr << "bulrushspring-check-configuration: " << why << '\n';
    return exit_usage;
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    file.peek(); // A folder can be opened, but not read.
    if (!file.is_open() || file.bad()) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

// Reads an element of --leafs. Returns false if it is none.
bool add_leafs(configuration_check::context& known, const std::string& text)
{
    const auto equals = text.rfind('=');
    std::uint32_t count = 0;
    if (equals == std::string::npos || equals == 0 ||
        !absl::SimpleAtoi(text.substr(equals + 1), &count)) {
        return false;
    }
    known.leafs[text.substr(0, equals)] = count;
    return true;
}

std::string place_of(const std::string& field, const std::string& name)
{
    const auto place = field.empty() ? std::string("the configuration") : field;
    return name.empty() ? place : place + " (" + name + ")";
}

const char* name_of(severity level)
{
    return level == severity::error ? "error" : "warning";
}

const char* name_of(change_kind kind)
{
    switch (kind) {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::changed:
        break;
    }
    return "changed";
}

std::size_t count_errors(const report& checked)
{
    return static_cast<std::size_t>(std::count_if(
        checked.findings.begin(), checked.findings.end(),
        [](const auto& each) { return each.level == severity::error; }));
}

void print_finding(std::ostream& to, const platform::table_finding& each)
{
    to << name_of(each.level) << ": " << place_of(each.field, each.name)
       << ": expected " << each.expected << "; found " << each.found << '\n';
}

void print_change(std::ostream& to, const platform::table_change& each)
{
    to << name_of(each.kind) << ": " << place_of(each.field, each.name);
    if (each.kind == change_kind::changed) {
        to << ": " << each.from << " -> " << each.to;
    } else if (!each.from.empty() || !each.to.empty()) {
        to << ": " << each.from << each.to;
    }
    to << '\n';
}

void print_text(const report& checked)
{
    for (const auto& each : checked.findings) {
        print_finding(std::cout, each);
    }
    for (const auto& each : checked.changes) {
        print_change(std::cout, each);
    }
    const auto errors = count_errors(checked);
    std::cout << "errors: " << errors
              << ", warnings: " << checked.findings.size() - errors
              << ", changes: " << checked.changes.size() << '\n';
}

void print_json(const report& checked)
{
    using nlohmann::json;
    auto findings = json::array();
    for (const auto& each : checked.findings) {
        findings.push_back({{"severity", name_of(each.level)},
                            {"field", each.field},
                            {"name", each.name},
                            {"expected", each.expected},
                            {"found", each.found}});
    }
    auto changes = json::array();
    for (const auto& each : checked.changes) {
        changes.push_back({{"change", name_of(each.kind)},
                           {"field", each.field},
                           {"name", each.name},
                           {"from", each.from},
                           {"to", each.to}});
    }
    const auto errors = count_errors(checked);
    const json all{{"errors", errors},
                   {"warnings", checked.findings.size() - errors},
                   {"findings", findings},
                   {"changes", changes}};
    // Names in the configuration may hold bytes that are not UTF-8.
    std::cout << all.dump(2, ' ', false, json::error_handler_t::replace)
              << '\n';
}

// Whether ParseCommandLine accepts the arguments. It ends the program with
// status 1 otherwise, which states that the configuration has errors.
bool are_valid(std::span<char*> arguments)
{
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        std::string name = arguments[i];
        const auto dashes = name.find_first_not_of('-');
        if (dashes == 0) {
            continue; // a file
        }
        if (dashes == std::string::npos) {
            return false;
        }
        name.erase(0, dashes);
        const auto equals = name.find('=');
        if (name == "help" || name == "version") {
            continue; // not among the flags that can be found
        }
        auto* flag = absl::FindCommandLineFlag(name.substr(0, equals));
        if (flag == nullptr) {
            return false;
        }
        std::string why;
        if (equals != std::string::npos) {
            if (!flag->ParseFrom(name.substr(equals + 1), &why)) {
                return false;
            }
        } else if (!flag->IsOfType<bool>() && ++i == arguments.size()) {
            return false; // the value is missing
        }
    }
    return true;
}

int run(const std::string& path)
{
    const auto format = absl::GetFlag(FLAGS_format);
    if (format != "text" && format != "json") {
        return fail_usage("--format: expected text or json; found " + format);
    }
    configuration_check::context known;
    for (const auto& each : absl::GetFlag(FLAGS_leafs)) {
        if (!add_leafs(known, each)) {
            return fail_usage("--leafs: expected SERVICE=NUMBER; found " +
                              each);
        }
    }
    const auto text = read_file(path);
    if (!text) {
        return fail_usage(path + ": can't be read");
    }
    report checked;
    const auto in_force_path = absl::GetFlag(FLAGS_in_force);
    if (!in_force_path.empty()) {
        const auto in_force = read_file(in_force_path);
        if (!in_force) {
            return fail_usage(in_force_path + ": can't be read");
        }
        const auto found = platform::check_table_in_force(*in_force);
        for (const auto& each : found.errors) {
            print_finding(std::cerr, each);
        }
        if (!found.errors.empty()) {
            return fail_usage(in_force_path +
                              ": daemons reject this, it can't be in force");
        }
        known.version_in_force = found.version;
        checked.changes = platform::table_differences(*in_force, *text);
    }
    checked.findings = platform::check_table(*text, known);
    format == "json" ? print_json(checked) : print_text(checked);
    const bool failed = absl::GetFlag(FLAGS_strict) ? !checked.findings.empty()
                                                    : count_errors(checked) > 0;
    return failed ? exit_errors : exit_valid;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(usage_text);
    absl::FlagsUsageConfig usage;
    usage.version_string = [] {
        return std::string("bulrushspring-check-configuration 0.1.0\n");
    };
    absl::SetFlagsUsageConfig(usage);
    const std::span arguments(argv, static_cast<std::size_t>(argc));
    if (arguments.empty() || !are_valid(arguments.subspan(1))) {
        std::cerr << usage_text << '\n';
        return exit_usage;
    }
    const auto positional = absl::ParseCommandLine(argc, argv);
    if (positional.size() != 2) {
        std::cerr << usage_text << '\n';
        return exit_usage;
    }
    return run(positional[1]);
}
