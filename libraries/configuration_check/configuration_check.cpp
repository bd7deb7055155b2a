#include "libraries/configuration_check/configuration_check.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <set>

namespace bulrushspring::configuration_check
{
namespace
{

struct checker {
    const configuration& checked;
    const context& known;
    std::vector<finding> findings;

    void add(severity level, location where, std::string expected,
             std::string found)
    {
        findings.push_back(
            {level, std::move(where), std::move(expected), std::move(found)});
    }
    void warn(location where, std::string expected, std::string found)
    {
        add(severity::warning, std::move(where), std::move(expected),
            std::move(found));
    }
    void fail(location where, std::string expected, std::string found)
    {
        add(severity::error, std::move(where), std::move(expected),
            std::move(found));
    }
};

// A route or service with its place.
struct route_place {
    const routing::route& route;
    std::size_t index;

    location at(field what, std::optional<std::size_t> item = {}) const
    {
        return {part::route, index, route.name, what, item};
    }
};

struct service_place {
    const routing::service& service;
    std::size_t index;

    location at(field what) const
    {
        return {part::service, index, service.name, what, {}};
    }
};

location in_table(field what)
{
    return {part::table, 0, "", what, {}};
}

location in_limits(field what)
{
    return {part::limits, 0, "", what, {}};
}

std::string in_quotes(std::string_view text)
{
    return '"' + std::string(text) + '"';
}

std::string in_milliseconds(duration span)
{
    return absl::StrCat(to_milliseconds(span), " ms");
}

std::string in_bytes(std::uint64_t size)
{
    return absl::StrCat(size, " bytes");
}

template <typename Part>
bool all_read(const std::vector<std::optional<Part>>& parts)
{
    return std::all_of(parts.begin(), parts.end(),
                       [](const auto& each) { return each.has_value(); });
}

// The services that a route sends requests to, with duplicates.
std::vector<std::string_view> targets_of(const routing::route& route)
{
    std::vector<std::string_view> names(route.shards.begin(),
                                        route.shards.end());
    for (const auto& each : route.services) {
        names.push_back(each.service);
    }
    return names;
}

bool is_query(const routing::route& route)
{
    return !route.shards.empty();
}

// The field that names a route's services.
field target_field(const routing::route& route)
{
    return is_query(route) ? field::shards : field::services;
}

void check_table(checker& to)
{
    const auto& version = to.checked.version;
    const auto& in_force = to.known.version_in_force;
    if (version && in_force && *version <= *in_force) {
        to.fail(in_table(field::version),
                absl::StrCat("more than ", *in_force, ", the version in force"),
                absl::StrCat(*version));
    }
    if (to.checked.routes.empty()) {
        to.fail(in_table(field::routes),
                "at least one route; without one every request is rejected",
                "none");
    }
}

void check_host(checker& to, const route_place& place)
{
    const auto& host = place.route.host;
    if (host.empty()) {
        to.warn(place.at(field::host), "the host that requests name",
                in_quotes(host));
        return;
    }
    // The port of a request's host is removed before it is compared. An IPv6
    // address ends with a bracket.
    if (host.find(':') != std::string::npos && host.back() != ']') {
        to.fail(place.at(field::host),
                "a host without a port; no request matches one with a port",
                in_quotes(host));
    }
}

void check_prefix(checker& to, const route_place& place)
{
    const auto& prefix = place.route.prefix;
    if (!prefix.empty() && prefix.front() != '/') {
        to.fail(place.at(field::prefix),
                "a path that begins with a slash; no request matches another",
                in_quotes(prefix));
    } else if (prefix.empty() || prefix.back() != '/') {
        to.warn(place.at(field::prefix),
                "a path that begins and ends with a slash; any path that "
                "begins with this text matches",
                in_quotes(prefix));
    }
}

void check_times(checker& to, const route_place& place)
{
    const auto& route = place.route;
    if (route.timeout <= duration{0}) {
        to.warn(place.at(field::timeout),
                "more than 0; requests that state no deadline fail at once",
                in_milliseconds(route.timeout));
    } else if (route.objective > route.timeout) {
        to.warn(place.at(field::objective),
                absl::StrCat("at most the route's timeout of ",
                             in_milliseconds(route.timeout)),
                in_milliseconds(route.objective));
    }
}

void check_max_leafs(checker& to, const route_place& place)
{
    const auto& route = place.route;
    if (route.max_leafs == 0) {
        to.warn(place.at(field::max_leafs), "at least 1; 0 is used as 1", "0");
        return;
    }
    const std::pair<const std::string, std::uint32_t>* fewest = nullptr;
    for (const auto name : targets_of(route)) {
        const auto found = to.known.leafs.find(name);
        if (found != to.known.leafs.end() &&
            (fewest == nullptr || found->second < fewest->second)) {
            fewest = &*found;
        }
    }
    if (fewest != nullptr && route.max_leafs > fewest->second) {
        to.warn(place.at(field::max_leafs),
                absl::StrCat("at most ", fewest->second,
                             ", the number of leafs of ", fewest->first),
                absl::StrCat(route.max_leafs));
    }
}

void check_query(checker& to, const route_place& place)
{
    const auto& route = place.route;
    if (!is_query(route)) {
        return;
    }
    if (route.result_limit == 0) {
        to.fail(place.at(field::result_limit),
                "at least 1; merged answers have at most so many records", "0");
    }
    const double coverage = route.minimum_coverage;
    const auto shards = static_cast<double>(route.shards.size());
    const auto where = place.at(field::minimum_coverage);
    if (coverage > 1.0) {
        to.fail(where, "at most 1; no number of shards covers more",
                absl::StrCat(coverage));
    } else if (coverage <= 0.0) {
        to.warn(where, "more than 0; one shard of any number is sufficient",
                absl::StrCat(coverage));
    } else if (shards > 1 && coverage < 1.0 &&
               coverage * shards - 1e-9 > shards - 1) {
        to.warn(where,
                absl::StrCat("1, or at most ", shards - 1, " of ", shards,
                             " shards; this requires each of them"),
                absl::StrCat(coverage));
    }
}

void check_weights(checker& to, const route_place& place)
{
    const auto& services = place.route.services;
    const bool any_positive =
        std::any_of(services.begin(), services.end(),
                    [](const auto& each) { return each.weight > 0; });
    if (!services.empty() && !any_positive) {
        to.fail(place.at(field::services),
                "at least one weight above 0; all requests go to the last "
                "service otherwise",
                "only 0");
        return;
    }
    for (std::size_t i = 0; i < services.size(); ++i) {
        if (services[i].weight <= 0) {
            to.warn(place.at(field::weight, i),
                    absl::StrCat("more than 0; ", services[i].service,
                                 " gets no requests of this route"),
                    absl::StrCat(services[i].weight));
        }
    }
}

void check_targets(checker& to, const route_place& place,
                   const std::set<std::string_view>& services)
{
    const auto names = targets_of(place.route);
    const bool all_known = all_read(to.checked.services);
    std::set<std::string_view> seen;
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto where = place.at(target_field(place.route), i);
        if (!seen.insert(names[i]).second) {
            to.warn(where, "each service once",
                    absl::StrCat(in_quotes(names[i]), " again"));
        } else if (all_known && services.empty()) {
            to.fail(where,
                    "a service with a connection limit; daemons open no "
                    "connections to others",
                    in_quotes(names[i]));
        } else if (all_known && services.count(names[i]) == 0) {
            to.warn(where,
                    "the name of a service in the list of services; others "
                    "have the lowest connection limit of that list and no "
                    "health checks",
                    in_quotes(names[i]));
        }
    }
}

void check_header_size(checker& to, const route_place& place)
{
    if (!to.checked.limits) {
        return;
    }
    const auto shortest =
        absl::StrCat("GET ", place.route.prefix,
                     " HTTP/1.1\r\nHost: ", place.route.host, "\r\n\r\n")
            .size();
    if (shortest > to.checked.limits->header_bytes) {
        to.fail(place.at(field::prefix),
                absl::StrCat("a request whose header fits into the limit of ",
                             in_bytes(to.checked.limits->header_bytes)),
                absl::StrCat("at least ", in_bytes(shortest)));
    }
}

std::string describe(const route_place& place)
{
    return absl::StrCat("the same as of route ", place.index, " (",
                        place.route.name, ")");
}

void check_routes(checker& to)
{
    std::set<std::string_view> services;
    for (const auto& each : to.checked.services) {
        if (each) {
            services.insert(each->name);
        }
    }
    std::map<std::pair<std::string, std::string_view>, route_place> matched;
    std::map<std::string_view, route_place> named;
    for (std::size_t i = 0; i < to.checked.routes.size(); ++i) {
        const auto& route = to.checked.routes[i];
        if (!route) {
            continue;
        }
        const route_place place{*route, i};
        const auto name = named.emplace(route->name, place);
        if (route->name.empty()) {
            to.warn(place.at(field::name), "text that is not empty", "\"\"");
        } else if (!name.second) {
            to.warn(place.at(field::name),
                    "a name of its own; latencies are learned by name",
                    describe(name.first->second));
        }
        check_host(to, place);
        check_prefix(to, place);
        const auto match =
            matched.emplace(std::pair(absl::AsciiStrToLower(route->host),
                                      std::string_view(route->prefix)),
                            place);
        if (!match.second) {
            to.fail(place.at(field::prefix),
                    "a host and prefix that no route before has; no request "
                    "matches this one",
                    describe(match.first->second));
        }
        check_times(to, place);
        check_max_leafs(to, place);
        check_query(to, place);
        check_weights(to, place);
        check_targets(to, place, services);
        check_header_size(to, place);
    }
}

void check_services(checker& to)
{
    std::set<std::string_view> used;
    for (const auto& each : to.checked.routes) {
        if (each) {
            const auto targets = targets_of(*each);
            used.insert(targets.begin(), targets.end());
        }
    }
    const bool all_routes_known = all_read(to.checked.routes);
    std::map<std::string_view, std::size_t> named;
    for (std::size_t i = 0; i < to.checked.services.size(); ++i) {
        const auto& service = to.checked.services[i];
        if (!service) {
            continue;
        }
        const service_place place{*service, i};
        const auto name = named.emplace(service->name, i);
        if (!name.second) {
            to.fail(
                place.at(field::name),
                "a name that no service before has; this one is not used",
                absl::StrCat("the same as of service ", name.first->second));
        } else if (all_routes_known && used.count(service->name) == 0) {
            to.warn(place.at(field::name), "a service that a route names",
                    in_quotes(service->name));
        }
        if (service->connection_limit == 0) {
            to.fail(place.at(field::connection_limit),
                    "at least 1; daemons open no connections otherwise", "0");
        }
        if (!service->health_path.empty() &&
            service->health_path.front() != '/') {
            to.fail(place.at(field::health_path),
                    "a path that begins with a slash",
                    in_quotes(service->health_path));
        }
    }
}

void check_limits(checker& to)
{
    if (!to.checked.limits) {
        return;
    }
    const auto& limits = *to.checked.limits;
    if (limits.body_bytes == 0) {
        to.warn(in_limits(field::body_bytes),
                "at least 1; requests with a body are rejected", in_bytes(0));
    }
    if (limits.header_timeout <= duration{0}) {
        to.warn(in_limits(field::header_timeout),
                "more than 0; a daemon without a memory limit waits without "
                "end, one with a limit rejects headers in several pieces",
                in_milliseconds(limits.header_timeout));
    }
    if (limits.idle_timeout <= duration{0}) {
        to.warn(in_limits(field::idle_timeout),
                "more than 0; idle connections are never closed",
                in_milliseconds(limits.idle_timeout));
    } else if (limits.header_timeout > limits.idle_timeout) {
        to.warn(in_limits(field::header_timeout),
                absl::StrCat("at most the idle timeout of ",
                             in_milliseconds(limits.idle_timeout)),
                in_milliseconds(limits.header_timeout));
    }
}

} // namespace

std::vector<finding> check(const configuration& checked, const context& known)
{
    checker to{checked, known, {}};
    check_table(to);
    check_routes(to);
    check_services(to);
    check_limits(to);
    return std::move(to.findings);
}

} // namespace bulrushspring::configuration_check
