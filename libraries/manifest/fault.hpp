#ifndef BULRUSHSPRING_LIBRARIES_MANIFEST_FAULT_HPP
#define BULRUSHSPRING_LIBRARIES_MANIFEST_FAULT_HPP

#include "base/error.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace bulrushspring::manifest
{

// One validation error of a document: its location and what was expected.
struct fault {
    errc code = errc::malformed;
    std::string section;  // "pool.jadual-carian [leaf jc-3-b]"
    std::string key;      // empty if the error concerns the whole section
    std::string expected; // readable text: "a whole number from 1 to 1024"
    std::string found;    // the value as written; empty if it is missing

    bool operator==(const fault&) const = default;
};

using faults = std::vector<fault>;

// Formats an error as
// "pool.p [leaf a] address: out of range; expected ..., found '...'".
std::string to_string(const fault& value);

// Formats the first three errors and the number of the others as one line for
// the log.
std::string summary(const faults& all);

// Either a value that passed all checks or the list of all errors found.
template <typename Value>
using checked = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    Value, faults, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

} // namespace bulrushspring::manifest

#endif
