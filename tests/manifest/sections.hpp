#ifndef BULRUSHSPRING_TESTS_MANIFEST_SECTIONS_HPP
#define BULRUSHSPRING_TESTS_MANIFEST_SECTIONS_HPP

#include "libraries/manifest/documents.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace bulrushspring::manifest::test
{

// Reads the sections of an example from its INI files.
inline std::vector<section_text> read_example(const std::string& name)
{
    const auto folder =
        std::filesystem::path(BULRUSHSPRING_SOURCE_FOLDER) / "examples" / name;
    std::vector<section_text> sections;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".ini") {
            std::ifstream file(entry.path(), std::ios::binary);
            sections.push_back(
                {entry.path().stem().string(),
                 std::string{std::istreambuf_iterator<char>(file), {}}});
        }
    }
    std::sort(sections.begin(), sections.end(),
              [](const auto& left, const auto& right) {
                  return left.name < right.name;
              });
    return sections;
}

// Packs, parses and assembles the sections. On failure, returns all errors of
// the first step that failed.
inline checked<manifest> check(const std::vector<section_text>& sections)
{
    const auto index = parse_index(pack_index(1, sections));
    if (!index) {
        return index.error();
    }
    validation_errors found;
    std::vector<named_section> parsed;
    for (const auto& [name, text] : sections) {
        auto parsed_section = parse_section(name, text);
        if (!parsed_section) {
            found.insert(found.end(), parsed_section.error().begin(),
                         parsed_section.error().end());
            continue;
        }
        parsed.push_back({name, std::make_shared<const section>(
                                    std::move(parsed_section).value())});
    }
    if (!found.empty()) {
        return found;
    }
    return assemble(index.value(), parsed);
}

} // namespace bulrushspring::manifest::test

#endif
