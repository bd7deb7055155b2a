#ifndef BULRUSHSPRING_LIBRARIES_MANIFEST_DOCUMENTS_HPP
#define BULRUSHSPRING_LIBRARIES_MANIFEST_DOCUMENTS_HPP

#include "libraries/manifest/fault.hpp"
#include "libraries/manifest/manifest.hpp"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bulrushspring::manifest
{

// An entry of the index: a section's name ("fleet", "pool.NAME" or
// "service.NAME") and the hash of its text.
struct section_reference {
    std::string name;
    content_hash hash;

    bool operator==(const section_reference&) const = default;
};

// The top-level document of a manifest version, which lists its sections.
struct index {
    std::uint64_t version = 0;
    content_hash hash; // of the index text itself
    std::vector<section_reference> sections;

    bool operator==(const index&) const = default;
};

// The parsed content of a section. Versions that have the section unchanged
// share it.
using section = std::variant<fleet, pool, service>;
using section_pointer = std::shared_ptr<const section>;

struct named_section {
    std::string name;
    section_pointer content;
};

// The unparsed text of a section, with its name in the index.
struct section_text {
    std::string name;
    std::string content;
};

// The names of the VMs that run daemons or leafs, by state; each sorted.
struct vm_list {
    std::vector<std::string> live;
    std::vector<std::string> leaving;

    bool operator==(const vm_list&) const = default;
};

// Parsers for the published documents. Their result depends on the published
// bytes only, so that every daemon and the command-line tool accept and refuse
// the same documents.
checked<index> parse_index(std::string_view content);
checked<section> parse_section(std::string_view name, std::string_view content);
checked<vm_list> parse_vms(std::string_view content);

// Builds a manifest from parsed sections and checks the references between
// them. Reports all errors, not just the first.
checked<manifest> assemble(const index& contents,
                           std::span<const named_section> sections);

// Returns the text of the index for the sections, ready to be published.
std::string pack_index(std::uint64_t version,
                       std::span<const section_text> sections);

// Serialises the list in canonical form: sorted by name, without optional
// white space. Equal lists thus have the same hash, whatever the formatting of
// the text from the platform.
std::string to_text(const vm_list& list);

} // namespace bulrushspring::manifest

#endif
