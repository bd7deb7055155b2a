#ifndef BULRUSHSPRING_LIBRARIES_MANIFEST_FAULT_HPP
#define BULRUSHSPRING_LIBRARIES_MANIFEST_FAULT_HPP

#include "base/error.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace bulrushspring::manifest
{

// One validation error of a document: its location and what was expected.
struct validation_error {
    errc code = errc::malformed;
    std::string section;  // "pool.jadual-carian [leaf jc-3-b]"
    std::string key;      // empty if the error concerns the whole section
    std::string expected; // readable text: "a whole number from 1 to 1024"
    std::string found;    // the value as written; empty if it is missing

    bool operator==(const validation_error&) const = default;
};

using validation_errors = std::vector<validation_error>;

// Formats an error as
// "pool.p [leaf a] address: out of range; expected ..., found '...'".
std::string to_string(const validation_error& value);

// Formats the first three errors and the number of the others as one line for
// the log.
std::string summary(const validation_errors& all);

// Either a value that passed all checks or the list of all errors found.
template <typename Value>
using checked = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    Value, validation_errors, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

} // namespace bulrushspring::manifest

#endif
