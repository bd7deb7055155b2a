#ifndef BULRUSHSPRING_LIBRARIES_TARGETS_MATCHING_HPP
#define BULRUSHSPRING_LIBRARIES_TARGETS_MATCHING_HPP

#include <algorithm>
#include <cstdint>
#include <limits>
#include <span>
#include <utility>
#include <vector>

namespace bulrushspring::targets
{

// Marks a proposer without a receiver in the result of `match`.
inline constexpr std::uint32_t unmatched =
    std::numeric_limits<std::uint32_t>::max();

// Combines two hashes into one of 64 bits, for rendezvous hashing.
inline std::uint64_t mix_hashes(std::uint64_t one, std::uint64_t other)
{
    std::uint64_t value = one ^ (other * 0x9e3779b97f4a7c15U);
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

// Stable matching by deferred acceptance (Gale and Shapley). Each proposer gets
// at most one receiver, each receiver at most `capacity` proposers.
// `weight(i, j)` is the preference of proposer i and receiver j for each other;
// 0 excludes the pair. As both sides use the same weights, there is exactly one
// stable matching, independent of the order, provided that no two weights are
// equal.
// Adding or removing a proposer or receiver changes only a few other pairs.
// Returns the receiver's index for each proposer, or `unmatched`.
template <typename Weight>
std::vector<std::uint32_t> match(std::size_t proposers,
                                 std::span<const std::uint32_t> capacity,
                                 const Weight& weight)
{
    using offer = std::pair<std::uint64_t, std::uint32_t>;
    const auto weakest_first = [](const offer& a, const offer& b) {
        return a > b;
    };
    std::vector<std::uint32_t> result(proposers, unmatched);
    std::vector<std::uint64_t> rejected_from(
        proposers, std::numeric_limits<std::uint64_t>::max());
    std::vector<std::vector<offer>> accepted(capacity.size());
    std::vector<std::uint32_t> unprocessed(proposers);
    for (std::uint32_t i = 0; i < proposers; ++i) {
        unprocessed[i] = i;
    }
    while (!unprocessed.empty()) {
        const std::uint32_t proposer = unprocessed.back();
        unprocessed.pop_back();
        std::uint64_t best = 0;
        std::uint32_t receiver = unmatched;
        for (std::uint32_t j = 0; j < capacity.size(); ++j) {
            const std::uint64_t value = weight(proposer, j);
            if (value > best && value < rejected_from[proposer]) {
                best = value;
                receiver = j;
            }
        }
        if (receiver == unmatched) {
            continue;
        }
        rejected_from[proposer] = best;
        auto& heap = accepted[receiver];
        heap.emplace_back(best, proposer);
        std::push_heap(heap.begin(), heap.end(), weakest_first);
        result[proposer] = receiver;
        if (heap.size() > capacity[receiver]) {
            std::pop_heap(heap.begin(), heap.end(), weakest_first);
            const std::uint32_t displaced = heap.back().second;
            heap.pop_back();
            result[displaced] = unmatched;
            unprocessed.push_back(displaced);
        }
    }
    return result;
}

} // namespace bulrushspring::targets

#endif
