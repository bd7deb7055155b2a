#include "fakes/leaf/host.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace bulrushspring::fakes
{
namespace
{

using nlohmann::json;

json executions_json(const leaf& fake, bool idempotent)
{
    const auto& log = fake.executions;
    json list = json::array();
    for (const auto& record : idempotent ? log.idempotent : log.others) {
        list.push_back(json::parse(to_json(record)));
    }
    return {
        {"leaf", fake.options.name},
        {"total", idempotent ? log.total - log.total_others : log.total_others},
        {"dropped", idempotent ? log.dropped : log.dropped_others},
        {"executions", std::move(list)}};
}

json counts_json(const leaf& fake)
{
    const auto& counts = fake.counts;
    return {{"leaf", fake.options.name},
            {"address", to_string(fake.options.address)},
            {"executions", fake.executions.total},
            {"executions_non_idempotent", fake.executions.total_others},
            {"running", fake.running},
            {"queued", fake.queued},
            {"answered", counts.answered},
            {"failed", counts.failed},
            {"shed", counts.shed},
            {"refused_draining", counts.refused_draining},
            {"refused_snapshot", counts.refused_snapshot},
            {"refused_shard", counts.refused_shard},
            {"cancelled_queued", counts.cancelled_queued},
            {"cancelled_running", counts.cancelled_running},
            {"deadline_passed", counts.deadline_passed},
            {"unsent", counts.unsent},
            {"probes", counts.probes},
            {"malformed", counts.malformed},
            {"connections", fake.connections->open.size()},
            {"connections_limit", fake.options.connections},
            {"connections_opened", counts.connections_opened},
            {"connections_refused", counts.connections_refused},
            {"most_connections", counts.most_connections}};
}

std::vector<leaf*> selected_leafs(leaf_host& host, const query_values& query)
{
    const auto name = query.find("leaf");
    std::vector<leaf*> leafs;
    for (const auto& it : host.leafs) {
        if (name == query.end() || name->second == it->options.name) {
            leafs.push_back(it.get());
        }
    }
    return leafs;
}

void apply_and_reply(evhttp_request& request, const std::vector<leaf*>& leafs,
                     const query_values& query)
{
    for (auto* it : leafs) {
        const auto applied = apply_faults(*it, query);
        if (applied.has_error()) {
            reply(request, 400, {}, to_string(applied.error()) + "\n");
            return;
        }
    }
    reply(request, 204, {}, "");
}

void reply_list(evhttp_request& request, const std::vector<leaf*>& leafs,
                const std::function<json(const leaf&)>& to_json_object)
{
    json list = json::array();
    for (const auto* it : leafs) {
        list.push_back(to_json_object(*it));
    }
    reply(request, 200, {{"Content-Type", "application/json"}},
          json{{"leafs", std::move(list)}}.dump() + "\n");
}

void handle_admin(leaf_host& host, evhttp_request& request)
{
    const auto path = path_of(request);
    const auto query = query_of(request);
    const auto method = evhttp_request_get_command(&request);
    const auto leafs = selected_leafs(host, query);
    if (leafs.empty()) {
        reply(request, 404, {}, "no such leaf\n");
        return;
    }
    if (method == EVHTTP_REQ_POST && path == "/admin/faults") {
        apply_and_reply(request, leafs, query);
        return;
    }
    if (method == EVHTTP_REQ_GET && path == "/admin/counts") {
        reply_list(request, leafs, counts_json);
        return;
    }
    if (method == EVHTTP_REQ_GET && path == "/admin/executions") {
        const auto parameter = query.find("idempotent");
        const bool idempotent =
            parameter != query.end() && parameter->second == "yes";
        reply_list(request, leafs, [&](const leaf& it) {
            return executions_json(it, idempotent);
        });
        return;
    }
    reply(request, 404, {}, "");
}

} // namespace

result<std::unique_ptr<leaf_host>> open_host(event_base& base,
                                             const clock& time,
                                             std::vector<leaf_options> leafs,
                                             const endpoint& operators)
{
    auto host = std::make_unique<leaf_host>();
    auto* self = host.get();
    for (auto& options : leafs) {
        TRY(opened, open_leaf(base, time, std::move(options)));
        host->leafs.push_back(std::move(opened));
    }
    TRY(server, open_server(base, operators, [self](evhttp_request& request) {
            handle_admin(*self, request);
        }));
    host->operators = std::move(server);
    return host;
}

} // namespace bulrushspring::fakes
