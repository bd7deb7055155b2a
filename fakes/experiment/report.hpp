#ifndef BULRUSHSPRING_FAKES_EXPERIMENT_REPORT_HPP
#define BULRUSHSPRING_FAKES_EXPERIMENT_REPORT_HPP

#include "fakes/experiment/fleet.hpp"

#include <nlohmann/json.hpp>

#include <span>
#include <string>

namespace bulrushspring::experiment
{

// Mean and standard deviation over the seeds.
struct spread {
    double mean = 0.0;
    double deviation = 0.0;
};

// The results of one pattern over several seeds. Shares are fractions of the
// queries that callers sent.
struct summary {
    std::string pattern;
    std::size_t seeds = 0;
    spread in_time;
    spread late;
    spread refused;
    spread failed;
    spread coverage;      // of the answers
    spread leaf_requests; // per part of a query
    spread median_ms;
    spread p99_ms;
};

summary summarize(std::string pattern, std::span<const run_result> runs);

// One line for each summary, with a header.
std::string as_text(std::span<const summary> summaries);
std::string as_csv(std::span<const summary> summaries);
nlohmann::json as_json(std::span<const summary> summaries);

// The summaries of a saved JSON report; fails if one lacks a value.
result<std::vector<summary>> parse_summaries(std::string_view json);

// The differences between two reports, for each pattern that both have. A
// difference is marked if it exceeds twice its standard error.
std::string compare(std::span<const summary> before,
                    std::span<const summary> after);

} // namespace bulrushspring::experiment

#endif
