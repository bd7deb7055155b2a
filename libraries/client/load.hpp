#ifndef BULRUSHSPRING_LIBRARIES_CLIENT_LOAD_HPP
#define BULRUSHSPRING_LIBRARIES_CLIENT_LOAD_HPP

#include "base/random.hpp"
#include "base/time.hpp"
#include "libraries/client/call.hpp"
#include "libraries/client/event_pointers.hpp"
#include "libraries/client/history_line.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bulrushspring::client
{

// The distribution of times between calls.
enum class arrivals : std::uint8_t { fixed, poisson };

// A caller's name and its share of the calls.
struct caller_share {
    std::string name;
    double share = 1.0; // of the calls, relative to the others'
};

// An open-loop load: calls start at their scheduled times, whether or not
// earlier calls have been answered.
struct load_options {
    std::vector<endpoint> bootstrap;
    std::vector<std::string> data_centres; // assigned to clients in turn
    double rate = 100.0;                   // calls a second
    arrivals arrival_process = arrivals::poisson;
    duration load_duration = seconds{10};
    call call_template; // id and body are generated for each call
    std::vector<caller_share> callers;
    std::uint32_t clients = 32;        // each with its own address book
    std::size_t max_connections = 512; // per entry; further calls wait
    std::uint64_t distinct_texts = 1000;
    std::uint64_t seed = 1;
};

// Called at the end of each call. `invoked` is the time at which the call was
// scheduled, so that a late start counts as latency.
using call_watcher = std::function<void(const history_line&)>;

// Makes all calls and blocks until all have ended.
void run_load(const load_options& options, const clock& time,
              const call_watcher& watch);

// Draws the time from one call to the next.
duration draw_gap(const load_options& options, random_source& random);

} // namespace bulrushspring::client

#endif
