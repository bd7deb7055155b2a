#include "fakes/experiment/pattern.hpp"

#include "libraries/manifest/ini.hpp"

#include <algorithm>

namespace bulrushspring::experiment
{
namespace
{

using boost::property_tree::ptree;
using manifest::key_reader;
using manifest::number_range;
using manifest::read_number;
using manifest::validation_errors;

constexpr number_range daemon_range{1, 30};
constexpr number_range shard_range{1, 256};
constexpr number_range leaf_range{1, 16};
constexpr number_range slot_range{1, 1024};
constexpr number_range queue_range{0, 4096};
constexpr number_range connection_range{1, 100'000};
constexpr number_range milliseconds_range{1, 60'000};
constexpr number_range seconds_range{0, 600};
constexpr number_range rate_range{1, 10'000};
constexpr number_range factor_range{1, 1'000};

milliseconds read_milliseconds(key_reader& reader, const char* key)
{
    return milliseconds{read_number(reader, key, milliseconds_range)};
}

seconds read_seconds(key_reader& reader, const char* key)
{
    return seconds{read_number(reader, key, seconds_range)};
}

void read_fleet(key_reader& reader, pattern& into)
{
    into.daemons = read_number(reader, "daemons", daemon_range);
    into.shards = read_number(reader, "shards", shard_range);
    into.leafs = read_number(reader, "leafs", leaf_range);
    into.slots = read_number(reader, "slots", slot_range);
    into.queue = read_number(reader, "queue", queue_range);
    into.connections = static_cast<std::uint32_t>(
        read_number(reader, "connections", connection_range));
    into.work = read_milliseconds(reader, "work_ms");
    refuse_unknown_keys(reader, {"daemons", "shards", "leafs", "slots", "queue",
                                 "connections", "work_ms"});
}

void read_route(key_reader& reader, pattern& into)
{
    into.objective = read_milliseconds(reader, "objective_ms");
    into.timeout = read_milliseconds(reader, "timeout_ms");
    into.minimum_coverage = read_fraction(reader, "minimum_coverage", 1.0);
    into.max_leafs = static_cast<std::uint32_t>(
        read_number(reader, "max_leafs", leaf_range));
    into.extra_share = read_fraction(reader, "extra_share", 0.0);
    refuse_unknown_keys(reader,
                        {"objective_ms", "timeout_ms", "minimum_coverage",
                         "max_leafs", "extra_share"});
}

void read_load(key_reader& reader, pattern& into)
{
    into.queries_per_second = static_cast<double>(
        read_number(reader, "queries_per_second", rate_range));
    into.warm_up = read_seconds(reader, "warm_up_s");
    into.span = read_seconds(reader, "span_s");
    into.directory = read_number(reader, "directory", {0, 1}, 0) == 1;
    refuse_unknown_keys(
        reader, {"queries_per_second", "warm_up_s", "span_s", "directory"});
}

void read_fault(key_reader& reader, pattern& into)
{
    leaf_fault fault;
    fault.kind = static_cast<fault_kind>(
        read_choice(reader, "kind", {"slow", "down", "limited"}));
    fault.first_shard =
        read_number(reader, "first_shard", {0, shard_range.high}, 0);
    fault.shards = read_number(reader, "shards", shard_range, 1);
    fault.leafs = read_number(reader, "leafs", leaf_range, 1);
    fault.factor =
        static_cast<double>(read_number(reader, "factor", factor_range, 1));
    fault.from = read_seconds(reader, "from_s");
    fault.span = read_seconds(reader, "for_s");
    refuse_unknown_keys(reader, {"kind", "first_shard", "shards", "leafs",
                                 "factor", "from_s", "for_s"});
    into.faults.push_back(fault);
}

void read_partition(key_reader& reader, pattern& into)
{
    daemon_partition partition;
    partition.kind = static_cast<partition_kind>(
        read_choice(reader, "kind", {"silent", "reset", "refuse_new"}));
    partition.first_daemon =
        read_number(reader, "first_daemon", {0, daemon_range.high}, 0);
    partition.daemons = read_number(reader, "daemons", daemon_range, 1);
    partition.from = read_seconds(reader, "from_s");
    partition.span = read_seconds(reader, "for_s");
    refuse_unknown_keys(reader,
                        {"kind", "first_daemon", "daemons", "from_s", "for_s"});
    into.partitions.push_back(partition);
}

// Faults must be of shards and leafs that the fleet has.
void check_faults(const pattern& parsed, validation_errors& found)
{
    for (const auto& fault : parsed.faults) {
        const std::size_t end = fault.first_shard + fault.shards;
        if (end > parsed.shards || fault.leafs > parsed.leafs) {
            found.push_back({errc::out_of_range, "fault", "",
                             "shards and leafs of [fleet]",
                             "shards up to " + std::to_string(end) + ", " +
                                 std::to_string(fault.leafs) + " leafs"});
        }
    }
}

} // namespace

manifest::checked<pattern> parse_pattern(std::string_view content)
{
    TRY(document, manifest::parse_ini("pattern", content));
    validation_errors found;
    pattern parsed;
    for (const char* required : {"fleet", "route", "load"}) {
        if (document.find(required) == document.not_found()) {
            found.push_back({errc::missing_key, required, "", "a section", ""});
        }
    }
    for (const auto& [header, keys] : document) {
        key_reader reader{header, keys, found};
        if (header == "fleet") {
            read_fleet(reader, parsed);
        } else if (header == "route") {
            read_route(reader, parsed);
        } else if (header == "load") {
            read_load(reader, parsed);
        } else if (manifest::split_header(header).kind == "fault") {
            read_fault(reader, parsed);
        } else if (manifest::split_header(header).kind == "partition") {
            read_partition(reader, parsed);
        } else {
            add_error(reader, errc::unknown_key, "",
                      "one of fleet, route, load, fault NAME, partition NAME",
                      header);
        }
    }
    check_faults(parsed, found);
    if (!found.empty()) {
        return found;
    }
    return parsed;
}

} // namespace bulrushspring::experiment
