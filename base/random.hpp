#ifndef BULRUSHSPRING_BASE_RANDOM_HPP
#define BULRUSHSPRING_BASE_RANDOM_HPP

#include <cstdint>
#include <random>
#include <span>
#include <utility>

namespace bulrushspring
{

// A random generator. Each reducer's state owns one with a seed of its own, so
// that a run can be repeated.
using random_source = std::mt19937_64;

// A random integer in [0, limit); the limit must be at least 1. Unlike
// std::uniform_int_distribution it gives the same values with every standard
// library.
inline std::uint64_t random_below(random_source& random, std::uint64_t limit)
{
    return random() % limit;
}

// A random number in [0, 1).
inline double random_fraction(random_source& random)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(random() >> 11U) * scale;
}

// Puts the values into a random order (Fisher-Yates).
template <typename Value>
void shuffle(std::span<Value> values, random_source& random)
{
    for (std::size_t remaining = values.size(); remaining > 1; --remaining) {
        std::swap(values[remaining - 1],
                  values[random_below(random, remaining)]);
    }
}

} // namespace bulrushspring

#endif
