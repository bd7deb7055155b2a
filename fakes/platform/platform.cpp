#include "fakes/platform/platform.hpp"

#include "fakes/platform/admin.hpp"

#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace bulrushspring::fakes
{
namespace
{

constexpr std::string_view values_path = "/v1/values/";

void reply_value(const platform_state& state, const waiting_read& read)
{
    const auto* found = visible_value(state, read.key);
    if (found == nullptr) {
        reply(*read.request, 404, {}, "");
        return;
    }
    const bool unchanged = read.watches && found->revision <= read.after;
    const std::vector<client::http_header> headers = {
        {"Bulrushspring-Revision", std::to_string(found->revision)}};
    reply(*read.request, unchanged ? 304 : 200, headers,
          unchanged ? std::string_view{} : std::string_view{found->content});
}

void reply_unavailable(const platform_state& state, evhttp_request& request)
{
    if (state.faults.down == outage::drops) {
        close_without_response(request);
        return;
    }
    reply(request, 503, {}, "down\n");
}

bool changed(const platform_state& state, const waiting_read& read)
{
    const auto* found = visible_value(state, read.key);
    return found != nullptr && found->revision > read.after;
}

// Brings the answer of a watch forward when its value has changed. The delay of
// slow answers still applies.
void expedite_changed_watch(platform& fake, waiting_read& read, boot_time now)
{
    if (read.watches && read.answer_at > now + fake.state.faults.slow &&
        changed(fake.state, read)) {
        read.answer_at = now + fake.state.faults.slow;
    }
}

void set_timer(platform& fake, boot_time now)
{
    std::optional<boot_time> next;
    if (fake.state.pending_vms) {
        next = fake.state.pending_vms->visible_at;
    }
    for (const auto& read : fake.waiting) {
        next = std::min(next.value_or(read.answer_at), read.answer_at);
    }
    if (!next) {
        evtimer_del(fake.timer.get());
        return;
    }
    client::arm_timer(fake.timer.get(), *next - now);
}

waiting_read make_read(platform& fake, evhttp_request& request, std::string key,
                       boot_time now)
{
    const auto query = query_of(request);
    const auto after = number_of(query, "after");
    const auto wait = number_of(query, "wait_ms");
    waiting_read read{&request, std::move(key), after.has_value(),
                      after.value_or(0), now + fake.state.faults.slow};
    if (read.watches && wait && !changed(fake.state, read)) {
        const auto max_wait_ms =
            static_cast<std::uint64_t>(max_watch_time.count());
        read.answer_at += milliseconds{std::min(*wait, max_wait_ms)};
    }
    return read;
}

void handle_read(platform& fake, evhttp_request& request)
{
    const auto path = path_of(request);
    if (path.rfind(values_path, 0) != 0 ||
        evhttp_request_get_command(&request) != EVHTTP_REQ_GET) {
        reply(request, 405, {}, "values can only be read\n");
        return;
    }
    auto key = path.substr(values_path.size());
    const auto now = fake.time.now();
    count_call(fake.state, key, now);
    if (fake.state.faults.down != outage::none) {
        reply_unavailable(fake.state, request);
        return;
    }
    if (fake.waiting.size() >= max_waiting_reads) {
        reply(request, 503, {}, "too many watches\n");
        return;
    }
    const auto read = make_read(fake, request, std::move(key), now);
    if (read.answer_at <= now) {
        reply_value(fake.state, read);
        return;
    }
    fake.waiting.push_back(read);
    set_timer(fake, now);
}

void on_timer(evutil_socket_t /*unused*/, short /*unused*/, void* argument)
{
    answer_waiting_reads(*static_cast<platform*>(argument));
}

} // namespace

void answer_waiting_reads(platform& fake)
{
    const auto now = fake.time.now();
    apply_pending_vms(fake.state, now);
    const bool down = fake.state.faults.down != outage::none;
    for (auto it = fake.waiting.begin(); it != fake.waiting.end();) {
        expedite_changed_watch(fake, *it, now);
        if (!down && it->answer_at > now) {
            ++it;
            continue;
        }
        const auto read = std::move(*it);
        it = fake.waiting.erase(it);
        if (down) {
            reply_unavailable(fake.state, *read.request);
        } else {
            reply_value(fake.state, read);
        }
    }
    set_timer(fake, now);
}

result<std::unique_ptr<platform>> open_platform(event_base& base,
                                                const clock& time,
                                                const endpoint& readers,
                                                const endpoint& operators)
{
    auto fake = std::make_unique<platform>(platform{base, time});
    auto* self = fake.get();
    fake->timer.reset(evtimer_new(&base, on_timer, self));
    TRY(reading, open_server(base, readers, [self](evhttp_request& request) {
            handle_read(*self, request);
        }));
    fake->readers = std::move(reading);
    TRY(operating,
        open_server(base, operators, [self](evhttp_request& request) {
            handle_admin(*self, request);
        }));
    fake->operators = std::move(operating);
    return fake;
}

} // namespace bulrushspring::fakes
