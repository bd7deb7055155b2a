#include "libraries/manifest/ini.hpp"

#include <boost/property_tree/ini_parser.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace bulrushspring::manifest
{
namespace
{

constexpr std::size_t max_name_length = 64;

const std::string* find_text(const key_reader& reader, const char* key)
{
    const auto found = reader.keys.find(key);
    return found == reader.keys.not_found() ? nullptr : &found->second.data();
}

template <typename Number>
bool parse_entire(std::string_view text, Number& value)
{
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    return read.ec == std::errc{} && read.ptr == end;
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view white_space = " \t\r";
    const auto first = text.find_first_not_of(white_space);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(white_space) + 1 - first);
}

// Boost's parser drops sections without keys. They are reported as errors, so
// that no part of a document is silently ignored.
void refuse_empty_sections(const std::string& document,
                           std::string_view content,
                           const boost::property_tree::ptree& tree,
                           validation_errors& found)
{
    while (!content.empty()) {
        const auto end = std::min(content.find('\n'), content.size());
        const auto line = trim(content.substr(0, end));
        content.remove_prefix(std::min(end + 1, content.size()));
        if (!line.starts_with('[')) {
            continue;
        }
        const std::string header(trim(line.substr(1, line.find(']') - 1)));
        if (tree.find(header) == tree.not_found()) {
            found.push_back({errc::missing_key, document, "",
                             "at least one key", "[" + header + "]"});
        }
    }
}

} // namespace

checked<boost::property_tree::ptree> parse_ini(std::string_view document,
                                               std::string_view content)
{
    const std::string name(document);
    if (content.size() > max_document_bytes) {
        return validation_errors{
            {errc::too_large, name, "",
             "at most " + std::to_string(max_document_bytes) + " bytes",
             std::to_string(content.size())}};
    }
    if (content.find('\0') != std::string_view::npos) {
        return validation_errors{
            {errc::malformed, name, "", "text without NUL bytes", ""}};
    }
    std::istringstream stream{std::string(content)};
    boost::property_tree::ptree tree;
    try {
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& failure) {
        return validation_errors{{errc::malformed, name, "", "INI text",
                                  "line " + std::to_string(failure.line()) +
                                      ": " + failure.message()}};
    }
    validation_errors found;
    refuse_empty_sections(name, content, tree, found);
    if (!found.empty()) {
        return found;
    }
    return tree;
}

section_header split_header(std::string_view header)
{
    const auto space = header.find(' ');
    if (space == std::string_view::npos) {
        return {header, {}};
    }
    return {header.substr(0, space), header.substr(space + 1)};
}

bool valid_name(std::string_view name)
{
    const auto allowed = [](char character) {
        return (character >= 'a' && character <= 'z') ||
               (character >= '0' && character <= '9') || character == '.' ||
               character == '_' || character == '-';
    };
    return !name.empty() && name.size() <= max_name_length &&
           std::all_of(name.begin(), name.end(), allowed);
}

void add_error(key_reader& reader, errc code, std::string_view key,
               std::string expected, std::string found)
{
    reader.found.push_back({code, reader.section, std::string(key),
                            std::move(expected), std::move(found)});
}

const std::string* read_text(key_reader& reader, const char* key)
{
    const std::string* text = find_text(reader, key);
    if (text == nullptr) {
        add_error(reader, errc::missing_key, key, "this key");
    }
    return text;
}

std::uint64_t read_number(key_reader& reader, const char* key,
                          number_range range,
                          std::optional<std::uint64_t> fallback)
{
    const std::string* text = find_text(reader, key);
    if (text == nullptr && fallback) {
        return *fallback;
    }
    const std::string expected = "a whole number from " +
                                 std::to_string(range.low) + " to " +
                                 std::to_string(range.high);
    if (text == nullptr) {
        add_error(reader, errc::missing_key, key, expected);
        return range.low;
    }
    std::uint64_t value = 0;
    if (!parse_entire(*text, value)) {
        add_error(reader, errc::malformed, key, expected, *text);
        return range.low;
    }
    if (value < range.low || value > range.high) {
        add_error(reader, errc::out_of_range, key, expected, *text);
        return range.low;
    }
    return value;
}

double read_fraction(key_reader& reader, const char* key, double fallback)
{
    const std::string* text = find_text(reader, key);
    if (text == nullptr) {
        return fallback;
    }
    double value = 0.0;
    if (!parse_entire(*text, value)) {
        add_error(reader, errc::malformed, key, "a number from 0 to 1", *text);
        return 0.0;
    }
    // Negated so that NaN is refused too.
    if (!(value >= 0.0 && value <= 1.0)) {
        add_error(reader, errc::out_of_range, key, "a number from 0 to 1",
                  *text);
        return 0.0;
    }
    return value;
}

std::size_t read_choice(key_reader& reader, const char* key,
                        std::initializer_list<std::string_view> choices,
                        int fallback)
{
    const std::string* text = find_text(reader, key);
    if (text == nullptr && fallback >= 0) {
        return static_cast<std::size_t>(fallback);
    }
    std::string expected = "one of";
    for (const auto choice : choices) {
        expected += " " + std::string(choice);
    }
    if (text == nullptr) {
        add_error(reader, errc::missing_key, key, expected);
        return 0;
    }
    const auto* const found = std::find(choices.begin(), choices.end(), *text);
    if (found == choices.end()) {
        add_error(reader, errc::out_of_range, key, expected, *text);
        return 0;
    }
    return static_cast<std::size_t>(found - choices.begin());
}

bool read_flag(key_reader& reader, const char* key, bool fallback)
{
    return read_choice(reader, key, {"no", "yes"}, fallback ? 1 : 0) == 1;
}

std::string read_name(key_reader& reader, const char* key)
{
    const std::string* text = read_text(reader, key);
    if (text == nullptr) {
        return {};
    }
    if (!valid_name(*text)) {
        add_error(reader, errc::malformed, key,
                  "a name of 1 to 64 characters from a-z 0-9 . _ -", *text);
    }
    return *text;
}

endpoint read_endpoint(key_reader& reader, const char* key)
{
    const std::string* text = read_text(reader, key);
    if (text == nullptr) {
        return {};
    }
    const auto parsed = parse_endpoint(*text);
    if (!parsed || parsed.value().port == 0) {
        add_error(reader, errc::malformed, key,
                  "IPV4-ADDRESS:PORT with a port from 1 to 65535", *text);
        return {};
    }
    return parsed.value();
}

void refuse_unknown_keys(key_reader& reader,
                         std::initializer_list<std::string_view> known)
{
    for (const auto& [key, value] : reader.keys) {
        if (std::find(known.begin(), known.end(), key) == known.end()) {
            add_error(reader, errc::unknown_key, key, "known keys only",
                      value.data());
        }
    }
}

} // namespace bulrushspring::manifest
