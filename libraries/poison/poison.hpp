#ifndef BULRUSHSPRING_LIBRARIES_POISON_POISON_HPP
#define BULRUSHSPRING_LIBRARIES_POISON_POISON_HPP

#include "base/time.hpp"
#include "libraries/wire/message.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

// Poison requests: requests that crash the leafs that run them. Collects the
// crashes that this daemon and its peers have seen, and tells which requests
// must not be sent to a leaf again.
namespace bulrushspring::poison
{

// Identifies requests that are alike to a leaf: the same credentials, method,
// host, target and body.
enum class fingerprint : std::uint64_t {};

// A leaf process that ended while a request was running on it.
struct crash {
    std::uint64_t leaf_process = 0; // hash of the leaf's id and incarnation
    boot_time sent_at{};            // when the request was sent to the leaf
    boot_time ended_at{};           // when the leaf process ended
};

struct options {
    // A request that has crashed this many leafs, one after the other, is
    // refused. Leafs that crash at the same time may have another cause in
    // common, so they count as one.
    std::uint32_t max_crashes = 3;
    // The same for a request that has crashed no more leafs than another one
    // that ran beside it: only further attempts tell which of them it was.
    std::uint32_t max_tied_crashes = 5;
    // How long a request is remembered after it last crashed a leaf or was
    // refused.
    duration retention = std::chrono::minutes{10};
    // Limits on the requests that are remembered and on the crashes kept of
    // one.
    std::size_t max_records = 1024;
    std::size_t max_crashes_kept = 8;
};

// What is known of a request that was running on a leaf that crashed.
struct record {
    std::vector<crash> crashes; // at most one for each leaf process
    // When a leaf last answered it. Crashes of attempts that were sent before
    // are not its fault.
    boot_time answered_at = boot_time::min();
    boot_time seen_at{}; // last crash, answer or refusal
};

struct state {
    options settings;
    std::unordered_map<std::uint64_t, record> records; // by fingerprint
};

// The number of crashes one after the other: each attempt was sent after the
// leaf of the previous one had crashed.
std::uint32_t consecutive_crashes(const record&);

// The same of a request; 0 if nothing is known of it.
std::uint32_t crashes_of(const state&, fingerprint);

// Adds a crash. Returns whether it was new.
bool add_crash(state&, fingerprint, const crash&, boot_time now);

// Adds that a leaf has answered the request, which clears it. Returns whether
// it was suspected before.
bool add_answer(state&, fingerprint, boot_time now);

// Whether the request was running on a leaf that crashed and has not been
// answered since.
bool is_suspect(const state&, fingerprint);

// Whether the request must not be sent to a leaf again. Crashes at which
// another request was running that has crashed more leafs are that one's.
bool is_poison(const state&, fingerprint);

// Extends the retention of a request that was refused as poison. Returns how
// long it is remembered from now on.
duration add_refusal(state&, fingerprint, boot_time now);

// Of requests that were running on a leaf when it crashed, the ones to blame:
// those with the most crashes before. A request that ran beside a known suspect
// is not blamed.
std::vector<fingerprint> to_blame(const state&,
                                  std::span<const fingerprint> running);

// Merges a peer's report. Returns whether anything in it was new. Merging is
// commutative and idempotent.
bool merge(state&, const wire::crash_report&, boot_time now);

// The report of what is known of a request, for peers.
wire::crash_report report_of(const state&, fingerprint, boot_time now);

// Erases the records whose retention has passed.
void expire(state&, boot_time now);

} // namespace bulrushspring::poison

#endif
