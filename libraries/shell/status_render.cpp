#include "libraries/shell/status_render.hpp"

#include <nlohmann/json.hpp>

namespace bulrushspring::shell
{
namespace
{

using json = nlohmann::json;

std::int64_t age_ms(boot_time since, boot_time now)
{
    return to_milliseconds(now - since);
}

std::string_view text_of(wire::member_status status)
{
    switch (status) {
    case wire::member_status::alive:
        return "alive";
    case wire::member_status::suspect:
        return "suspect";
    case wire::member_status::leaving:
        return "leaving";
    case wire::member_status::dead:
        return "dead";
    }
    return "unknown";
}

json refusals_of(const configuration::status& status)
{
    json all = json::array();
    for (const auto& refusal : status.refusals) {
        all.push_back({{"version", refusal.id.version},
                       {"hash", to_string(refusal.id.hash)},
                       {"source", refusal.source},
                       {"reason", refusal.reason},
                       {"times", refusal.times}});
    }
    return all;
}

json races_of(const configuration::status& status)
{
    json all = json::array();
    for (const auto& race : status.version_conflicts) {
        all.push_back({{"version", race.version},
                       {"winner", to_string(race.winner)},
                       {"loser", to_string(race.loser)}});
    }
    return all;
}

json configuration_of(const node::state& daemon, boot_time now)
{
    const auto status = configuration::status_of(daemon.configuration);
    json value = {
        {"manifest_version", status.in_force.version},
        {"manifest_hash", to_string(status.in_force.hash)},
        {"age_ms",
         status.in_force.version == 0 ? 0 : age_ms(status.since, now)},
        {"source", status.source},
        {"ready", status.ready},
        {"relied_on", status.relied_on},
        {"reading", status.reading},
        {"readers", status.readers},
        {"platform_failures", status.platform_failures},
        {"vms_revision", status.vms_revision},
        {"vms_source", status.vms_source},
        {"refusals", refusals_of(status)},
        {"races", races_of(status)},
        {"backwards", status.older_versions_seen},
    };
    value["platform_heard_ms_ago"] =
        status.platform_has_answered
            ? json(age_ms(status.platform_answered_at, now))
            : json(nullptr);
    return value;
}

json members_of(const node::state& daemon, boot_time now)
{
    json all = json::array();
    for (const auto& member : membership::list_members(daemon.members)) {
        const auto& record = member.record;
        all.push_back({{"name", record.name},
                       {"data_centre", record.data_centre},
                       {"region", record.region},
                       {"status", text_of(record.status)},
                       {"status_age_ms", age_ms(member.since, now)},
                       {"incarnation", record.incarnation},
                       {"operators", to_string(record.operators)},
                       {"in_manifest", member.in_manifest}});
    }
    return all;
}

json targets_of(const node::state& daemon)
{
    json all = json::array();
    for (const auto& leaf : targets::status_of(daemon.targets)) {
        all.push_back({{"name", leaf.name},
                       {"pool", leaf.pool},
                       {"data_centre", leaf.data_centre},
                       {"state", leaf.state},
                       {"why", leaf.reason},
                       {"connections", leaf.connections},
                       {"share", leaf.share},
                       {"limit", leaf.limit},
                       {"in_flight", leaf.in_flight},
                       {"latency_ms", to_milliseconds(leaf.latency)}});
    }
    return all;
}

json latencies_of(const metrics::registry& metrics)
{
    const auto milliseconds_at = [](const auto& values, double share) {
        return std::chrono::duration<double, std::milli>(
                   metrics::quantile(values, share))
            .count();
    };
    json all = json::object();
    for (std::size_t i = 0; i < metrics::histogram_names.size(); ++i) {
        const auto& values = metrics.histograms[i];
        all[std::string(metrics::histogram_names[i])] = {
            {"count", metrics::count_of(values)},
            {"p50_ms", milliseconds_at(values, 0.50)},
            {"p95_ms", milliseconds_at(values, 0.95)},
            {"p99_ms", milliseconds_at(values, 0.99)},
            {"p999_ms", milliseconds_at(values, 0.999)}};
    }
    return all;
}

json counters_of(const metrics::registry& metrics)
{
    json all = json::object();
    for (std::size_t i = 0; i < metrics::counter_names.size(); ++i) {
        all[std::string(metrics::counter_names[i])] = metrics.counters[i];
    }
    return all;
}

} // namespace

std::string status_json(const node::state& daemon,
                        const metrics::registry& metrics, boot_time now)
{
    const auto& self = membership::self_of(daemon.members);
    const json value = {
        {"name", self.name},
        {"data_centre", self.data_centre},
        {"region", self.region},
        {"incarnation", self.incarnation},
        {"serving", node::serving(daemon)},
        {"warmed_up", targets::warmed_up(daemon.targets)},
        {"stopping", daemon.stop_requested_at.has_value()},
        {"in_flight", node::in_flight(daemon)},
        {"configuration", configuration_of(daemon, now)},
        {"members", members_of(daemon, now)},
        {"targets", targets_of(daemon)},
        {"counters", counters_of(metrics)},
        {"latencies", latencies_of(metrics)},
    };
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace bulrushspring::shell
