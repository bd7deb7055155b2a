#ifndef BULRUSHSPRING_FAKES_LEAF_RESULT_HPP
#define BULRUSHSPRING_FAKES_LEAF_RESULT_HPP

#include "libraries/manifest/manifest.hpp"

#include <span>
#include <string>
#include <string_view>

namespace bulrushspring::fakes
{

// The input of a fake leaf's result. Results depend on nothing else, so that a
// receiver can verify that an answer is complete and correct.
struct result_source {
    std::string_view service;
    std::string_view text; // the key if there is one, else the body
    manifest::snapshot_id snapshot = 0;
    manifest::shard_id shard = 0;
};

inline constexpr std::uint32_t lines_per_shard = 5;

// A shard's result of a query: lines of SCORE<TAB>TEXT in descending order of
// score.
std::string shard_result(const result_source& source);

// The result of a read or a request: one line of SCORE<TAB>TEXT.
std::string single_result(const result_source& source);

// The merged result of a query over the given shards: the `limit` lines of
// highest score, or all lines if `limit` is 0. Ignores the shard in `source`.
std::string merged_result(const result_source& source,
                          std::span<const manifest::shard_id> shards,
                          std::uint32_t limit);

} // namespace bulrushspring::fakes

#endif
