#include "fakes/platform/admin.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bulrushspring::fakes
{
namespace
{

constexpr std::string_view admin_values_path = "/admin/values/";

void reply_published(platform& fake, evhttp_request& request,
                     const result<void>& published)
{
    if (published.has_error()) {
        reply(request, 400, {}, to_string(published.error()) + "\n");
        return;
    }
    reply(request, 204, {}, "");
    answer_waiting_reads(fake);
}

void set_faults(platform& fake, evhttp_request& request)
{
    const auto query = query_of(request);
    auto& faults = fake.state.faults;
    if (const auto down = number_of(query, "down")) {
        faults.down = static_cast<outage>(std::min<std::uint64_t>(*down, 2));
    }
    if (const auto stale = number_of(query, "stale")) {
        set_stale(fake.state, *stale != 0);
    }
    if (const auto slow = number_of(query, "slow_ms")) {
        faults.slow = milliseconds{*slow};
    }
    if (const auto lag = number_of(query, "vms_lag_ms")) {
        faults.vms_lag = milliseconds{*lag};
    }
    reply(request, 204, {}, "");
    answer_waiting_reads(fake);
}

std::size_t count_watches(const platform& fake)
{
    std::size_t count = 0;
    for (const auto& read : fake.waiting) {
        count += read.watches ? 1 : 0;
    }
    return count;
}

void report_calls(const platform& fake, evhttp_request& request)
{
    const auto& state = fake.state;
    nlohmann::json report;
    std::uint64_t total = 0;
    for (std::size_t i = 0; i < key_class_names.size(); ++i) {
        report[std::string(key_class_names[i])] = state.calls[i];
        total += state.calls[i];
    }
    report["total"] = total;
    report["watching"] = count_watches(fake);
    report["most_in_a_second"] = state.max_calls_in_second;
    reply(request, 200, {}, report.dump() + "\n");
}

} // namespace

void handle_admin(platform& fake, evhttp_request& request)
{
    const auto path = path_of(request);
    const auto method = evhttp_request_get_command(&request);
    const auto now = fake.time.now();
    if (method == EVHTTP_REQ_PUT && path.rfind(admin_values_path, 0) == 0) {
        reply_published(fake, request,
                        publish(fake.state,
                                path.substr(admin_values_path.size()),
                                body_of(request), now));
        return;
    }
    if (method == EVHTTP_REQ_POST && path == "/admin/publish") {
        const auto query = query_of(request);
        const auto folder = query.find("folder");
        reply_published(
            fake, request,
            publish_folder(fake.state,
                           folder == query.end() ? "" : folder->second, now));
        return;
    }
    if (method == EVHTTP_REQ_POST && path == "/admin/faults") {
        set_faults(fake, request);
        return;
    }
    if (method == EVHTTP_REQ_GET && path == "/admin/calls") {
        report_calls(fake, request);
        return;
    }
    reply(request, 404, {}, "");
}

} // namespace bulrushspring::fakes
