#include "libraries/manifest/documents.hpp"
#include "libraries/manifest/ini.hpp"

#include <algorithm>
#include <limits>

namespace bulrushspring::manifest
{
namespace
{

using boost::property_tree::ptree;

constexpr std::uint64_t index_format = 1;
constexpr std::size_t max_sections = 4096;

bool valid_section_name(std::string_view name)
{
    for (const std::string_view prefix : {"pool.", "service."}) {
        if (name.starts_with(prefix)) {
            return valid_name(name.substr(prefix.size()));
        }
    }
    return name == "fleet";
}

// Reads the [manifest] section and returns its section count. The count detects
// an index that was truncated between two lines, which would otherwise be
// accepted as one with fewer services.
std::uint64_t read_manifest_section(index& value, const ptree& keys,
                                    validation_errors& found)
{
    key_reader reader{"manifest [manifest]", keys, found};
    read_number(reader, "format", {index_format, index_format});
    value.version = read_number(reader, "version",
                                {1, std::numeric_limits<std::int64_t>::max()});
    const std::uint64_t count =
        read_number(reader, "sections", {1, max_sections});
    refuse_unknown_keys(reader, {"format", "version", "sections"});
    return count;
}

void read_references(index& value, std::uint64_t count, const ptree& keys,
                     validation_errors& found)
{
    key_reader reader{"manifest [sections]", keys, found};
    if (keys.size() != count) {
        add_error(reader, errc::truncated, "",
                  "the number of keys given by [manifest] sections, " +
                      std::to_string(count),
                  std::to_string(keys.size()));
        return;
    }
    for (const auto& [name, text] : keys) {
        if (!valid_section_name(name)) {
            add_error(reader, errc::unknown_key, name,
                      "fleet, pool.NAME or service.NAME", text.data());
        }
        const auto hash = parse_content_hash(text.data());
        if (!hash) {
            add_error(reader, errc::malformed, name, "32 hexadecimal digits",
                      text.data());
            continue;
        }
        value.sections.push_back({name, hash.value()});
    }
    if (keys.find("fleet") == keys.not_found()) {
        add_error(reader, errc::missing_key, "fleet", "this key");
    }
}

} // namespace

checked<index> parse_index(std::string_view content)
{
    auto tree = parse_ini("manifest", content);
    if (!tree) {
        return std::move(tree).error();
    }
    index value;
    value.hash = hash_content(content);
    validation_errors found;
    const ptree no_keys;
    const auto keys_of = [&](const char* header) -> const ptree& {
        const auto it = tree.value().find(header);
        return it == tree.value().not_found() ? no_keys : it->second;
    };
    const std::uint64_t count =
        read_manifest_section(value, keys_of("manifest"), found);
    read_references(value, count, keys_of("sections"), found);
    for (const auto& [header, keys] : tree.value()) {
        if (header != "manifest" && header != "sections") {
            found.push_back({errc::unknown_key, "manifest", header,
                             "[manifest] and [sections] only", keys.data()});
        }
    }
    if (!found.empty()) {
        return found;
    }
    return value;
}

std::string pack_index(std::uint64_t version,
                       std::span<const section_text> sections)
{
    std::string text = "[manifest]\nformat = " + std::to_string(index_format) +
                       "\nversion = " + std::to_string(version) +
                       "\nsections = " + std::to_string(sections.size()) +
                       "\n[sections]\n";
    std::vector<const section_text*> sorted;
    for (const auto& one : sections) {
        sorted.push_back(&one);
    }
    std::sort(sorted.begin(), sorted.end(),
              [](const auto* left, const auto* right) {
                  return left->name < right->name;
              });
    for (const auto* one : sorted) {
        text +=
            one->name + " = " + to_string(hash_content(one->content)) + "\n";
    }
    return text;
}

} // namespace bulrushspring::manifest
