#ifndef BULRUSHSPRING_LIBRARIES_QUERIES_ANSWER_HPP
#define BULRUSHSPRING_LIBRARIES_QUERIES_ANSWER_HPP

#include "libraries/queries/fan_out.hpp"

namespace bulrushspring::queries
{

// Whether the query has to be answered now: all shards are covered, none of the
// missing ones can be covered any more, the time is up, or the service prefers
// an early answer and the coverage suffices.
bool should_answer(const step& step, const query& query);

// Answers the caller with the results received so far, cancels the outstanding
// attempts and removes the query.
void answer_query(step& step, query& query);

// Restarts the query on a newer snapshot, or answers it, if that is due.
// Returns true if it was answered: then the reference is no longer valid.
bool restart_or_answer(step& step, query& query);

// Answers a request that is refused before any attempt was sent.
void refuse(context& context, caller_token token, const caller_request& request,
            std::string_view reason, duration retry_after);

} // namespace bulrushspring::queries

#endif
