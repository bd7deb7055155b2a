#ifndef BULRUSHSPRING_LIBRARIES_QUERIES_MERGE_HPP
#define BULRUSHSPRING_LIBRARIES_QUERIES_MERGE_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushspring::queries
{

// A line of an answer.
struct scored_line {
    double score = 0;
    std::string text; // the complete line, including the score, without newline
};

// The lines with the highest scores of all answers so far, at most `max_lines`.
struct merged_lines {
    std::size_t max_lines = 0;
    std::vector<scored_line> lines; // a heap with the worst line in front
    std::size_t text_bytes = 0;     // of all lines
};

// The memory in bytes that the lines occupy.
std::size_t size_in_memory(const merged_lines& self);

// Adds the lines of one leaf's answer: "SCORE<TAB>TEXT", each terminated by a
// newline, which is optional after the last. Returns false and adds nothing if
// any line is malformed.
bool merge(merged_lines& self, std::string_view body);

// Returns the merged lines and clears them. The best score is first; lines of
// equal score are ordered by their text.
std::string take_text(merged_lines& self);

void clear(merged_lines& self);

} // namespace bulrushspring::queries

#endif
