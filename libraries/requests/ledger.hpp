#ifndef BULRUSHSPRING_LIBRARIES_REQUESTS_LEDGER_HPP
#define BULRUSHSPRING_LIBRARIES_REQUESTS_LEDGER_HPP

#include "base/hash.hpp"
#include "base/identifiers.hpp"
#include "libraries/reducer/caller_message.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

// Records the non-idempotent requests that this incarnation of the entry has
// accepted. A record is kept until no request with its grant can be dispatched
// any more, and is never evicted before: a repeat could run twice otherwise.
namespace bulrushspring::requests
{

// Limits that bound the memory of the ledger.
struct ledger_options {
    std::size_t max_records = 50'000;
    std::size_t max_body_bytes = 4096;                        // of one answer
    std::size_t max_total_body_bytes = std::size_t{8} << 20U; // all answers
};

// The outcome of a request, as far as it is known.
struct outcome {
    answer_status status = answer_status::outcome_unknown;
    execution run = execution::unknown;
    std::string_view reason; // refers to a constant
    manifest::snapshot_id snapshot = 0;
    std::string leaf;
    shared_text body; // null if it did not fit into the ledger
};

struct ledger_record {
    content_hash content; // of service, key and body
    boot_time expires_at; // removed at this time or later
    caller_token token{}; // of the caller that it was begun for
    attempt_id attempt{}; // the latest one, or 0 if none was sent
    bool ended = false;
    outcome known_outcome; // valid if `ended`
};

// When a record may be removed.
struct record_expiry {
    boot_time due;
    content_hash identity;

    bool operator>(const record_expiry& other) const { return due > other.due; }
};

struct ledger {
    ledger_options settings;
    std::unordered_map<content_hash, ledger_record> records; // by identity
    std::priority_queue<record_expiry, std::vector<record_expiry>,
                        std::greater<>>
        expiries;
    std::size_t body_bytes = 0;
};

// Hash of the caller's name and the request id, which identify a request and
// its repeats.
content_hash identity_of(const caller_request& request);

// Hash of service, key and body, which a repeat may not change.
content_hash content_of(const caller_request& request);

// Returns null if there is no such record.
ledger_record* find(ledger& self, const content_hash& identity);

// Whether no further request may be accepted. Records that were removed before
// they expired count too, as their entries in `expiries` remain; this bounds
// the memory in all cases.
bool full(const ledger& self);

ledger_record& add(ledger& self, const content_hash& identity,
                   const ledger_record& record);

// Records the outcome of a request; called again if more becomes known later.
// If the answer's body exceeds a limit it is dropped and the outcome becomes
// partial, as a repeat will not get the complete answer.
void record_outcome(ledger& self, ledger_record& record, outcome known_outcome);

// Removes a record, so that a request of this identity counts as a new one.
// Only for a request that has expired or provably was not run.
void remove(ledger& self, const content_hash& identity);

// Removes the records that have expired and appends their attempts to
// `released`.
void remove_expired(ledger& self, boot_time now,
                    std::vector<attempt_id>& released);

// When the oldest record may be removed; boot_time::max() if there is none.
boot_time next_expiry(const ledger& self);

} // namespace bulrushspring::requests

#endif
