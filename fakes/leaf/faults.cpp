#include "fakes/leaf/jobs.hpp"
#include "fakes/leaf/leaf.hpp"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace bulrushspring::fakes
{
namespace
{

constexpr milliseconds default_silent_hold{60'000};

// The largest value accepted for a fault, in the unit of the fault.
constexpr double max_fault_value = 1e9;

result<double> parse_value(const std::string& key, const std::string& text)
{
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || !(value >= 0.0) ||
        value > max_fault_value) {
        return error{errc::malformed, "parse faults", "",
                     key + "=" + text + ": expected a number from 0 to 1e9"};
    }
    return value;
}

duration to_duration(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(value));
}

void lose_shard(leaf& fake, double shard)
{
    for (auto& [snapshot, shards] : fake.options.holdings) {
        shards.erase(static_cast<manifest::shard_id>(shard));
    }
}

void replace_snapshot(leaf& fake, double value)
{
    const auto next = static_cast<manifest::snapshot_id>(value);
    auto& options = fake.options;
    auto former = options.holdings.extract(options.current_snapshot);
    options.current_snapshot = next;
    if (!former.empty()) {
        options.holdings[next].merge(former.mapped());
    }
}

void set_frozen(leaf& fake, double value)
{
    const bool resumes = fake.faults.frozen && value == 0.0;
    fake.faults.frozen = value != 0.0;
    if (resumes) {
        resume(fake);
    }
}

void set_dropping(leaf& fake, double value)
{
    fake.faults.dropping = value != 0.0;
    if (fake.faults.dropping) {
        close_connections(*fake.connections);
    }
}

using fault_setter = void (*)(leaf&, double);

const std::map<std::string, fault_setter, std::less<>>& setters()
{
    static const std::map<std::string, fault_setter, std::less<>> all = {
        {"straggle_ms",
         [](leaf& fake, double value) {
             fake.faults.added_delay = to_duration(value);
         }},
        {"frozen", set_frozen},
        {"dropping", set_dropping},
        {"draining",
         [](leaf& fake, double value) { fake.faults.draining = value != 0.0; }},
        {"shedding",
         [](leaf& fake, double value) { fake.faults.shedding = value != 0.0; }},
        {"lying_health",
         [](leaf& fake, double value) {
             fake.faults.lying_health = value != 0.0;
         }},
        {"crossed_share",
         [](leaf& fake, double value) {
             fake.faults.mismatched_share = value;
         }},
        {"failed_share",
         [](leaf& fake, double value) { fake.faults.failed_share = value; }},
        {"late_share",
         [](leaf& fake, double value) { fake.faults.late_share = value; }},
        {"late_ms",
         [](leaf& fake, double value) {
             fake.faults.late_delay = to_duration(value);
         }},
        {"lose_shard", lose_shard},
        {"snapshot", replace_snapshot},
        {"service_time_ms",
         [](leaf& fake, double value) {
             fake.options.work.mean = to_duration(value);
         }},
        {"straggle_share",
         [](leaf& fake, double value) {
             fake.options.work.straggler_share = value;
         }},
        {"straggler_ms",
         [](leaf& fake, double value) {
             fake.options.work.straggler_delay = to_duration(value);
         }},
    };
    return all;
}

struct parsed_faults {
    std::vector<std::pair<fault_setter, double>> settings;
    std::optional<holding_set> holdings;
    std::optional<duration> silent_for;
};

result<parsed_faults> parse_faults(const query_values& changes)
{
    parsed_faults parsed;
    duration hold = default_silent_hold;
    bool silent = false;
    for (const auto& [key, text] : changes) {
        if (key == "leaf") {
            continue; // selects the leaf, not a fault
        }
        if (key == "holds") {
            TRY(holdings, parse_holdings(text));
            parsed.holdings = holdings;
            continue;
        }
        TRY(value, parse_value(key, text));
        if (key == "silent") {
            silent = value != 0.0;
        } else if (key == "silent_hold_ms") {
            hold = to_duration(value);
        } else if (const auto found = setters().find(key);
                   found != setters().end()) {
            parsed.settings.emplace_back(found->second, value);
        } else {
            return error{errc::unknown_key, "parse faults", "", key};
        }
    }
    if (silent) {
        parsed.silent_for = hold;
    }
    return parsed;
}

} // namespace

result<void> apply_faults(leaf& fake, const query_values& changes)
{
    TRY(parsed, parse_faults(changes));
    for (const auto& [set, value] : parsed.settings) {
        set(fake, value);
    }
    if (parsed.holdings) {
        fake.options.holdings = std::move(*parsed.holdings);
    }
    if (parsed.silent_for) {
        silence_connections(*fake.connections, *parsed.silent_for);
    }
    return success();
}

} // namespace bulrushspring::fakes
