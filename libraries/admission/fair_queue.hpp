#ifndef BULRUSHSPRING_LIBRARIES_ADMISSION_FAIR_QUEUE_HPP
#define BULRUSHSPRING_LIBRARIES_ADMISSION_FAIR_QUEUE_HPP

#include "base/identifiers.hpp"

#include <cstdint>
#include <list>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace bulrushspring::admission
{

// The waiting requests of one caller, oldest first.
struct caller_queue {
    std::string caller;
    std::list<caller_token> waiting;
};

// The waiting requests of one service, served round-robin by caller, so that a
// caller with many requests does not delay the others. A caller without waiting
// requests has no entry.
struct service_queue {
    std::list<caller_queue> turns; // in round-robin order; the front is next
    std::unordered_map<std::string_view, std::list<caller_queue>::iterator>
        callers; // by name; the keys refer to names in `turns`
    std::size_t queued = 0;
};

// The position of a request in a queue, for removal in constant time.
struct queue_place {
    std::list<caller_queue>::iterator caller;
    std::list<caller_token>::iterator request;
};

// Appends a request to the queue of its caller.
queue_place push(service_queue& queue, std::string_view caller,
                 caller_token token);

// Removes and returns the next request. The queue must not be empty.
caller_token pop(service_queue& queue);

// Removes a waiting request.
void remove(service_queue& queue, const queue_place& place);

// Number of waiting requests of a caller.
std::size_t queued_of(const service_queue& queue, std::string_view caller);

// Start-time fair queueing among the services of a pool. Each service receives
// a share of execution time, not of requests, in proportion to its weight.
// Services are identified by an index that the user of this type chooses.
struct service_turns {
    double virtual_time = 0.0;
    std::set<std::pair<double, std::uint32_t>> backlogged;
};

// The tags of one service in the fair queue.
struct service_share {
    double start = 0.0;  // start tag, by which the service is ordered
    double finish = 0.0; // finish tag of its last request
};

// Adds a service whose queue is no longer empty.
void add(service_turns& turns, service_share& share, std::uint32_t service);

// Removes a service whose queue has become empty.
void remove(service_turns& turns, const service_share& share,
            std::uint32_t service);

// Charges the service at the front for one request and advances its tags. The
// cost is the request's execution time in seconds divided by the service's
// weight. The service stays in the fair queue.
void charge(service_turns& turns, service_share& share, std::uint32_t service,
            double cost);

} // namespace bulrushspring::admission

#endif
