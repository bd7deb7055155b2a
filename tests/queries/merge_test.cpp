#include "libraries/queries/merge.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace bulrushspring::queries;

RC_BOOST_PROP(merge_keeps_the_best_lines_in_any_input_order,
              (std::vector<std::uint8_t> scores, std::uint8_t most))
{
    std::vector<scored_line> all;
    merged_lines merged;
    merged.max_lines = most;
    for (std::size_t i = 0; i < scores.size(); ++i) {
        const auto line =
            std::to_string(scores[i]) + "\t" + std::to_string(i % 7);
        all.push_back({static_cast<double>(scores[i]), line});
        RC_ASSERT(merge(merged, line + "\n"));
    }
    std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
        return a.score != b.score ? a.score > b.score
                                  : a.text.substr(a.text.find('\t')) <
                                        b.text.substr(b.text.find('\t'));
    });
    std::string expected;
    for (std::size_t i = 0; i < std::min<std::size_t>(most, all.size()); ++i) {
        expected += all[i].text + "\n";
    }
    RC_ASSERT(take_text(merged) == expected);
}

BOOST_AUTO_TEST_CASE(malformed_body_adds_no_lines)
{
    for (const auto* body : {"1.0\tgood\nbad\n", "1.0\tgood\nx\ttext\n",
                             "1.0x\ttext\n", "\ttext\n", "nan\ttext\n",
                             "inf\ttext\n", "1.0\tgood\n\n", "1e999\ttext"}) {
        merged_lines merged;
        merged.max_lines = 10;
        BOOST_TEST(!merge(merged, body), body);
        BOOST_TEST(merged.lines.empty(), body);
    }
    merged_lines merged;
    merged.max_lines = 10;
    BOOST_TEST(merge(merged, "-1.5\ta\tb\n2e3\tlast line"));
    BOOST_TEST(merge(merged, ""));
    BOOST_TEST(take_text(merged) == "2e3\tlast line\n-1.5\ta\tb\n");
}

RC_BOOST_PROP(arbitrary_bytes_never_exceed_the_line_limit,
              (const std::string& body))
{
    merged_lines merged;
    merged.max_lines = 3;
    merge(merged, body);
    RC_ASSERT(merged.lines.size() <= 3);
}
