#ifndef BULRUSHSPRING_BASE_TIME_HPP
#define BULRUSHSPRING_BASE_TIME_HPP

#include <chrono>

namespace bulrushspring
{

using duration = std::chrono::nanoseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Time since the machine booted, including the time that it was suspended, so
// that deadlines also expire during a suspension (CLOCK_BOOTTIME).
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};
using boot_time = boot_clock::time_point;

// A source of the current time; tests use a manual_clock.
class clock
{
public:
    virtual ~clock() = default;
    virtual boot_time now() const = 0;
};

// Reads CLOCK_BOOTTIME.
class system_boot_clock final : public clock
{
public:
    boot_time now() const override;
};

// A clock for tests, which moves only by calls of advance().
class manual_clock final : public clock
{
public:
    boot_time now() const override { return now_; }
    void advance(duration step) { now_ += step; }

private:
    boot_time now_{seconds{1000}};
};

// Converts a time span to integer milliseconds, rounded towards zero.
inline std::int64_t to_milliseconds(duration span)
{
    return std::chrono::duration_cast<milliseconds>(span).count();
}

} // namespace bulrushspring

#endif
