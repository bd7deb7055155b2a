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

// A service with its share of a route's requests.
struct weighted_service {
    std::string service;
    double weight = 1.0;
};

struct route {
    std::string name;
    std::string host;
    std::string prefix;      // of the path; begins and ends with a slash
    bool idempotent = false; // may be run more than once
    // One service takes each request; empty for a query over shards.
    std::vector<weighted_service> services;
    // All of these take part in each request; empty for a single request.
    std::vector<std::string> shards;
    duration timeout{0};          // the longest that a request is kept
    duration objective{0};        // the latency objective
    std::uint32_t most_leafs = 1; // that one request may be sent to, per shard
    std::uint32_t priority = 0;   // 0 is the most urgent
    std::uint32_t result_limit = 0; // most records in a merged answer
    double minimum_coverage = 1.0;  // share of the shards, 0 to 1
};

struct service {
    std::string name;
    std::string health_path;
    std::uint32_t connection_limit = 0; // of each leaf, over all daemons
};

// What a caller may send and how long it may take.
struct caller_limits {
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 262144;
    duration header_timeout = seconds{10};
    duration idle_timeout = seconds{60};
};

// A whole accepted configuration. Shared and never changed once accepted.
struct table {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service> services;
    caller_limits limits;
};

using table_pointer = std::shared_ptr<const table>;

// A server of one service.
struct leaf {
    std::string id; // of one life of the server
    std::string service;
    endpoint address;
    std::string data_centre;
    std::uint32_t slots = 1;
    bool draining = false;
    duration cold{0};          // how much longer it is slow after its start
    std::uint64_t started = 0; // tells lives under one id apart; 0: not said

    bool operator==(const leaf&) const = default;
};

// Of the routes of the host, the one with the longest prefix that begins the
// path; null where there is none. A port in the host is ignored.
const route* find_route(const table& routes, std::string_view host,
                        std::string_view path);

// The service that the n-th request of a split route goes to. Consecutive n
// meet the weights closely: a low-discrepancy sequence, not a random draw.
const std::string& choose_service(const route& of, std::uint64_t n);

} // namespace bulrushspring::routing

#endif
