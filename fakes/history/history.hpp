#ifndef BULRUSHSPRING_FAKES_HISTORY_HISTORY_HPP
#define BULRUSHSPRING_FAKES_HISTORY_HISTORY_HPP

#include "fakes/leaf/record.hpp"
#include "libraries/client/history_line.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushspring::fakes
{

// The calls that callers made and the executions that leafs recorded in a run.
struct history {
    std::vector<client::history_line> calls;
    std::vector<execution_record> executions;
    bool executions_complete = true; // no leaf lost part of its record
    bool callers_complete = true;    // `calls` has the calls of all callers
    // The maximum number of lines of a complete answer, by service. For a
    // service without a limit, the number of lines in the answer is used.
    std::map<std::string, std::uint32_t, std::less<>> result_limits;
};

enum class violation_kind : std::uint8_t {
    run_twice,         // a non-idempotent request was executed again
    refused_but_run,   // reported as "not_run", but executed
    answered_unrun,    // reported as "ran", but not executed
    run_before_asked,  // executed before the call was made
    wrong_answer,      // mismatched, mixed or truncated answer
    false_coverage,    // a shard reported as covered was not executed
    inconsistent,      // status and coverage of an answer disagree
    id_used_twice,     // by callers; the other checks are then unreliable
    unknown_execution, // execution of a request that no caller made
};

std::string_view to_string(violation_kind kind);

struct violation {
    violation_kind kind;
    std::string id;     // request ID
    std::string detail; // human-readable
};

// Checks the guarantees for a run (docs/design/history.md). If the record of
// executions is incomplete, reports only violations that do not depend on a
// missing execution.
std::vector<violation> check_history(const history& run);

// Appends the lines of a file to a history. Errors: not_found; malformed, with
// the file and line number as the peer.
result<void> add_calls(history& run, const std::string& path);
result<void> add_executions(history& run, const std::string& path);

} // namespace bulrushspring::fakes

#endif
