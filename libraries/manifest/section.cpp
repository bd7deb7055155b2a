#include "libraries/manifest/documents.hpp"
#include "libraries/manifest/ini.hpp"

#include <charconv>
#include <limits>

namespace bulrushspring::manifest
{
namespace
{

using boost::property_tree::ptree;

constexpr std::uint64_t max_shards = 4096;
constexpr std::uint64_t max_slots = 1024;
constexpr std::uint64_t max_connections = 65535;
constexpr std::uint64_t max_connect_cost_ms = 10000;
constexpr std::uint64_t min_deadline_ms = 10;
constexpr std::uint64_t max_deadline_ms = 60000;
constexpr std::uint64_t max_weight = 1000;
constexpr std::uint64_t max_result_limit = 10000;
constexpr std::uint64_t max_spare_vms = 1000;
constexpr std::uint64_t default_result_limit = 50;
constexpr std::uint64_t max_snapshot_id =
    std::numeric_limits<std::int64_t>::max();

// The name of the section that is read and the list of its errors.
struct section_reader {
    std::string name; // "pool.jadual-carian"
    validation_errors& found;
};

key_reader make_key_reader(const section_reader& section,
                           const std::string& header, const ptree& keys)
{
    return {section.name + " [" + header + "]", keys, section.found};
}

void refuse_unknown_header(section_reader& section, const std::string& header,
                           std::string_view expected)
{
    section.found.push_back({errc::unknown_key, section.name, "",
                             std::string(expected), "[" + header + "]"});
}

void require_header(section_reader& section, const ptree& tree,
                    const char* header)
{
    if (tree.find(header) == tree.not_found()) {
        section.found.push_back({errc::missing_key, section.name, "",
                                 "a section [" + std::string(header) + "]",
                                 ""});
    }
}

// Boost's parser returns keys before the first header as entries with a value.
// Without a valid name they are refused like unknown headers.
bool has_valid_name(const section_header& header)
{
    return valid_name(header.name);
}

entry_vm read_vm(key_reader reader, std::string_view name)
{
    entry_vm value;
    value.name = name;
    value.data_centre = read_name(reader, "data_centre");
    value.caller = read_endpoint(reader, "caller");
    value.peer = read_endpoint(reader, "peer");
    value.operators = read_endpoint(reader, "operators");
    refuse_unknown_keys(reader, {"data_centre", "caller", "peer", "operators"});
    return value;
}

fleet read_fleet(section_reader& section, const ptree& tree)
{
    fleet value;
    for (const auto& [header, keys] : tree) {
        const auto parts = split_header(header);
        key_reader reader = make_key_reader(section, header, keys);
        if (header == "fleet") {
            value.spare_vms = static_cast<std::uint32_t>(
                read_number(reader, "spare_vms", {0, max_spare_vms}, 0));
            refuse_unknown_keys(reader, {"spare_vms"});
        } else if (parts.kind == "data_centre" && has_valid_name(parts)) {
            value.data_centres.push_back(
                {std::string(parts.name), read_name(reader, "region")});
            refuse_unknown_keys(reader, {"region"});
        } else if (parts.kind == "vm" && has_valid_name(parts)) {
            value.vms.push_back(read_vm(reader, parts.name));
        } else {
            refuse_unknown_header(section, header,
                                  "[fleet], [data_centre NAME] or [vm NAME]");
        }
    }
    require_header(section, tree, "fleet");
    return value;
}

bool parse_number(std::string_view text, std::uint64_t& value)
{
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    return read.ec == std::errc{} && read.ptr == end;
}

// Parses SNAPSHOT/SHARD.
bool parse_holding(std::string_view text, holding& value)
{
    const auto slash = text.find('/');
    std::uint64_t shard = 0;
    if (slash == std::string_view::npos ||
        !parse_number(text.substr(0, slash), value.snapshot) ||
        !parse_number(text.substr(slash + 1), shard) || shard >= max_shards) {
        return false;
    }
    value.shard = static_cast<shard_id>(shard);
    return true;
}

std::vector<holding> read_holdings(key_reader& reader)
{
    std::vector<holding> holdings;
    const std::string* text = read_text(reader, "holds");
    std::string_view remaining = text == nullptr ? std::string_view{} : *text;
    while (!remaining.empty()) {
        const auto space = remaining.find(' ');
        const auto word = remaining.substr(0, space);
        remaining = space == std::string_view::npos
                        ? std::string_view{}
                        : remaining.substr(space + 1);
        holding value;
        if (word.empty()) {
            continue;
        }
        if (!parse_holding(word, value)) {
            add_error(reader, errc::malformed, "holds",
                      "SNAPSHOT/SHARD, separated by spaces", std::string(word));
            continue;
        }
        holdings.push_back(value);
    }
    return holdings;
}

leaf read_leaf(key_reader reader, std::string_view name)
{
    leaf value;
    value.name = name;
    value.address = read_endpoint(reader, "address");
    value.data_centre = read_name(reader, "data_centre");
    value.leaving = read_choice(reader, "state", {"live", "leaving"}, 0) == 1;
    value.holdings = read_holdings(reader);
    refuse_unknown_keys(reader, {"address", "data_centre", "state", "holds"});
    return value;
}

void read_pool_settings(key_reader reader, pool& value)
{
    value.served_snapshot = read_number(reader, "serve", {1, max_snapshot_id});
    value.slots = static_cast<std::uint32_t>(
        read_number(reader, "slots", {1, max_slots}));
    value.connections = static_cast<std::uint32_t>(
        read_number(reader, "connections", {1, max_connections}));
    value.connect_cost = milliseconds{
        read_number(reader, "connect_cost_ms", {0, max_connect_cost_ms}, 0)};
    refuse_unknown_keys(reader,
                        {"serve", "slots", "connections", "connect_cost_ms"});
}

void read_snapshot(key_reader reader, std::string_view name, pool& value)
{
    snapshot one;
    if (!parse_number(name, one.id) || one.id == 0 ||
        one.id > max_snapshot_id) {
        add_error(reader, errc::malformed, "",
                  "[snapshot NUMBER] with a number from 1", std::string(name));
    }
    one.shards = static_cast<std::uint32_t>(
        read_number(reader, "shards", {1, max_shards}));
    refuse_unknown_keys(reader, {"shards"});
    value.snapshots.push_back(one);
}

pool read_pool(section_reader& section, const ptree& tree)
{
    pool value;
    for (const auto& [header, keys] : tree) {
        const auto parts = split_header(header);
        key_reader reader = make_key_reader(section, header, keys);
        if (header == "pool") {
            read_pool_settings(reader, value);
        } else if (parts.kind == "snapshot" && has_valid_name(parts)) {
            read_snapshot(reader, parts.name, value);
        } else if (parts.kind == "leaf" && has_valid_name(parts)) {
            value.leafs.push_back(read_leaf(reader, parts.name));
        } else {
            refuse_unknown_header(section, header,
                                  "[pool], [snapshot NUMBER] or [leaf NAME]");
        }
    }
    require_header(section, tree, "pool");
    return value;
}

// Refuses the keys of queries for other kinds of services, where they would
// have no effect.
void read_query_settings(key_reader& reader, service& value)
{
    if (value.kind == service_kind::query) {
        value.minimum_coverage = read_fraction(reader, "minimum_coverage", 1.0);
        value.wait_for_coverage = read_flag(reader, "wait_for_coverage", false);
        value.result_limit = static_cast<std::uint32_t>(
            read_number(reader, "result_limit", {1, max_result_limit},
                        default_result_limit));
        return;
    }
    for (const char* key :
         {"minimum_coverage", "wait_for_coverage", "result_limit"}) {
        if (reader.keys.find(key) != reader.keys.not_found()) {
            add_error(reader, errc::unknown_key, key,
                      "this key with kind = query only");
        }
    }
}

void read_service_settings(key_reader reader, service& value)
{
    value.kind = static_cast<service_kind>(
        read_choice(reader, "kind", {"query", "read", "request"}));
    value.pool = read_name(reader, "pool");
    value.deadline = milliseconds{
        read_number(reader, "deadline_ms", {min_deadline_ms, max_deadline_ms})};
    value.hedge_budget = read_fraction(reader, "hedge_budget", 0.0);
    if (value.kind == service_kind::request && value.hedge_budget > 0.0) {
        add_error(reader, errc::out_of_range, "hedge_budget",
                  "0 with kind = request, which is never hedged");
    }
    value.weight = static_cast<std::uint32_t>(
        read_number(reader, "weight", {1, max_weight}, 1));
    read_query_settings(reader, value);
    refuse_unknown_keys(reader, {"kind", "pool", "deadline_ms", "hedge_budget",
                                 "minimum_coverage", "wait_for_coverage",
                                 "weight", "result_limit"});
}

service read_service(section_reader& section, const ptree& tree)
{
    service value;
    for (const auto& [header, keys] : tree) {
        if (header == "service") {
            read_service_settings(make_key_reader(section, header, keys),
                                  value);
        } else {
            refuse_unknown_header(section, header, "[service]");
        }
    }
    require_header(section, tree, "service");
    return value;
}

section read_section(section_reader& reader, const ptree& tree)
{
    const std::string_view name = reader.name;
    if (name.starts_with("pool.")) {
        pool value = read_pool(reader, tree);
        value.name = name.substr(std::string_view("pool.").size());
        return value;
    }
    if (name.starts_with("service.")) {
        service value = read_service(reader, tree);
        value.name = name.substr(std::string_view("service.").size());
        return value;
    }
    return read_fleet(reader, tree);
}

} // namespace

checked<section> parse_section(std::string_view name, std::string_view content)
{
    auto tree = parse_ini(name, content);
    if (!tree) {
        return std::move(tree).error();
    }
    validation_errors found;
    section_reader reader{std::string(name), found};
    section value = read_section(reader, tree.value());
    if (!found.empty()) {
        return found;
    }
    return value;
}

} // namespace bulrushspring::manifest
