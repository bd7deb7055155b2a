#include "fakes/leaf/result.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <vector>

namespace bulrushspring::fakes
{
namespace
{

constexpr std::uint64_t score_scale = 1'000'000'000;

struct line {
    std::uint64_t score; // in units of 1 / score_scale
    std::string text;
};

std::string line_name(const result_source& source, std::uint32_t number)
{
    return std::string(source.service) + "/" + std::to_string(source.snapshot) +
           "/" + std::to_string(source.shard) + "/" + std::to_string(number);
}

line make_line(const result_source& source, std::uint32_t number)
{
    auto name = line_name(source, number);
    const auto text_hash = stable_hash(source.text);
    const auto score = stable_hash(name, text_hash) % score_scale;
    std::array<char, 20> digits{};
    std::snprintf(digits.data(), digits.size(), " %016llx",
                  static_cast<unsigned long long>(text_hash));
    return {score, name + digits.data()};
}

std::vector<line> lines_of(const result_source& source)
{
    std::vector<line> lines;
    for (std::uint32_t i = 0; i < lines_per_shard; ++i) {
        lines.push_back(make_line(source, i));
    }
    return lines;
}

std::string render_lines(std::vector<line> lines)
{
    std::stable_sort(lines.begin(), lines.end(),
                     [](const line& left, const line& right) {
                         return left.score > right.score;
                     });
    std::string body;
    for (const auto& it : lines) {
        std::array<char, 20> score{};
        std::snprintf(score.data(), score.size(), "0.%09llu\t",
                      static_cast<unsigned long long>(it.score));
        body += score.data();
        body += it.text;
        body += '\n';
    }
    return body;
}

} // namespace

std::string shard_result(const result_source& source)
{
    return render_lines(lines_of(source));
}

std::string single_result(const result_source& source)
{
    return render_lines({make_line(source, 0)});
}

std::string merged_result(const result_source& source,
                          std::span<const manifest::shard_id> shards,
                          std::uint32_t limit)
{
    std::vector<line> all;
    auto shard_source = source;
    for (const auto shard : shards) {
        shard_source.shard = shard;
        const auto lines = lines_of(shard_source);
        all.insert(all.end(), lines.begin(), lines.end());
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const line& left, const line& right) {
                         return left.score > right.score;
                     });
    if (limit > 0 && all.size() > limit) {
        all.resize(limit);
    }
    return render_lines(std::move(all));
}

} // namespace bulrushspring::fakes
