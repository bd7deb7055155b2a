#include "libraries/memory/allocator.hpp"

#include <cstdlib>
#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace bulrushspring::memory
{

void configure_allocator()
{
#ifdef __GLIBC__
    // By default, glibc raises both thresholds to the size of the largest block
    // that was freed, up to 32 MB. Bodies then come from the heap, which can
    // only shrink at its end and so keeps most of what one load has needed.
    constexpr int mapped_from = 128 * 1024;
    constexpr int most_kept_at_end = 256 * 1024;
    mallopt(M_MMAP_THRESHOLD, mapped_from);
    mallopt(M_TRIM_THRESHOLD, most_kept_at_end);
#endif
}

void return_free_memory()
{
#ifdef __GLIBC__
    malloc_trim(0);
#endif
}

} // namespace bulrushspring::memory
