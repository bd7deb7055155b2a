#ifndef BULRUSHSPRING_LIBRARIES_QUERIES_SMALL_LIST_HPP
#define BULRUSHSPRING_LIBRARIES_QUERIES_SMALL_LIST_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace bulrushspring::queries
{

// A list of fixed capacity that stores its values in place. It avoids heap
// allocations in queries, which have such lists for each of their shards.
template <typename Value, std::size_t Capacity>
struct small_list {
    std::array<Value, Capacity> values{};
    std::uint8_t count = 0;

    bool empty() const { return count == 0; }
    bool full() const { return count == Capacity; }
    std::span<const Value> view() const { return {values.data(), count}; }
    void clear() { count = 0; }

    // Does nothing if the list is full.
    void push(Value value)
    {
        if (!full()) {
            values[count++] = value;
        }
    }

    void remove(Value value)
    {
        const auto end = values.begin() + count;
        const auto kept = std::remove(values.begin(), end, value);
        count = static_cast<std::uint8_t>(kept - values.begin());
    }
};

} // namespace bulrushspring::queries

#endif
