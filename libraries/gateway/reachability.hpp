#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_REACHABILITY_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_REACHABILITY_HPP

#include "libraries/gateway/exchange.hpp"

#include <set>

// Whether this daemon reaches the leafs.
//
// A daemon that has lost its path to all leafs must not be given to callers
// while other daemons reach them; if the leafs are down for all, it must stay.
// It suspects its path when no leaf has answered for a while although an answer
// or a connection was due. Then it opens connections to some leafs, which tell
// within one round trip, however busy the leafs are, and asks peers about their
// last contact with leafs. It is partitioned if its own connects fail, or leafs
// accept them but answer nothing for longer, and a peer has had contact since.
// In the second case connections prove nothing, and only an answer to a health
// check brings callers back.
namespace bulrushspring::gateway
{

struct reachability_options {
    // No answer for this long, although one was due, is suspicious.
    duration suspect_after = milliseconds{300};
    // The same, once a check has found the path to hold.
    duration next_suspect_after = milliseconds{1000};
    // How long requests have gone unanswered if leafs accept connections but
    // are silent on them.
    duration silent_after = milliseconds{1500};
    duration review_interval = milliseconds{100};
    duration idle_review_interval = milliseconds{250};
    // A connection counts as contact from this age on: it may be reset at once.
    duration survival_time = milliseconds{50};
    duration recent_contact = milliseconds{400};
    // Connections opened at a time as a check; failures at as many leafs, or
    // at all that there are, confirm the suspicion.
    std::size_t checked_leafs = 3;
    // The same for leafs that are silent.
    std::size_t silent_leafs = 5;
    duration check_interval = milliseconds{200};
    // A suspicion is confirmed only after this time, in which a check of a leaf
    // that can be reached succeeds.
    duration check_time = milliseconds{250};
    std::size_t asked_peers = 3;
    milliseconds question_timeout{400};
    // A peer's contact counts if it is later than the own last one by this
    // much: what ended the own ones may have reached the peer a little later.
    duration min_lead = milliseconds{150};
    // How long a leaf that counts as silent has left a request unanswered, and
    // how much later a peer got an answer.
    duration min_silent_lead = milliseconds{1000};
    // How long contact has to last before callers return. Doubled, up to the
    // maximum, each time that the daemon is partitioned again soon after.
    duration hold_down = milliseconds{1000};
    duration max_hold_down = seconds{8};
    duration flap_window = seconds{20};
};

struct reachability {
    reachability_options settings;
    random_source random;
    boot_time answered_at{};
    boot_time contact_at{}; // a leaf answered, or keeps a new connection open
    // When the first request since the last answer was sent.
    boot_time unanswered_since = boot_time::max();
    boot_time suspected_since = boot_time::max();
    bool partitioned = false;
    boot_time partitioned_at{};
    // While partitioned: leafs accept connections, which are no contact then.
    bool connects_succeed = false;
    // Since when there has been contact again while partitioned.
    boot_time contact_since = boot_time::max();
    boot_time recovered_at = boot_time::min();
    duration hold_down{0};
    boot_time review_at{};
    boot_time check_at{};
    std::set<exchange_id> questions; // to peers, not answered yet
};

reachability make_reachability(const reachability_options&, std::uint64_t seed,
                               boot_time now);

// Notes that a leaf has answered.
void note_answer(reachability&, boot_time now);

// Checks the path if it is suspicious, and decides about recovery. `live` are
// the live members, of which the first is this daemon. Returns true if
// `partitioned` has changed.
bool review_reachability(reachability&, exchange_step&,
                         std::span<const wire::member_record> live);

// Tells a peer about the last contact with a leaf, and checks the path if that
// was long ago.
void reply_to_contact_request(reachability&, exchange_step&, peer_token);

// Takes a peer's reply. Returns true if `partitioned` has changed.
bool handle_contact_reply(reachability&, exchange_step&,
                          const peer_reply_received&);

// Whether requests are to be refused, since no leaf is reached.
bool reaches_no_leaf(const reachability&);

boot_time next_wakeup(const reachability&);

} // namespace bulrushspring::gateway

#endif
