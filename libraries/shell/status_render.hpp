#ifndef BULRUSHSPRING_LIBRARIES_SHELL_STATUS_RENDER_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_STATUS_RENDER_HPP

#include "libraries/metrics/registry.hpp"
#include "libraries/node/node.hpp"

#include <string>

namespace bulrushspring::shell
{

// Formats a daemon's status for /v1/status as JSON. docs/OPERATORS.md lists the
// fields.
std::string status_json(const node::state& daemon,
                        const metrics::registry& metrics, boot_time now);

} // namespace bulrushspring::shell

#endif
