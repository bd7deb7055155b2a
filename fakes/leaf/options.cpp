#include "fakes/leaf/options.hpp"

#include "base/hash.hpp"

#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <sstream>

namespace bulrushspring::fakes
{
namespace
{

using boost::property_tree::ptree;

constexpr std::string_view leaf_prefix = "leaf ";

error pool_error(std::string detail)
{
    return {errc::malformed, "parse pool", "", std::move(detail)};
}

result<ptree> parse_ini(std::string_view text)
{
    std::istringstream stream{std::string(text)};
    ptree tree;
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& failure) {
        return pool_error(failure.what());
    }
    return tree;
}

result<leaf_options> parse_leaf(std::string_view name, const ptree& keys,
                                const ptree& pool)
{
    leaf_options leaf;
    leaf.name = name;
    leaf.data_centre = keys.get<std::string>("data_centre", "");
    TRY(address, parse_endpoint(keys.get<std::string>("address", "")));
    leaf.address = address;
    TRY(holdings, parse_holdings(keys.get<std::string>("holds", "")));
    leaf.holdings = holdings;
    leaf.current_snapshot = pool.get<manifest::snapshot_id>("serve", 0);
    leaf.slots = pool.get<std::uint32_t>("slots", leaf.slots);
    leaf.connections = pool.get<std::uint32_t>("connections", leaf.connections);
    leaf.connect_cost =
        milliseconds{pool.get<std::uint32_t>("connect_cost_ms", 0)};
    leaf.seed = stable_hash(name);
    return leaf;
}

std::map<manifest::snapshot_id, std::uint32_t>
shard_counts(const std::vector<leaf_options>& leafs)
{
    std::map<manifest::snapshot_id, std::uint32_t> counts;
    for (const auto& leaf : leafs) {
        for (const auto& [snapshot, shards] : leaf.holdings) {
            auto& count = counts[snapshot];
            count =
                shards.empty() ? count : std::max(count, *shards.rbegin() + 1);
        }
    }
    return counts;
}

void append_holdings(std::ostream& text, const holding_set& holdings)
{
    for (const auto& [snapshot, shards] : holdings) {
        for (const auto shard : shards) {
            text << " " << snapshot << "/" << shard;
        }
    }
}

} // namespace

duration draw_service_time(const service_time& work, random_source& random)
{
    auto time = work.mean;
    if (work.distribution == time_distribution::exponential) {
        const double factor = -std::log1p(-random_fraction(random));
        time = std::chrono::duration_cast<duration>(work.mean * factor);
    }
    if (random_fraction(random) < work.straggler_share) {
        time += work.straggler_delay;
    }
    return time;
}

result<holding_set> parse_holdings(std::string_view text)
{
    std::string normalised(text);
    std::replace(normalised.begin(), normalised.end(), ',', ' ');
    std::istringstream stream(normalised);
    holding_set holdings;
    for (std::string word; stream >> word;) {
        const auto slash = word.find('/');
        const auto snapshot = parse_number(word.substr(0, slash));
        const auto shard = slash == std::string::npos
                               ? std::nullopt
                               : parse_number(word.substr(slash + 1));
        if (!snapshot || !shard) {
            return pool_error("'" + word + "': expected SNAPSHOT/SHARD");
        }
        holdings[*snapshot].insert(static_cast<manifest::shard_id>(*shard));
    }
    return holdings;
}

result<std::vector<leaf_options>> parse_pool(std::string_view section,
                                             const std::set<std::string>& names)
{
    TRY(tree, parse_ini(section));
    const auto pool = tree.get_child_optional("pool");
    if (!pool) {
        return error{errc::missing_key, "parse pool", "", "[pool]"};
    }
    std::vector<leaf_options> leafs;
    for (const auto& [title, keys] : tree) {
        if (title.rfind(leaf_prefix, 0) != 0) {
            continue;
        }
        const auto name = title.substr(leaf_prefix.size());
        if (!names.empty() && names.count(name) == 0) {
            continue;
        }
        TRY(leaf, parse_leaf(name, keys, *pool));
        leafs.push_back(leaf);
    }
    return leafs;
}

std::string pool_section(const std::vector<leaf_options>& leafs)
{
    if (leafs.empty()) {
        return {};
    }
    const auto& first = leafs.front();
    std::ostringstream text;
    text << "[pool]\nserve = " << first.current_snapshot
         << "\nslots = " << first.slots
         << "\nconnections = " << first.connections
         << "\nconnect_cost_ms = " << to_milliseconds(first.connect_cost)
         << "\n";
    for (const auto& [snapshot, shards] : shard_counts(leafs)) {
        text << "[snapshot " << snapshot << "]\nshards = " << shards << "\n";
    }
    for (const auto& leaf : leafs) {
        text << "[leaf " << leaf.name
             << "]\naddress = " << to_string(leaf.address)
             << "\ndata_centre = " << leaf.data_centre
             << "\nstate = live\nholds =";
        append_holdings(text, leaf.holdings);
        text << "\n";
    }
    return text.str();
}

} // namespace bulrushspring::fakes
