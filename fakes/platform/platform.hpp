#ifndef BULRUSHSPRING_FAKES_PLATFORM_PLATFORM_HPP
#define BULRUSHSPRING_FAKES_PLATFORM_PLATFORM_HPP

#include "base/time.hpp"
#include "fakes/http/server.hpp"
#include "fakes/platform/values.hpp"

#include <cstdint>
#include <list>
#include <memory>
#include <string>

namespace bulrushspring::fakes
{

inline constexpr milliseconds max_watch_time{60'000};
inline constexpr std::size_t max_waiting_reads = 10'000;

// A read whose answer is delayed, because it waits for a change or because slow
// answers are injected.
struct waiting_read {
    evhttp_request* request = nullptr;
    std::string key;
    bool watches = false;
    std::uint64_t after = 0; // for a watch: the revision known to the reader
    boot_time answer_at;     // answered at this time at the latest
};

// A fake of the platform (docs/PLATFORM.md), with a second address for
// publishing values and injecting faults. It must not be moved after
// open_platform, because callbacks hold its address.
struct platform {
    event_base& base;
    const clock& time;
    platform_state state;
    std::unique_ptr<http_server> readers;
    std::unique_ptr<http_server> operators;
    std::list<waiting_read> waiting;
    client::event_pointer timer; // next answer_at, or end of the delay of `vms`
};

// Opens a platform that serves readers and operators at separate addresses.
// Errors: unreachable if an address cannot be bound.
result<std::unique_ptr<platform>> open_platform(event_base& base,
                                                const clock& time,
                                                const endpoint& readers,
                                                const endpoint& operators);

// Answers the waiting reads that can be answered after a change of values or
// faults, or after the passage of time.
void answer_waiting_reads(platform& fake);

} // namespace bulrushspring::fakes

#endif
