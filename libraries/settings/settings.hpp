#ifndef BULRUSHSPRING_LIBRARIES_SETTINGS_SETTINGS_HPP
#define BULRUSHSPRING_LIBRARIES_SETTINGS_SETTINGS_HPP

#include "base/endpoint.hpp"
#include "base/time.hpp"
#include "libraries/manifest/fault.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace bulrushspring::settings
{

// The settings of one daemon; docs/OPERATORS.md describes the keys.
struct daemon_settings {
    std::string name; // of its VM, as in the manifest
    std::string data_centre;
    std::string region;
    endpoint callers;                 // HTTP for callers
    endpoint peers;                   // UDP and TCP for other daemons
    endpoint operators;               // HTTP for operators
    endpoint platform;                // HTTP service of the platform
    std::vector<endpoint> seeds;      // other daemons' peer endpoints
    milliseconds address_validity{0}; // validity of an address answer
    milliseconds grant_validity{0};   // validity of a grant
    std::size_t max_addresses = 0;    // in one address answer
    std::size_t readers = 0; // daemons per data centre that poll the platform
    std::uint64_t memory_bytes = 0; // that the process may use
};

// Parses the content of a settings file. On failure returns all faults, not
// just the first.
manifest::checked<daemon_settings> parse_settings(std::string_view content);

} // namespace bulrushspring::settings

#endif
