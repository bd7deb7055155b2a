#ifndef BULRUSHSPRING_LIBRARIES_MANIFEST_INI_HPP
#define BULRUSHSPRING_LIBRARIES_MANIFEST_INI_HPP

#include "base/endpoint.hpp"
#include "libraries/manifest/fault.hpp"

#include <boost/property_tree/ptree.hpp>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushspring::manifest
{

// The maximum size of a value in the platform's store, and thus of a document.
inline constexpr std::size_t max_document_bytes = 1024UL * 1024;

// Parses INI text of at most max_document_bytes. The document's name is only
// used in error messages.
checked<boost::property_tree::ptree> parse_ini(std::string_view document,
                                               std::string_view content);

// The two choices of a section header such as "leaf jc-3-b". The name is empty
// if the header is a single word.
struct section_header {
    std::string_view kind;
    std::string_view name;
};

section_header split_header(std::string_view header);

// Whether the text is a valid name of a leaf, VM, pool, service or data centre:
// 1 to 64 characters from a-z 0-9 . _ -
bool valid_name(std::string_view name);

// The keys of one INI section and the list to which the functions below append
// errors. For a value that cannot be read they return the lowest valid value,
// an empty string or a default endpoint, so that one pass reports all errors of
// a document.
struct key_reader {
    std::string section; // as shown in errors
    const boost::property_tree::ptree& keys;
    validation_errors& found;
};

// Appends an error for a key of this section.
void add_error(key_reader& reader, errc code, std::string_view key,
               std::string expected, std::string found = "");

// An inclusive range.
struct number_range {
    std::uint64_t low;
    std::uint64_t high;
};

// Reads an unsigned integer. The key is required unless there is a fallback.
std::uint64_t read_number(key_reader& reader, const char* key,
                          number_range range,
                          std::optional<std::uint64_t> fallback = {});

// Reads a decimal number from 0 to 1.
double read_fraction(key_reader& reader, const char* key, double fallback);

// Reads a Boolean, written "yes" or "no".
bool read_flag(key_reader& reader, const char* key, bool fallback);

// Reads one of several choices and returns its index. The fallback is an index
// too, or -1 if the key is required.
std::size_t read_choice(key_reader& reader, const char* key,
                        std::initializer_list<std::string_view> choices,
                        int fallback = -1);

// Reads a required name; see valid_name.
std::string read_name(key_reader& reader, const char* key);

// Reads a required ADDRESS:PORT with a port other than 0.
endpoint read_endpoint(key_reader& reader, const char* key);

// Returns the text of a required key, or null after adding an error.
const std::string* read_text(key_reader& reader, const char* key);

// Adds an error for each key that is not in `known`.
void refuse_unknown_keys(key_reader& reader,
                         std::initializer_list<std::string_view> known);

} // namespace bulrushspring::manifest

#endif
