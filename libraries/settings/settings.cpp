#include "libraries/settings/settings.hpp"

#include "libraries/manifest/ini.hpp"

#include <algorithm>
#include <array>

namespace bulrushspring::settings
{
namespace
{

using boost::property_tree::ptree;
using manifest::key_reader;
using manifest::number_range;
using manifest::validation_errors;

constexpr number_range address_hold_range_ms{100, 60'000};
constexpr std::uint64_t default_address_hold_ms = 10'000;
constexpr number_range grant_hold_range_ms{1'000, 300'000};
constexpr std::uint64_t default_grant_hold_ms = 30'000;
constexpr number_range address_count_range{1, 16};
constexpr std::uint64_t default_address_count = 4;
constexpr number_range reader_count_range{1, 8};
constexpr std::uint64_t default_reader_count = 2;
constexpr number_range memory_range_mb{16, 1'048'576};
constexpr std::uint64_t default_memory_mb = 512;
constexpr std::size_t max_seeds = 64;

constexpr std::array<std::string_view, 5> known_sections = {
    "daemon", "listen", "platform", "seeds", "limits"};

const ptree& section_of(const ptree& document, const char* name)
{
    static const ptree empty;
    const auto found = document.find(name);
    return found == document.not_found() ? empty : found->second;
}

void refuse_unknown_sections(const ptree& document, validation_errors& found)
{
    for (const auto& [name, content] : document) {
        const bool known =
            std::find(known_sections.begin(), known_sections.end(), name) !=
            known_sections.end();
        if (!known) {
            found.push_back({errc::unknown_key, name, "",
                             "one of daemon, listen, platform, seeds, limits",
                             content.data()});
        }
    }
}

void read_daemon(const ptree& document, daemon_settings& into,
                 validation_errors& found)
{
    key_reader reader{"daemon", section_of(document, "daemon"), found};
    into.name = read_name(reader, "name");
    into.data_centre = read_name(reader, "data_centre");
    into.region = read_name(reader, "region");
    refuse_unknown_keys(reader, {"name", "data_centre", "region"});
}

void read_listen(const ptree& document, daemon_settings& into,
                 validation_errors& found)
{
    key_reader reader{"listen", section_of(document, "listen"), found};
    into.callers = read_endpoint(reader, "callers");
    into.peers = read_endpoint(reader, "peers");
    into.operators = read_endpoint(reader, "operators");
    refuse_unknown_keys(reader, {"callers", "peers", "operators"});
}

void read_platform(const ptree& document, daemon_settings& into,
                   validation_errors& found)
{
    key_reader reader{"platform", section_of(document, "platform"), found};
    into.platform = read_endpoint(reader, "address");
    refuse_unknown_keys(reader, {"address"});
}

void read_seeds(const ptree& document, daemon_settings& into,
                validation_errors& found)
{
    const ptree& keys = section_of(document, "seeds");
    key_reader reader{"seeds", keys, found};
    if (keys.size() > max_seeds) {
        add_error(reader, errc::too_large, "", "at most 64 keys",
                  std::to_string(keys.size()));
        return;
    }
    for (const auto& [key, value] : keys) {
        into.seeds.push_back(read_endpoint(reader, key.c_str()));
    }
}

void read_limits(const ptree& document, daemon_settings& into,
                 validation_errors& found)
{
    key_reader reader{"limits", section_of(document, "limits"), found};
    into.address_validity = milliseconds{read_number(reader, "address_hold_ms",
                                                     address_hold_range_ms,
                                                     default_address_hold_ms)};
    into.grant_validity = milliseconds{read_number(
        reader, "grant_hold_ms", grant_hold_range_ms, default_grant_hold_ms)};
    into.max_addresses = read_number(
        reader, "most_addresses", address_count_range, default_address_count);
    into.readers = read_number(reader, "readers", reader_count_range,
                               default_reader_count);
    constexpr std::uint64_t bytes_per_mb = 1024UL * 1024;
    into.memory_bytes =
        bytes_per_mb *
        read_number(reader, "memory_mb", memory_range_mb, default_memory_mb);
    refuse_unknown_keys(reader, {"address_hold_ms", "grant_hold_ms",
                                 "most_addresses", "readers", "memory_mb"});
}

} // namespace

manifest::checked<daemon_settings> parse_settings(std::string_view content)
{
    TRY(document, manifest::parse_ini("settings", content));
    validation_errors found;
    daemon_settings settings;
    refuse_unknown_sections(document, found);
    read_daemon(document, settings, found);
    read_listen(document, settings, found);
    read_platform(document, settings, found);
    read_seeds(document, settings, found);
    read_limits(document, settings, found);
    if (!found.empty()) {
        return found;
    }
    return settings;
}

} // namespace bulrushspring::settings
