#ifndef BULRUSHSPRING_LIBRARIES_SHELL_SINK_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_SINK_HPP

#include "base/error.hpp"
#include "libraries/metrics/registry.hpp"
#include "libraries/reducer/event.hpp"

#include <functional>

namespace bulrushspring::shell
{

// The outputs of each component of the shell: `post` queues an event for the
// reducer, `reject` reports input that can't be parsed, and `metrics` counts.
struct sink {
    std::function<void(event)> post;
    std::function<void(const error&)> reject;
    metrics::registry* metrics = nullptr;
};

} // namespace bulrushspring::shell

#endif
