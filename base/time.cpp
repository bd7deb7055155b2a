#include "base/time.hpp"

#include <ctime>

namespace bulrushspring
{

boot_time system_boot_clock::now() const
{
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return boot_time{seconds{value.tv_sec} + duration{value.tv_nsec}};
}

} // namespace bulrushspring
