#ifndef BULRUSHSPRING_LIBRARIES_CONFIGURATION_CHECK_CONFIGURATION_CHECK_HPP
#define BULRUSHSPRING_LIBRARIES_CONFIGURATION_CHECK_CONFIGURATION_CHECK_HPP

#include "libraries/routing/routing.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

// Checks of a routing configuration before it is published, and its differences
// from the one in force. The names of fields are those of `routing`.
namespace bulrushspring::configuration_check
{

// A configuration in the order in which it is written, as far as it can be
// read: a part that can't be read is empty, and checks that need it are left
// out.
struct configuration {
    std::optional<std::uint64_t> version;
    std::vector<std::optional<routing::route>> routes;
    std::vector<std::optional<routing::service>> services;
    std::optional<routing::caller_limits> limits;
};

enum class severity {
    warning, // probably a mistake
    error,   // the daemon rejects it, or it can't be served as written
};

// Which part of a configuration a location is in.
enum class part { table, route, service, limits };

enum class field {
    none, // the part as a whole
    version,
    routes,
    name,
    host,
    prefix,
    idempotent,
    timeout,
    objective,
    max_leafs,
    priority,
    result_limit,
    minimum_coverage,
    services, // of a route, or of the table
    weight,   // of one of a route's services
    shards,
    health_path,
    connection_limit,
    warm_up,
    cold_per_second,
    header_bytes,
    body_bytes,
    header_timeout,
    idle_timeout,
};

struct location {
    part within = part::table;
    std::size_t index = 0; // of the route or service
    std::string name;      // of the route or service
    field what = field::none;
    std::optional<std::size_t> item; // index in a route's services or shards
};

struct finding {
    severity level = severity::warning;
    location where;
    std::string expected;
    std::string found;
};

// What is known besides the configuration.
struct context {
    std::optional<std::uint64_t> version_in_force;
    // The number of leafs of services; others are not known.
    std::map<std::string, std::uint32_t, std::less<>> leafs;
};

// Checks a configuration. The findings are ordered: the table, routes,
// services, limits.
std::vector<finding> check(const configuration& checked, const context& known);

// A difference from the configuration in force. `from` is empty for a part or
// value that is added, `to` for one that is removed; a part that is added or
// removed as a whole has the field `none`. Removed parts are located by their
// index in the configuration in force.
enum class change_kind { added, removed, changed };

struct change {
    change_kind kind = change_kind::changed;
    location where;
    std::string from;
    std::string to;
};

// The differences of `next` from `in_force`. Routes and services are compared
// by name; of several with one name, the first ones with each other and so on.
// The order of the parts is no difference. Empty parts are left out; where a
// list of `next` has one, no part of the list is reported as removed, since
// the empty one may be it.
std::vector<change> differences(const configuration& in_force,
                                const configuration& next);

} // namespace bulrushspring::configuration_check

#endif
