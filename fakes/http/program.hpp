#ifndef BULRUSHSPRING_FAKES_HTTP_PROGRAM_HPP
#define BULRUSHSPRING_FAKES_HTTP_PROGRAM_HPP

#include "base/error.hpp"

#include <event2/event.h>

#include <string>
#include <string_view>

namespace bulrushspring::fakes
{

// Prints the addresses that a program listens on, and writes them to the file
// at `path` unless it is empty. Errors: unreachable.
result<void> announce_addresses(const std::string& path,
                                std::string_view addresses);

// Runs the event loop until SIGTERM or SIGINT.
result<void> run_until_signal(event_base& base);

// Returns 0 on success. Otherwise prints the error to standard error and
// returns 1.
int exit_code_of(const result<void>& outcome);

} // namespace bulrushspring::fakes

#endif
