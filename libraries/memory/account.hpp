#ifndef BULRUSHSPRING_LIBRARIES_MEMORY_ACCOUNT_HPP
#define BULRUSHSPRING_LIBRARIES_MEMORY_ACCOUNT_HPP

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

// The account of the bytes that a process holds for others: callers, leafs, the
// store and other daemons. docs/design/memory.md describes what counts.
namespace bulrushspring::memory
{

// What the settings allow.
struct limits {
    std::uint64_t bytes = 0;          // of the account; 0: no limit
    std::uint64_t connections = 0;    // accepted at a time; 0: no limit
    std::uint64_t response_bytes = 0; // of one response's body; 0: no limit
};

// What a connection costs besides the messages on it: its objects, and unread
// bytes in the kernel, which count towards the process's limit.
inline constexpr std::uint64_t connection_objects = 4096;
inline constexpr int accepted_receive_buffer = 16384;
inline constexpr int opened_receive_buffer = 65536;
inline constexpr std::uint64_t accepted_connection =
    connection_objects + accepted_receive_buffer;

// Derives the limits from the memory and the file descriptors that the process
// may use. 0 bytes of memory: no limit.
limits make_limits(std::uint64_t process_bytes, std::uint64_t descriptors);

struct account {
    memory::limits limits;
    std::uint64_t reserved = 0;    // bytes
    std::uint64_t connections = 0; // accepted
    std::uint64_t peak = 0;        // of `reserved`, since memory was returned
    // What is above the limits cannot be dropped; reclaim is called again when
    // more than this is reserved.
    std::uint64_t retry_above = 0;
    std::uint64_t last_activity = 0; // numbers uses of connections in order
    // Drops what exceeds the limits. Called by reclaim_if_over.
    std::function<void()> reclaim;
};

// Bytes that one object has reserved. A copy reserves as many again; the
// destructor releases them. Without an account, it does nothing.
class charge
{
public:
    charge() = default;
    charge(account* of, std::uint64_t bytes);
    charge(const charge& other);
    charge(charge&& other) noexcept;
    charge& operator=(const charge& other);
    charge& operator=(charge&& other) noexcept;
    ~charge();

    void set(std::uint64_t bytes);
    std::uint64_t bytes() const { return bytes_; }

private:
    account* account_ = nullptr;
    std::uint64_t bytes_ = 0;
};

bool is_over_limit(const account&);

// Calls `reclaim` if the account exceeds its limits. It may close any
// connection, so a caller uses none afterwards. Null: does nothing.
void reclaim_if_over(account*);

// The bytes and the connections that have to be dropped, below the limits by a
// margin, so that not each further byte causes a search for what to drop.
std::uint64_t excess_bytes(const account&);
std::uint64_t excess_connections(const account&);

// The kinds of what can be dropped, in the order in which they are: what loses
// least first.
enum class drop_kind : std::uint8_t {
    partial_request, // a request or a frame that has not arrived completely
    unsent_request,  // complete, but not sent to any leaf
    response,        // that can be requested again
    idle_connection, // without a request; closed only to make room for others
};

// Something that can be dropped.
struct candidate {
    drop_kind kind = drop_kind::partial_request;
    // Progress of a partial request in bytes per second: the lowest is dropped
    // first. Of the others, the largest is, so that the fewest are lost.
    double progress = 0;
    std::uint64_t bytes = 0;
    std::uint32_t holder = 0;   // who holds it
    std::uint64_t id = 0;       // at its holder
    std::uint64_t last_use = 0; // account::last_activity then
    bool slow = false;          // a request that has been incomplete for long
};

// Chooses what to drop until `bytes` are freed, in the order of dropping. Idle
// connections are not: they hold little, and the next request of their callers
// may be on its way.
std::vector<candidate> choose_drops(std::vector<candidate> all,
                                    std::uint64_t bytes);

// Chooses connections without a complete request to close: those with slow
// requests by their progress, then the others, the least recently used first.
std::vector<candidate> choose_connections(std::vector<candidate> all,
                                          std::uint64_t count);

// The numbers of what was dropped, by drop_kind.
using drop_counts = std::array<std::size_t, 4>;

// Drops what exceeds the limits. `list` returns all candidates. `drop` drops
// one of them; if `silently`, it closes the connection without an answer.
drop_counts
drop_excess(const account&, const std::function<std::vector<candidate>()>& list,
            const std::function<void(const candidate&, bool silently)>& drop);

// Ends a search for what to drop: until more is reserved, it is not repeated.
// Returns whether the account still exceeds its limit.
bool end_reclaim(account&);

// Whether much less is reserved than at the peak since the last call that
// returned true: the allocator may hold memory that can be returned.
bool should_return_memory(account&);

// The account in the Prometheus text format.
std::string prometheus_text(const account&);

} // namespace bulrushspring::memory

#endif
