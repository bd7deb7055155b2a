#include "libraries/shell/leaf_client.hpp"

#include "libraries/shell/leaf_http.hpp"

namespace bulrushspring::shell
{
namespace
{

// libevent's idle timeout. It is longer than any idle time that the reducer
// allows, so that the reducer decides when to close a connection.
constexpr seconds idle_timeout{3600};

// Added to a request's deadline for the connection timeout, so that the reducer
// detects a missing answer before libevent does.
constexpr seconds answer_grace{2};
constexpr seconds cancel_timeout{1};

errc to_errc(evhttp_request_error cause)
{
    switch (cause) {
    case EVREQ_HTTP_TIMEOUT:
        return errc::timed_out;
    case EVREQ_HTTP_INVALID_HEADER:
        return errc::malformed;
    case EVREQ_HTTP_DATA_TOO_LONG:
        return errc::too_large;
    case EVREQ_HTTP_REQUEST_CANCEL:
        return errc::cancelled;
    default:
        return errc::closed;
    }
}

void set_timeout(evhttp_connection* http, duration limit)
{
    const timeval value = to_timeval(limit);
    evhttp_connection_set_timeout_tv(http, &value);
}

} // namespace

leaf_client::leaf_client(event_base* base, std::string attempt_prefix, sink out)
    : base_(base), attempt_prefix_(std::move(attempt_prefix)),
      sink_(std::move(out)),
      deferred_free_(event_new(base, -1, 0, on_free_retired, this))
{
}

leaf_client::~leaf_client()
{
    // Freeing a connection would invoke the close callback on this object.
    for (const auto& [id, each] : open_) {
        evhttp_connection_set_closecb(each->http.get(), nullptr, nullptr);
    }
}

leaf_client::connection* leaf_client::find(connection_id id)
{
    const auto found = open_.find(id);
    return found == open_.end() ? nullptr : found->second.get();
}

std::string leaf_client::attempt_name(attempt_id attempt) const
{
    return attempt_prefix_ + std::to_string(raw(attempt));
}

error leaf_client::failure(const connection& from, const char* step) const
{
    return error{to_errc(from.last_error), step, from.leaf, ""};
}

bool leaf_client::send_request(connection& to, evhttp_request* request,
                               evhttp_cmd_type method, const std::string& path,
                               duration timeout)
{
    evhttp_request_set_error_cb(request, on_error);
    set_timeout(to.http.get(), timeout);
    return evhttp_make_request(to.http.get(), request, method, path.c_str()) ==
           0;
}

void leaf_client::carry_out(const open_connection& effect)
{
    auto made = std::make_unique<connection>();
    made->owner = this;
    made->id = effect.connection;
    made->leaf = effect.leaf;
    made->http =
        make_http_connection(base_, effect.address, max_response_body_bytes);
    evhttp_connection_set_closecb(made->http.get(), on_close, made.get());
    auto& added = *made;
    open_.emplace(effect.connection, std::move(made));
    send_probe(added, effect.timeout);
}

void leaf_client::send_probe(connection& to, duration timeout)
{
    auto* request = evhttp_request_new(on_probe_done, &to);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                      "leaf");
    to.probing = true;
    if (!send_request(to, request, EVHTTP_REQ_GET, "/v1/probe", timeout)) {
        fail(to, failure(to, "probe leaf"));
    }
}

void leaf_client::carry_out(const probe_connection& effect)
{
    auto* to = find(effect.connection);
    if (to == nullptr || to->probing || raw(to->attempt) != 0) {
        return;
    }
    if (to->cancelling) {
        to->deferred_probe = effect;
        return;
    }
    send_probe(*to, effect.timeout);
}

void leaf_client::on_probe_done(evhttp_request* request, void* argument)
{
    auto& from = *static_cast<connection*>(argument);
    if (from.owner->find(from.id) != &from) {
        return;
    }
    from.probing = false;
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        from.owner->fail(from, from.owner->failure(from, "probe leaf"));
        return;
    }
    auto health = read_leaf_health(request, from.leaf);
    if (!health) {
        from.owner->sink_.reject(health.error());
        from.owner->fail(from, health.error());
        return;
    }
    set_timeout(from.http.get(), idle_timeout);
    const auto id = from.id;
    const auto post = from.owner->sink_.post;
    if (from.opened) {
        post(probe_answered{id, health.value()});
        return;
    }
    from.opened = true;
    post(connection_opened{id, health.value()});
}

void leaf_client::carry_out(const send_to_leaf& effect)
{
    auto* to = find(effect.connection);
    if (to == nullptr || to->probing || to->deferred_work ||
        raw(to->attempt) != 0) {
        sink_.post(leaf_failed{effect.connection, effect.attempt, false,
                               error{errc::closed, "send to leaf", "", ""}});
        return;
    }
    if (to->cancelling) {
        to->deferred_work = effect;
        return;
    }
    send_work(*to, effect);
}

void leaf_client::send_work(connection& to, const send_to_leaf& effect)
{
    to.attempt = effect.attempt;
    auto* request = evhttp_request_new(on_work_done, &to);
    write_leaf_request(request, effect.request, attempt_name(effect.attempt));
    if (!send_request(to, request, EVHTTP_REQ_POST,
                      "/v1/work/" + effect.request.service,
                      effect.request.time_left + answer_grace)) {
        fail(to, failure(to, "send to leaf"));
    }
}

void leaf_client::send_deferred(connection& to)
{
    if (to.deferred_work) {
        const auto effect = *std::exchange(to.deferred_work, std::nullopt);
        send_work(to, effect);
    } else if (to.deferred_probe) {
        const auto effect = *std::exchange(to.deferred_probe, std::nullopt);
        send_probe(to, effect.timeout);
    }
}

void leaf_client::on_work_done(evhttp_request* request, void* argument)
{
    auto& from = *static_cast<connection*>(argument);
    if (from.owner->find(from.id) != &from) {
        return;
    }
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        from.owner->fail(from,
                         from.owner->failure(from, "wait for leaf's answer"));
        return;
    }
    auto answer = read_leaf_answer(
        request, from.owner->attempt_name(from.attempt), from.leaf);
    if (!answer) {
        // Closes the connection, because a later answer on it could not be
        // matched with its request.
        metrics::add(*from.owner->sink_.metrics,
                     metrics::counter::unexpected_answers);
        from.owner->sink_.reject(answer.error());
        from.owner->fail(from, answer.error());
        return;
    }
    set_timeout(from.http.get(), idle_timeout);
    const auto attempt = std::exchange(from.attempt, attempt_id{});
    const auto post = from.owner->sink_.post;
    post(leaf_answered{from.id, attempt, std::move(answer).value()});
}

void leaf_client::carry_out(const cancel_at_leaf& effect)
{
    auto* to = find(effect.connection);
    if (to == nullptr || to->probing || to->cancelling ||
        raw(to->attempt) != 0) {
        return;
    }
    auto* request = evhttp_request_new(on_cancel_done, to);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                      "leaf");
    to->cancelling = true;
    if (!send_request(*to, request, EVHTTP_REQ_DELETE,
                      "/v1/work/" + attempt_name(effect.attempt),
                      cancel_timeout)) {
        fail(*to, failure(*to, "cancel at leaf"));
    }
}

void leaf_client::on_cancel_done(evhttp_request* request, void* argument)
{
    auto& from = *static_cast<connection*>(argument);
    if (from.owner->find(from.id) != &from) {
        return;
    }
    from.cancelling = false;
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        from.owner->fail(from, from.owner->failure(from, "cancel at leaf"));
        return;
    }
    set_timeout(from.http.get(), idle_timeout);
    from.owner->send_deferred(from);
}

void leaf_client::on_error(evhttp_request_error cause, void* argument)
{
    static_cast<connection*>(argument)->last_error = cause;
}

void leaf_client::on_close(evhttp_connection* /*http*/, void* argument)
{
    auto& from = *static_cast<connection*>(argument);
    if (from.owner->find(from.id) != &from) {
        return;
    }
    if (from.probing || from.cancelling || raw(from.attempt) != 0) {
        return; // the request's completion callback reports it
    }
    from.owner->fail(from, from.owner->failure(from, "keep connection"));
}

void leaf_client::fail(connection& lost, const error& cause)
{
    const auto id = lost.id;
    const auto attempt = lost.attempt;
    const auto unsent = lost.deferred_work;
    retire(id);
    if (raw(attempt) != 0) {
        sink_.post(leaf_failed{id, attempt, true, cause});
    } else if (unsent) {
        sink_.post(leaf_failed{id, unsent->attempt, false, cause});
    }
    sink_.post(connection_closed{id, cause});
}

void leaf_client::carry_out(const close_connection& effect)
{
    auto* found = find(effect.connection);
    if (found == nullptr) {
        return;
    }
    fail(*found, error{errc::cancelled, "close connection", found->leaf, ""});
}

void leaf_client::retire(connection_id id)
{
    const auto found = open_.find(id);
    evhttp_connection_set_closecb(found->second->http.get(), nullptr, nullptr);
    retired_.push_back(std::move(found->second));
    open_.erase(found);
    event_active(deferred_free_.get(), EV_TIMEOUT, 0);
}

void leaf_client::on_free_retired(evutil_socket_t /*socket*/, short /*what*/,
                                  void* self)
{
    auto& client = *static_cast<leaf_client*>(self);
    const auto freed = std::exchange(client.retired_, {});
}

} // namespace bulrushspring::shell
