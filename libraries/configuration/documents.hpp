#ifndef BULRUSHSPRING_LIBRARIES_CONFIGURATION_DOCUMENTS_HPP
#define BULRUSHSPRING_LIBRARIES_CONFIGURATION_DOCUMENTS_HPP

#include "libraries/manifest/documents.hpp"
#include "libraries/reducer/leaf_message.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bulrushspring::configuration
{

// The maximum size of all sections of a manifest together.
inline constexpr std::size_t max_manifest_bytes = 16UL * 1024 * 1024;

// Identifies a published manifest or list of VMs. Two with the same version can
// exist if publishers compete; the hash tells them apart.
struct document_id {
    std::uint64_t version = 0; // 0: none
    content_hash hash;

    bool operator==(const document_id&) const = default;
};

// Whether `left` takes precedence over `right`: the higher version, or for
// equal versions the lower hash. This is a total order, so that all daemons
// converge on the same document.
bool is_newer(const document_id& left, const document_id& right);

// The texts of sections by their hash.
using section_texts = std::unordered_map<content_hash, shared_text>;

// A valid parsed section. It is reused for the next version if that has the
// same section with the same hash.
struct accepted_section {
    content_hash hash;
    manifest::section_pointer parsed;
};

// An accepted manifest with its texts, which are served to other daemons.
struct accepted_documents {
    document_id id;
    shared_text index_text;
    section_texts texts;
    std::map<std::string, accepted_section, std::less<>> sections; // by name
    manifest::manifest_pointer accepted;
};

// Returns the hashes of sections of the index that are in neither map, without
// duplicates.
std::vector<content_hash> missing_sections(const manifest::index& contents,
                                           const section_texts& in_force,
                                           const section_texts& fetched);

// Parses and validates a manifest. The result depends on the manifest's bytes
// only: the documents in force are merely a cache of unchanged sections. The
// text of each section must be in `in_force` or `fetched`.
manifest::checked<accepted_documents>
validate(const shared_text& index_text, const manifest::index& contents,
         const accepted_documents& in_force, const section_texts& fetched);

} // namespace bulrushspring::configuration

#endif
