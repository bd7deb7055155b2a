#ifndef BULRUSHSPRING_TESTS_WIRE_ALLOCATIONS_HPP
#define BULRUSHSPRING_TESTS_WIRE_ALLOCATIONS_HPP

#include <cstddef>

namespace bulrushspring
{

// The bytes requested from operator new since the program started. Freed memory
// is not subtracted.
std::size_t allocated_bytes();

} // namespace bulrushspring

#endif
