#ifndef BULRUSHSPRING_LIBRARIES_CLIENT_HISTORY_LINE_HPP
#define BULRUSHSPRING_LIBRARIES_CLIENT_HISTORY_LINE_HPP

#include "base/error.hpp"
#include "base/time.hpp"
#include "libraries/client/call.hpp"

#include <string>
#include <string_view>

namespace bulrushspring::client
{

// One call in a history: the request, its times by the boot clock, and its
// outcome.
struct history_line {
    call what;
    boot_time invoked;
    boot_time ended;
    call_outcome outcome;
};

// Formats a call as a line of a history file: a JSON object, without the line
// feed.
std::string to_json(const history_line& line);

// Parses a line of a history file. Errors: malformed.
result<history_line> parse_history_line(std::string_view text);

} // namespace bulrushspring::client

#endif
