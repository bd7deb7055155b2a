#include "libraries/manifest/fault.hpp"

#include <algorithm>

namespace bulrushspring::manifest
{
namespace
{

constexpr std::size_t max_found_length = 80; // characters
constexpr std::size_t max_summarised_faults = 3;

} // namespace

std::string to_string(const validation_error& value)
{
    std::string text = value.section;
    if (!value.key.empty()) {
        text += " " + value.key;
    }
    text += ": " + make_error_code(value.code).message();
    text += "; expected " + value.expected;
    if (!value.found.empty()) {
        text += ", found '" + value.found.substr(0, max_found_length) + "'";
    }
    return text;
}

std::string summary(const validation_errors& all)
{
    std::string text;
    const std::size_t shown = std::min(all.size(), max_summarised_faults);
    for (std::size_t i = 0; i < shown; ++i) {
        text += (i == 0 ? "" : " | ") + to_string(all[i]);
    }
    if (all.size() > shown) {
        text += " | and " + std::to_string(all.size() - shown) + " more";
    }
    return text;
}

} // namespace bulrushspring::manifest
