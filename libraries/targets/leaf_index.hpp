#ifndef BULRUSHSPRING_LIBRARIES_TARGETS_LEAF_INDEX_HPP
#define BULRUSHSPRING_LIBRARIES_TARGETS_LEAF_INDEX_HPP

#include <cstdint>

namespace bulrushspring::targets
{

// Index of a leaf in `state::leafs`; constant while the leaf is in use.
enum class leaf_index : std::uint32_t {};

} // namespace bulrushspring::targets

#endif
