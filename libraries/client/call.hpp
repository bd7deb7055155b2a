#ifndef BULRUSHSPRING_LIBRARIES_CLIENT_CALL_HPP
#define BULRUSHSPRING_LIBRARIES_CLIENT_CALL_HPP

#include "base/time.hpp"
#include "libraries/client/address_book.hpp"
#include "libraries/client/http.hpp"
#include "libraries/reducer/caller_message.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bulrushspring::client
{

// A request of one caller.
struct call {
    manifest::service_kind kind = manifest::service_kind::query;
    std::string service;
    std::string key; // of a read or a request
    std::string id;
    // Prefixes the id of a non-idempotent request with its grant's mark. The
    // entry can then tell that no other incarnation of it has seen the request.
    bool bind_id = false;
    std::string caller;
    std::string data_centre; // the caller's own
    std::string body;
    duration deadline = seconds{5};
    // 1 plus the number of earlier attempts with this id that may have run.
    std::uint32_t first_caller_attempt = 1;
};

// The outcome of a call. If no entry could be reached, `reached` is false and
// the answer is a refusal with the reason "unreachable", or an unknown outcome
// if an earlier attempt may have run.
struct call_outcome {
    bool reached = false;
    caller_answer answer;
    endpoint entry; // the last entry that was sent the request
    std::uint32_t caller_attempts = 0; // attempts that left this process
};

// The state of a call in progress, by the rules of docs/CALLERS.md. Queries and
// reads fail over to the next entry. A non-idempotent request moves to another
// entry only if it certainly did not run; otherwise it is repeated a few times
// at the same entry with the same grant.
struct call_progress {
    enum class phase : std::uint8_t { finding, sending, ended };

    call what;
    std::string unbound_id; // the id that the caller chose, without a mark
    boot_time deadline;
    phase current_phase = phase::finding;
    std::vector<endpoint> to_ask; // endpoints to ask for addresses
    std::size_t next_to_ask = 0;
    std::vector<endpoint> entries;
    std::size_t entry_index = 0;      // index of the current entry
    std::string grant;                // for the current entry
    bool grant_requested = false;     // from the current entry
    std::uint32_t caller_attempt = 1; // 1 plus the attempts that may have run
    std::uint32_t repeats = 0;        // at the current entry
    std::uint32_t renewals = 0;       // of the grant at the current entry
    bool pause_due = false;
    call_outcome outcome;
};

// The steps of a call, which the user of this interface carries out.
struct ask_addresses {
    endpoint from;
    http_request request;
    duration timeout{0};
};
struct send_call {
    endpoint to;
    http_request request;
    duration timeout{0};
};
struct pause_call {
    duration wait{0};
};
struct call_ended {
};
using call_step =
    std::variant<ask_addresses, send_call, pause_call, call_ended>;

// Starts a call.
call_progress begin_call(const address_book& book, call what, boot_time now);

// Returns the next step. Its outcome must be passed to take_addresses or
// take_answer before the next step is requested.
call_step next_step(call_progress& progress, address_book& book, boot_time now);

// Processes the outcome of ask_addresses, which was sent at `asked`.
void take_addresses(call_progress& progress, address_book& book,
                    const endpoint& from, const exchange_result& ended,
                    boot_time asked);

// Processes the outcome of send_call.
void take_answer(call_progress& progress, address_book& book,
                 const exchange_result& ended, boot_time now);

// Builds the HTTP request for a call, with the remaining time as its deadline.
http_request make_request(const call& what, std::string_view grant,
                          std::uint32_t caller_attempt, duration time_left);

} // namespace bulrushspring::client

#endif
