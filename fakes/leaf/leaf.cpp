#include "fakes/leaf/leaf.hpp"

#include "fakes/leaf/jobs.hpp"

#include <algorithm>
#include <utility>

namespace bulrushspring::fakes
{
namespace
{

constexpr std::string_view work_path = "/v1/work/";

std::vector<client::http_header> state_headers(const leaf& fake)
{
    const bool warm = fake.time.now() >= fake.started + fake.options.cold_start;
    return {{"Bulrushspring-Draining", fake.faults.draining ? "yes" : "no"},
            {"Bulrushspring-Warm", warm ? "yes" : "no"},
            {"Bulrushspring-Queued", std::to_string(fake.queued)},
            {"Bulrushspring-Current-Snapshot",
             std::to_string(fake.options.current_snapshot)}};
}

void answer_health(leaf& fake, evhttp_request& request)
{
    const auto now = fake.time.now();
    if (now - fake.health.measured_at >= fake.options.health_lag) {
        fake.health = {now, fake.running, fake.queued, fake.faults.draining};
    }
    auto reported = fake.health;
    if (fake.faults.lying_health) {
        reported = {};
    }
    const auto load = std::to_string(reported.running + reported.queued);
    const std::string state = reported.draining ? "draining" : "ok";
    reply(request, 200, {{"Content-Type", "application/json"}},
          R"({"state":")" + state + R"(","load":)" + load + "}\n");
}

void cancel(leaf& fake, evhttp_request& request, std::string_view attempt)
{
    cancel_attempt(fake, attempt);
    reply(request, 204, state_headers(fake), "");
}

void dispatch_request(leaf& fake, evhttp_request& request)
{
    const auto path = path_of(request);
    const auto method = evhttp_request_get_command(&request);
    const bool is_work = path.rfind(work_path, 0) == 0;
    if (method == EVHTTP_REQ_GET && path == "/v1/probe") {
        ++fake.counts.probes;
        reply(request, 200, state_headers(fake), "");
        return;
    }
    if (method == EVHTTP_REQ_GET && path == "/v1/health") {
        answer_health(fake, request);
        return;
    }
    if (method == EVHTTP_REQ_DELETE && is_work) {
        cancel(fake, request, path.substr(work_path.size()));
        return;
    }
    if (method == EVHTTP_REQ_POST && is_work) {
        admit_work(fake, request, path.substr(work_path.size()));
        return;
    }
    reply(request, 404, {}, "");
}

} // namespace

void handle_request(leaf& fake, evhttp_request& request)
{
    if (auto* connection = connection_of(*fake.connections, request)) {
        connection->pending = nullptr;
    }
    dispatch_request(fake, request);
}

namespace
{

// Receives each request and applies the faults that act before it is handled:
// dropped connections, a frozen leaf and the connect cost.
void receive_request(leaf& fake, evhttp_request& request)
{
    auto* connection = connection_of(*fake.connections, request);
    if (connection == nullptr || fake.faults.dropping) {
        close_without_response(request);
        return;
    }
    connection->pending = &request;
    const auto ready = connection->opened_at + fake.options.connect_cost;
    if (fake.faults.frozen) {
        hold_request(fake, request, *connection, job_phase::frozen, {});
        return;
    }
    if (ready > fake.time.now()) {
        hold_request(fake, request, *connection, job_phase::connecting, ready);
        return;
    }
    handle_request(fake, request);
}

} // namespace

result<std::unique_ptr<leaf>> open_leaf(event_base& base, const clock& time,
                                        leaf_options options)
{
    auto fake = std::make_unique<leaf>(leaf{base, time, std::move(options)});
    auto* self = fake.get();
    self->random.seed(self->options.seed);
    self->started = time.now();
    self->connections = std::make_unique<connection_table>(
        connection_table{base, time, self->counts, self->options.connections,
                         [self](open_connection& closed) {
                             release_connection(*self, closed);
                         }});
    TRY(server, open_server(base, self->options.address,
                            [self](evhttp_request& request) {
                                receive_request(*self, request);
                            }));
    self->server = std::move(server);
    self->options.address = self->server->address;
    track_connections(*self->server->handle, *self->connections);
    return fake;
}

} // namespace bulrushspring::fakes
