#ifndef BULRUSHSPRING_LIBRARIES_SHELL_SINK_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_SINK_HPP

#include "base/error.hpp"
#include "libraries/memory/account.hpp"
#include "libraries/metrics/registry.hpp"
#include "libraries/reducer/event.hpp"

#include <functional>

namespace bulrushspring::shell
{

// The outputs of each component of the shell: `post` queues an event for the
// reducer, `reject` reports input that can't be parsed, `metrics` counts, and
// `account`, if any, is charged for buffered bytes.
struct sink {
    std::function<void(event)> post;
    std::function<void(const error&)> reject;
    metrics::registry* metrics = nullptr;
    memory::account* account = nullptr;
};

} // namespace bulrushspring::shell

#endif
