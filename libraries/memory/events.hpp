#ifndef BULRUSHSPRING_LIBRARIES_MEMORY_EVENTS_HPP
#define BULRUSHSPRING_LIBRARIES_MEMORY_EVENTS_HPP

#include "libraries/log/record.hpp"

#include <array>

namespace bulrushspring::memory
{

inline constexpr event_definition memory_limits{
    10001, severity::info, "memory_limits",
    "process_bytes account_bytes connections response_bytes",
    "What the process holds for others is limited to `account_bytes`, and to "
    "`connections` accepted at a time; a leaf's response to `response_bytes`. "
    "0: no limit, since the settings have no limits.memoryMb."};
inline constexpr event_definition memory_dropped{
    10002, severity::warning, "memory_dropped",
    "reserved connections partial unsent responses idle left",
    "The limit of the memory account was exceeded: so many partial requests "
    "were refused, requests refused that no leaf had been sent, responses "
    "dropped that can be requested again, and, if there were too many "
    "connections, idle ones closed. `reserved` are the bytes before, `left` "
    "those after."};
inline constexpr event_definition memory_exhausted{
    10003, severity::warning, "memory_exhausted", "exhausted reserved",
    "With exhausted=1, more than the limit is reserved by what must not be "
    "dropped: new requests are refused, and large responses are not read, "
    "until exhausted=0."};
inline constexpr event_definition memory_returned{
    10004, severity::info, "memory_returned", "reserved",
    "Memory that was freed after a peak was returned to the system."};

inline constexpr std::array all_events = {&memory_limits, &memory_dropped,
                                          &memory_exhausted, &memory_returned};

} // namespace bulrushspring::memory

#endif
