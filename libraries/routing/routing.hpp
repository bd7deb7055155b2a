#ifndef BULRUSHSPRING_LIBRARIES_ROUTING_ROUTING_HPP
#define BULRUSHSPRING_LIBRARIES_ROUTING_ROUTING_HPP

#include "base/endpoint.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// Routes by host and path prefix, the services behind them, and their leafs.
namespace bulrushspring::routing
{

// A service and its relative share of a route's requests.
struct weighted_service {
    std::string service;
    double weight = 1.0;
};

struct route {
    std::string name;
    std::string host;
    std::string prefix;      // path prefix; begins and ends with a slash
    bool idempotent = false; // requests may be executed more than once
    // Each request goes to one of these; empty for a query over shards.
    std::vector<weighted_service> services;
    // Each query goes to all of these; empty for a request to one service.
    std::vector<std::string> shards;
    duration timeout{0};            // maximum time to answer a request
    duration objective{0};          // latency objective
    std::uint32_t max_leafs = 1;    // tried per request and shard
    std::uint32_t priority = 0;     // 0 is the highest priority
    std::uint32_t result_limit = 0; // maximum records in a merged answer
    double minimum_coverage = 1.0;  // required share of the shards, 0 to 1
};

struct service {
    std::string name;
    std::string health_path;
    std::uint32_t connection_limit = 0; // per leaf, over all daemons
    duration warm_up{0}; // how long a leaf stays cold; 0: not stated
    // Requests a second that a cold leaf tolerates, from all daemons; 0: no
    // limit is stated.
    double cold_per_second = 0;
};

// Size limits and timeouts for requests from callers.
struct caller_limits {
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 262144;
    duration header_timeout = seconds{10};
    duration idle_timeout = seconds{60};
};

// A complete routing configuration. Shared, and immutable once accepted.
struct table {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service> services;
    caller_limits limits;
};

using table_pointer = std::shared_ptr<const table>;

// A leaf: a server of one service.
struct leaf {
    std::string id; // a restarted server may keep it
    std::string service;
    endpoint address;
    std::string data_centre;
    std::uint32_t slots = 1;
    bool draining = false;
    // Remaining time of slow answers after its start.
    duration cold_remaining{0};
    // Distinguishes incarnations of the server under one id; 0: not set.
    std::uint64_t incarnation = 0;

    bool operator==(const leaf&) const = default;
};

// Returns the host's route with the longest prefix that matches the path, or
// null if no route matches. A port in the host is ignored.
const route* find_route(const table& routes, std::string_view host,
                        std::string_view path);

// Chooses the service for a route's n-th request. A low-discrepancy sequence
// is used instead of random numbers, so that the shares of consecutive requests
// stay close to the weights.
const std::string& choose_service(const route& route, std::uint64_t n);

} // namespace bulrushspring::routing

#endif
