#ifndef BULRUSHSPRING_LIBRARIES_LIMITS_RETRY_BUDGET_HPP
#define BULRUSHSPRING_LIBRARIES_LIMITS_RETRY_BUDGET_HPP

#include <algorithm>

namespace bulrushspring::limits
{

// A token bucket for extra attempts, that is hedges and retries. Each first
// attempt earns `ratio` of a token and each extra attempt costs one token, so
// that extra load stays a fixed share of the load whatever fails.
struct retry_budget {
    double ratio = 0.0;    // tokens earned by a first attempt, 0 to 1
    double max_tokens = 0; // maximum balance, in extra attempts
    double tokens = 0;
};

// Adds the tokens earned by one first attempt.
inline void earn(retry_budget& budget)
{
    budget.tokens = std::min(budget.max_tokens, budget.tokens + budget.ratio);
}

// Takes one token. Returns false and takes nothing if less than one is left.
inline bool spend(retry_budget& budget)
{
    if (budget.tokens < 1.0) {
        return false;
    }
    budget.tokens -= 1.0;
    return true;
}

} // namespace bulrushspring::limits

#endif
