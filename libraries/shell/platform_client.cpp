#include "libraries/shell/platform_client.hpp"

#include <algorithm>

namespace bulrushspring::shell
{
namespace
{

constexpr int http_ok = 200;
constexpr int http_not_modified = 304;

error read_failure(const endpoint& platform, errc code, std::string detail)
{
    return error{code, "read platform", to_string(platform), std::move(detail)};
}

} // namespace

platform_client::platform_client(event_base* base, const endpoint& address,
                                 sink out)
    : base_(base), address_(address), sink_(std::move(out)),
      deferred_free_(event_new(base, -1, 0, on_free_finished, this))
{
}

void platform_client::carry_out(const read_platform& effect)
{
    auto made = std::make_unique<pending_read>();
    made->owner = this;
    made->key = effect.key;
    made->http = make_http_connection(base_, address_, max_response_body_bytes);
    const timeval limit = to_timeval(effect.wait + effect.timeout);
    evhttp_connection_set_timeout_tv(made->http.get(), &limit);
    auto* request = evhttp_request_new(on_done, made.get());
    evhttp_request_set_error_cb(request, on_error);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                      "platform");
    std::string path = "/v1/values/" + effect.key;
    if (effect.wait > duration{0}) {
        path += "?after=" + std::to_string(effect.known_revision) +
                "&wait_ms=" + std::to_string(to_milliseconds(effect.wait));
    }
    auto& added = *made;
    reads_.push_back(std::move(made));
    if (evhttp_make_request(added.http.get(), request, EVHTTP_REQ_GET,
                            path.c_str()) != 0) {
        complete(added, read_failure(address_, errc::unreachable, ""));
    }
}

void platform_client::on_error(evhttp_request_error cause, void* argument)
{
    static_cast<pending_read*>(argument)->last_error = cause;
}

result<std::optional<platform_value>>
platform_client::read_answer(evhttp_request* request,
                             const pending_read& from) const
{
    if (request == nullptr) {
        const bool late = from.last_error == EVREQ_HTTP_TIMEOUT;
        const bool large = from.last_error == EVREQ_HTTP_DATA_TOO_LONG;
        const errc code = late    ? errc::timed_out
                          : large ? errc::too_large
                                  : errc::closed;
        return read_failure(address_, code, from.key);
    }
    const int code = evhttp_request_get_response_code(request);
    if (code == 0) {
        return read_failure(address_, errc::unreachable, from.key);
    }
    if (code == http_not_modified) {
        return std::optional<platform_value>{};
    }
    if (code != http_ok) {
        return read_failure(address_, errc::not_found,
                            from.key + ": status " + std::to_string(code));
    }
    const auto revision = parse_number(header(
        evhttp_request_get_input_headers(request), "Bulrushspring-Revision"));
    if (!revision) {
        return read_failure(address_, errc::malformed,
                            from.key + ": Bulrushspring-Revision: expected a "
                                       "number");
    }
    return std::optional<platform_value>(platform_value{
        *revision,
        std::string(content_of(evhttp_request_get_input_buffer(request)))});
}

void platform_client::on_done(evhttp_request* request, void* argument)
{
    auto& from = *static_cast<pending_read*>(argument);
    from.owner->complete(from, from.owner->read_answer(request, from));
}

void platform_client::complete(pending_read& from,
                               result<std::optional<platform_value>> value)
{
    const auto found = std::find_if(
        reads_.begin(), reads_.end(),
        [&from](const auto& candidate) { return candidate.get() == &from; });
    if (found == reads_.end()) {
        return;
    }
    finished_.push_back(std::move(*found));
    reads_.erase(found);
    event_active(deferred_free_.get(), EV_TIMEOUT, 0);
    sink_.post(platform_read_finished{finished_.back()->key, std::move(value)});
}

void platform_client::on_free_finished(evutil_socket_t /*socket*/,
                                       short /*what*/, void* self)
{
    auto& client = *static_cast<platform_client*>(self);
    const auto freed = std::exchange(client.finished_, {});
}

} // namespace bulrushspring::shell
