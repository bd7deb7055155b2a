#ifndef BULRUSHSPRING_LIBRARIES_MEMORY_ALLOCATOR_HPP
#define BULRUSHSPRING_LIBRARIES_MEMORY_ALLOCATOR_HPP

// The C library's allocator, which may keep memory that the process has freed.
namespace bulrushspring::memory
{

// Makes the allocator return freed memory to the system early. Called once, at
// the start of the process.
void configure_allocator();

// Returns the free memory that the allocator has kept. Takes some milliseconds
// for a heap of 100 MB.
void return_free_memory();

} // namespace bulrushspring::memory

#endif
