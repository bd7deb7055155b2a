#include "libraries/queries/merge.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace bulrushspring::queries
{
namespace
{

struct line_view {
    double score = 0;
    std::string_view text; // the complete line
};

std::string_view after_score(std::string_view line)
{
    return line.substr(line.find('\t') + 1);
}

bool better(double score, std::string_view text, const scored_line& other)
{
    if (score != other.score) {
        return score > other.score;
    }
    return after_score(text) < after_score(other.text);
}

bool better_line(const scored_line& one, const scored_line& other)
{
    return better(one.score, one.text, other);
}

std::optional<line_view> parse_line(std::string_view line)
{
    const auto tab = line.find('\t');
    if (tab == std::string_view::npos) {
        return std::nullopt;
    }
    line_view parsed;
    parsed.text = line;
    const auto* end = line.data() + tab;
    const auto [stop, failure] =
        std::from_chars(line.data(), end, parsed.score);
    if (failure != std::errc{} || stop != end || !std::isfinite(parsed.score)) {
        return std::nullopt;
    }
    return parsed;
}

// Calls `visit` for each line. Stops and returns false at a malformed one.
template <typename Visit>
bool for_each_line(std::string_view body, const Visit& visit)
{
    while (!body.empty()) {
        const auto end = std::min(body.find('\n'), body.size());
        const auto parsed = parse_line(body.substr(0, end));
        if (!parsed) {
            return false;
        }
        visit(*parsed);
        body.remove_prefix(std::min(end + 1, body.size()));
    }
    return true;
}

void add(merged_lines& self, const line_view& line)
{
    auto& lines = self.lines;
    if (lines.size() == self.max_lines) {
        if (self.max_lines == 0 ||
            !better(line.score, line.text, lines.front())) {
            return;
        }
        std::pop_heap(lines.begin(), lines.end(), better_line);
        self.text_bytes -= lines.back().text.size();
        lines.pop_back();
    }
    lines.push_back({line.score, std::string(line.text)});
    self.text_bytes += line.text.size();
    std::push_heap(lines.begin(), lines.end(), better_line);
}

} // namespace

std::size_t size_in_memory(const merged_lines& self)
{
    return self.lines.size() * sizeof(scored_line) + self.text_bytes;
}

bool merge(merged_lines& self, std::string_view body)
{
    if (!for_each_line(body, [](const line_view&) {})) {
        return false;
    }
    return for_each_line(body, [&](const line_view& line) { add(self, line); });
}

std::string take_text(merged_lines& self)
{
    std::sort(self.lines.begin(), self.lines.end(), better_line);
    std::string text;
    for (const auto& line : self.lines) {
        text += line.text;
        text += '\n';
    }
    clear(self);
    return text;
}

void clear(merged_lines& self)
{
    self.lines.clear();
    self.text_bytes = 0;
}

} // namespace bulrushspring::queries
