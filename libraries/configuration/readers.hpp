#ifndef BULRUSHSPRING_LIBRARIES_CONFIGURATION_READERS_HPP
#define BULRUSHSPRING_LIBRARIES_CONFIGURATION_READERS_HPP

#include "base/time.hpp"
#include "libraries/wire/message.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace bulrushspring::configuration
{

// The view of the fleet from membership: the live members, which may or may not
// include this daemon, and this daemon itself.
struct peers {
    std::span<const wire::member_record> live;
    const wire::member_record& self;
};

// The daemons that read the platform, according to one daemon's view of the
// fleet.
struct reader_selection {
    bool reading = false;             // whether this daemon is a reader
    std::vector<std::string> readers; // of its own data centre, by rank
    std::size_t members_seen = 1;     // in the whole fleet, including itself
    std::size_t readers_seen = 1;     // in the whole fleet
};

// Selects the readers: in each data centre the `per_data_centre` live members
// that rank highest by a hash of their names. The daemons need not agree: if
// their views of the fleet differ, there are only some additional readers.
reader_selection select_readers(const peers& fleet,
                                std::size_t per_data_centre);

// A token bucket that limits a daemon's calls to the platform; see
// fair_call_rate for its rate.
struct call_rate_limiter {
    double per_second = 1.0;
    double tokens = 2.0; // calls that may be made at once
    boot_time updated_at{};
};

inline constexpr double max_call_tokens = 2.0;

// Returns this daemon's share of the fleet's call rate: the rate times the
// visible fraction of the fleet, divided by the number of visible readers. The
// parts of a partitioned fleet, or daemons that see only themselves, thus do
// not exceed the rate of the whole fleet together.
double fair_call_rate(double fleet_calls_per_second, std::size_t fleet_size,
                      const reader_selection& selection);

// Takes a token for a call. Returns false, without taking one, if there is
// none.
bool try_take_call(call_rate_limiter& call_limiter, boot_time now);

// Returns when the next call may be made.
boot_time next_call_time(const call_rate_limiter& call_limiter);

} // namespace bulrushspring::configuration

#endif
