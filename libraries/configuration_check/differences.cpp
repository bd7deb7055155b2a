#include "libraries/configuration_check/configuration_check.hpp"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <utility>

namespace bulrushspring::configuration_check
{
namespace
{

// The values of a part as text, by field. Elements of lists have the name of
// their service beside the field.
using values = std::map<std::pair<field, std::string>, std::string>;

// The parts of one kind by name; parts with the same name are numbered.
template <typename Part>
using named_parts = std::map<std::pair<std::string_view, std::size_t>,
                             std::pair<std::size_t, const Part*>>;

std::string in_milliseconds(duration span)
{
    return absl::StrCat(to_milliseconds(span), " ms");
}

std::string in_bytes(std::uint64_t size)
{
    return absl::StrCat(size, " bytes");
}

values values_of(const routing::route& route)
{
    values all{
        {{field::host, ""}, route.host},
        {{field::prefix, ""}, route.prefix},
        {{field::idempotent, ""},
         route.idempotent ? "idempotent" : "not idempotent"},
        {{field::timeout, ""}, in_milliseconds(route.timeout)},
        {{field::objective, ""}, in_milliseconds(route.objective)},
        {{field::max_leafs, ""}, absl::StrCat(route.max_leafs)},
        {{field::priority, ""}, absl::StrCat(route.priority)},
        {{field::result_limit, ""}, absl::StrCat(route.result_limit)},
        {{field::minimum_coverage, ""}, absl::StrCat(route.minimum_coverage)},
    };
    for (const auto& each : route.shards) {
        all.emplace(std::pair(field::shards, each), each);
    }
    for (const auto& each : route.services) {
        all.emplace(
            std::pair(field::services, each.service),
            route.services.size() == 1
                ? each.service
                : absl::StrCat(each.service, " with weight ", each.weight));
    }
    return all;
}

values values_of(const routing::service& service)
{
    const auto warm_up = std::chrono::duration<double>(service.warm_up);
    return {
        {{field::health_path, ""}, service.health_path},
        {{field::connection_limit, ""}, absl::StrCat(service.connection_limit)},
        {{field::warm_up, ""}, absl::StrCat(warm_up.count(), " s")},
        {{field::cold_per_second, ""}, absl::StrCat(service.cold_per_second)},
    };
}

values values_of(const routing::caller_limits& limits)
{
    return {
        {{field::header_bytes, ""}, in_bytes(limits.header_bytes)},
        {{field::body_bytes, ""}, in_bytes(limits.body_bytes)},
        {{field::header_timeout, ""}, in_milliseconds(limits.header_timeout)},
        {{field::idle_timeout, ""}, in_milliseconds(limits.idle_timeout)},
    };
}

template <typename Part>
named_parts<Part> by_name(const std::vector<std::optional<Part>>& parts)
{
    named_parts<Part> all;
    std::map<std::string_view, std::size_t> count;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (const auto& each = parts[i]) {
            all.emplace(
                std::pair(std::string_view(each->name), count[each->name]++),
                std::pair(i, &*each));
        }
    }
    return all;
}

// Merges two maps in the order of their keys. `visit` gets the element of each,
// null where the map lacks the key.
template <typename Map, typename Visit>
void merge(const Map& from, const Map& to, Visit visit)
{
    auto left = from.begin();
    auto right = to.begin();
    while (left != from.end() || right != to.end()) {
        const bool takes_left =
            right == to.end() ||
            (left != from.end() && left->first <= right->first);
        const bool takes_right =
            left == from.end() ||
            (right != to.end() && right->first <= left->first);
        visit(takes_left ? &*left : nullptr, takes_right ? &*right : nullptr);
        left = takes_left ? std::next(left) : left;
        right = takes_right ? std::next(right) : right;
    }
}

void add_changed_values(std::vector<change>& changes, const location& part,
                        const values& from, const values& to)
{
    merge(from, to, [&](const auto* before, const auto* after) {
        auto where = part;
        where.what = (before != nullptr ? before : after)->first.first;
        if (before == nullptr) {
            changes.push_back({change_kind::added, where, "", after->second});
        } else if (after == nullptr) {
            changes.push_back(
                {change_kind::removed, where, before->second, ""});
        } else if (before->second != after->second) {
            changes.push_back(
                {change_kind::changed, where, before->second, after->second});
        }
    });
}

template <typename Part>
void add_changed_parts(std::vector<change>& changes, part kind,
                       const std::vector<std::optional<Part>>& from,
                       const std::vector<std::optional<Part>>& to)
{
    const auto place = [&](const auto& named) {
        return location{kind, named.second.first, named.second.second->name};
    };
    const bool all_read =
        std::all_of(to.begin(), to.end(),
                    [](const auto& each) { return each.has_value(); });
    merge(
        by_name(from), by_name(to), [&](const auto* before, const auto* after) {
            if (before == nullptr) {
                changes.push_back({change_kind::added, place(*after), "", ""});
            } else if (after != nullptr) {
                add_changed_values(changes, place(*after),
                                   values_of(*before->second.second),
                                   values_of(*after->second.second));
            } else if (all_read) {
                changes.push_back(
                    {change_kind::removed, place(*before), "", ""});
            }
        });
}

} // namespace

std::vector<change> differences(const configuration& in_force,
                                const configuration& next)
{
    std::vector<change> changes;
    if (in_force.version && next.version &&
        *in_force.version != *next.version) {
        changes.push_back({change_kind::changed,
                           {part::table, 0, "", field::version, {}},
                           absl::StrCat(*in_force.version),
                           absl::StrCat(*next.version)});
    }
    add_changed_parts(changes, part::route, in_force.routes, next.routes);
    add_changed_parts(changes, part::service, in_force.services, next.services);
    if (in_force.limits && next.limits) {
        add_changed_values(changes, {part::limits}, values_of(*in_force.limits),
                           values_of(*next.limits));
    }
    return changes;
}

} // namespace bulrushspring::configuration_check
