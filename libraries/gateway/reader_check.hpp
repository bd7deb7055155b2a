#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_READER_CHECK_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_READER_CHECK_HPP

#include "libraries/configuration/readers.hpp"
#include "libraries/membership/membership.hpp"

#include <set>

// Whether the daemons that read the store for this data centre still do.
//
// A daemon that doesn't read the store learns of changes from those that do. If
// all of them are lost at once, membership names others only after its
// suspicion time, which is longer than the time allowed for a change. So each
// daemon probes the readers itself: one of them now and then, and all of them
// if that one doesn't answer.
namespace bulrushspring::gateway
{

struct reader_check_options {
    duration shortest_interval = milliseconds{1000};
    // Limit on the probes of all daemons of a data centre together. Above it,
    // the interval grows.
    double probes_per_second = 60;
    duration probe_timeout = milliseconds{300};
};

enum class reader_state : std::uint8_t {
    working,
    silent,       // no reader answers
    without_store // readers answer, but none of them reaches the store
};

struct reader_check {
    reader_check_options settings;
    random_source random;
    reader_state readers = reader_state::working; // by the last check
    bool probing_all = false;
    duration interval{0};               // between checks
    boot_time due = boot_time::max();   // of the next step
    std::set<std::uint64_t> unanswered; // sequence numbers of the probes
    bool answered = false; // a reader has, which doesn't reach the store
};

// Takes the next step of the check if it is due. A daemon that reads the store
// itself checks nothing.
void review_readers(reader_check&, membership::state&,
                    const configuration::reader_selection&,
                    bulrushspring::context&);

// Handles the answer to a probe; others are ignored. `reaches_store`: its
// sender reads the store, and its last call succeeded.
void note_ack(reader_check&, std::uint64_t sequence, bool reaches_store,
              boot_time now);

} // namespace bulrushspring::gateway

#endif
