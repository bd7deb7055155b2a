#ifndef BULRUSHSPRING_LIBRARIES_SHELL_CALLER_RENDER_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_CALLER_RENDER_HPP

#include "libraries/reducer/caller_message.hpp"

#include <string>

namespace bulrushspring::shell
{

// Maps an answer to the HTTP status that docs/CALLERS.md defines for it.
int http_status(const caller_answer& answer);

// Formats an address answer as JSON. client::answer_json formats all other
// answers.
std::string to_json(const address_answer& answer);

} // namespace bulrushspring::shell

#endif
