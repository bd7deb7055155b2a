#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_ENTRIES_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_ENTRIES_HPP

#include "base/random.hpp"
#include "libraries/wire/message.hpp"

#include <span>
#include <string_view>
#include <vector>

// Selection of the addresses that callers get (entries) from the daemons that
// serve them.
namespace bulrushspring::gateway
{

struct entry_options {
    // Callers keep at most this many addresses of an answer.
    std::size_t max_entries = 64;
    // Callers stay within their data centre while it has this many daemons.
    std::size_t min_local = 3;
};

// The entries for callers of a data centre, in random order. Prefers daemons
// that are not overloaded, then those of the data centre; a preference is
// dropped if too few daemons would remain.
std::vector<endpoint> choose_entries(const entry_options&,
                                     std::span<const wire::member_record>,
                                     std::string_view data_centre,
                                     random_source&);

} // namespace bulrushspring::gateway

#endif
