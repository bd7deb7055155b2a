#include "libraries/configuration/documents.hpp"

#include <unordered_set>

namespace bulrushspring::configuration
{
namespace
{

shared_text find_text(const content_hash& hash, const section_texts& in_force,
                      const section_texts& fetched)
{
    for (const auto* texts : {&in_force, &fetched}) {
        const auto it = texts->find(hash);
        if (it != texts->end()) {
            return it->second;
        }
    }
    return nullptr;
}

// Returns the parsed section in force if its content is unchanged, else null.
manifest::section_pointer
find_unchanged(const accepted_documents& in_force,
               const manifest::section_reference& reference)
{
    const auto it = in_force.sections.find(reference.name);
    const bool same =
        it != in_force.sections.end() && it->second.hash == reference.hash;
    return same ? it->second.parsed : nullptr;
}

// Returns the parsed section, or null after adding its errors to `found`.
manifest::section_pointer parse(const manifest::section_reference& reference,
                                const shared_text& text,
                                const accepted_documents& in_force,
                                manifest::validation_errors& found)
{
    if (auto unchanged = find_unchanged(in_force, reference)) {
        return unchanged;
    }
    auto parsed = manifest::parse_section(reference.name, *text);
    if (!parsed) {
        found.insert(found.end(), parsed.error().begin(), parsed.error().end());
        return nullptr;
    }
    return std::make_shared<const manifest::section>(std::move(parsed).value());
}

// Adds the text and the parsed form of each section to `value`.
void collect_sections(accepted_documents& value,
                      const manifest::index& contents,
                      const accepted_documents& in_force,
                      const section_texts& fetched,
                      manifest::validation_errors& found)
{
    std::size_t bytes = 0;
    for (const auto& reference : contents.sections) {
        const auto text = find_text(reference.hash, in_force.texts, fetched);
        if (!text) {
            found.push_back({errc::not_found, reference.name, "",
                             "the section that the index names",
                             to_string(reference.hash)});
            continue;
        }
        bytes += text->size();
        if (bytes > max_manifest_bytes) {
            found.push_back({errc::too_large, "manifest", "",
                             "at most " + std::to_string(max_manifest_bytes) +
                                 " bytes in all sections",
                             ""});
            return;
        }
        value.texts.emplace(reference.hash, text);
        const auto parsed = parse(reference, text, in_force, found);
        value.sections.emplace(reference.name,
                               accepted_section{reference.hash, parsed});
    }
}

} // namespace

bool is_newer(const document_id& left, const document_id& right)
{
    if (left.version != right.version) {
        return left.version > right.version;
    }
    return left.hash < right.hash;
}

std::vector<content_hash> missing_sections(const manifest::index& contents,
                                           const section_texts& in_force,
                                           const section_texts& fetched)
{
    std::vector<content_hash> missing;
    std::unordered_set<content_hash> seen;
    for (const auto& reference : contents.sections) {
        const bool available = in_force.contains(reference.hash) ||
                               fetched.contains(reference.hash);
        if (!available && seen.insert(reference.hash).second) {
            missing.push_back(reference.hash);
        }
    }
    return missing;
}

manifest::checked<accepted_documents>
validate(const shared_text& index_text, const manifest::index& contents,
         const accepted_documents& in_force, const section_texts& fetched)
{
    accepted_documents value;
    value.id = {contents.version, contents.hash};
    value.index_text = index_text;
    manifest::validation_errors found;
    collect_sections(value, contents, in_force, fetched, found);
    if (!found.empty()) {
        return found;
    }
    std::vector<manifest::named_section> sections;
    sections.reserve(value.sections.size());
    for (const auto& [name, section] : value.sections) {
        sections.push_back({name, section.parsed});
    }
    auto assembled = manifest::assemble(contents, sections);
    if (!assembled) {
        return std::move(assembled).error();
    }
    value.accepted = std::make_shared<const manifest::manifest>(
        std::move(assembled).value());
    return value;
}

} // namespace bulrushspring::configuration
