#ifndef BULRUSHSPRING_LIBRARIES_BALANCING_LOAD_STATEMENT_HPP
#define BULRUSHSPRING_LIBRARIES_BALANCING_LOAD_STATEMENT_HPP

#include <cstdint>
#include <optional>

namespace bulrushspring::balancing
{

// What a leaf states of its own load in an answer.
struct load_statement {
    std::uint32_t running = 0; // requests
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // How long work takes there at the moment, in percent of the usual time.
    std::optional<double> slowness;
};

} // namespace bulrushspring::balancing

#endif
