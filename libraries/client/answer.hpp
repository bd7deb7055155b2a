#ifndef BULRUSHSPRING_LIBRARIES_CLIENT_ANSWER_HPP
#define BULRUSHSPRING_LIBRARIES_CLIENT_ANSWER_HPP

#include "base/error.hpp"
#include "libraries/client/http.hpp"
#include "libraries/reducer/caller_message.hpp"

#include <string>
#include <string_view>

namespace bulrushspring::client
{

// Limit on the entries in an address answer.
inline constexpr std::size_t max_entries = 256;

// Limit on the shards of a snapshot.
inline constexpr std::uint32_t max_shards = 100'000;

// Parses an entry's answer to a request (docs/CALLERS.md). The answer must be
// consistent: its `status` and `run` with the HTTP status, and its covered
// shards with the missing ones. Errors: malformed, out_of_range, too_large.
result<caller_answer> parse_answer(const http_response& response);

// Parses an entry's answer to GET /v1/addresses. Errors: as above.
result<address_answer> parse_addresses(const http_response& response);

// The name of the value on the wire.
std::string_view to_string(execution run);

// The share of shards that an answer covers, from 0 to 1; 1 if the answer has
// no shards.
double coverage_of(const caller_answer& answer);

// The covered shards as a list of ranges, such as "0-6,8-9".
std::string covered_text(const caller_answer& answer);

// Formats an answer as JSON in the form that entries send.
std::string answer_json(const caller_answer& answer);

} // namespace bulrushspring::client

#endif
