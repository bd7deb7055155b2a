#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_CRASH_WATCH_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_CRASH_WATCH_HPP

#include "libraries/gateway/exchange.hpp"

// Recognises leafs that crash, blames the requests that were running on them,
// and restricts where suspects are sent. Internal to exchange.cpp and
// attempts.cpp.
namespace bulrushspring::gateway
{

// The fingerprint of the exchange's request, computed when first needed.
poison::fingerprint fingerprint_of(exchange&);

// An attempt's connection ended without an answer. Watches its leaf, and checks
// by a new connection whether it still runs.
void watch_leaf(exchange_step&, const leaf_connection&, const attempt& ended);

// A connection to a leaf was established, or could not be, which tells whether
// a watched leaf still runs.
void apply_connect_result(exchange_step&, const leaf_connection&,
                          bool established);

// A leaf has answered an attempt, which clears a suspect that it has run.
void apply_answer(exchange_step&, const attempt& answered, const leaf_reply&);

// Applies what was published of the watched leafs, and erases watches and
// records whose time has passed.
void review_crashes(exchange_step&);
// When they have to be reviewed; boot_time::max() if nothing is watched.
boot_time next_crash_review(const exchanges_state&);

// Resumes the exchanges whose requests are poison, which answers them.
void resume_poison(exchanges_state&);

// Whether the request has crashed too many leafs to be sent again.
bool is_poison(exchange_step&, exchange&);
bool is_suspect(exchange_step&, exchange&);

// Until when the exchange's next attempt has to wait, for a verdict on a leaf
// or because another part of a suspect is unanswered; boot_time::min() if it
// may be sent now.
boot_time held_until(exchange_step&, exchange&);

// Whether an attempt whose connection has been established may still be sent.
bool may_transmit(exchange_step&, exchange&, const attempt&);

// Marks an attempt that is sent as the only suspect on its leaf, if its request
// is suspected.
void mark_suspect(exchange_step&, exchange&, attempt&);

// The leafs of the service that no suspect may be sent to: they run another.
std::vector<std::string> leafs_with_suspects(const leaf_pool&,
                                             const std::string& service);

// The final answer to a poison request.
forward_answer poison_answer(exchange_step&, exchange&);

// Refuses a new request before any attempt if it is poison. Returns whether it
// was refused.
bool refuse_poison(exchange_step&, exchange&);

} // namespace bulrushspring::gateway

#endif
