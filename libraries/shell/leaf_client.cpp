#include "libraries/shell/leaf_client.hpp"

#include "libraries/shell/http.hpp"
#include "libraries/shell/leaf_http.hpp"

#include <utility>

namespace bulrushspring::shell
{
namespace
{

constexpr seconds cancel_timeout{1};

// A failure of the socket ends a connection like the leaf does, unless the
// leaf's host did not answer at all.
std::error_code connection_end(const std::error_code& cause)
{
    if (cause.category() == error_category()) {
        return cause;
    }
    return cause == std::errc::timed_out ? make_error_code(errc::timed_out)
                                         : make_error_code(errc::closed);
}

} // namespace

leaf_client::leaf_client(event_base* base, std::string attempt_prefix, sink out)
    : base_(base), attempt_prefix_(std::move(attempt_prefix)),
      sink_(std::move(out)),
      http_(base, response_limits(sink_.account), attempt_header,
            {[this](connection_id id) { http_.send(id, make_probe_request()); },
             [this](connection_id id, http::response answer, bool reusable) {
                 handle_answer(id, std::move(answer), reusable);
             },
             [this](connection_id id, const error& cause) {
                 auto& closed = *find(id);
                 fail(closed,
                      {connection_end(cause.code), "await leaf's answer",
                       closed.leaf, cause.detail});
             },
             nullptr,
             [this](connection_id) {
                 metrics::add(*sink_.metrics,
                              metrics::counter::unexpected_answers);
             }},
            sink_.account)
{
}

leaf_client::~leaf_client() = default;

leaf_client::connection* leaf_client::find(connection_id id)
{
    const auto found = open_.find(id);
    return found == open_.end() ? nullptr : found->second.get();
}

std::string leaf_client::attempt_name(attempt_id attempt) const
{
    return attempt_prefix_ + std::to_string(raw(attempt));
}

void leaf_client::carry_out(const open_connection& effect)
{
    auto made = std::make_unique<connection>();
    made->owner = this;
    made->id = effect.connection;
    made->leaf = effect.leaf;
    made->exchange = exchange_kind::probe;
    limit_time(*made, effect.timeout);
    open_.emplace(effect.connection, std::move(made));
    http_.open(effect.connection, effect.address);
}

void leaf_client::limit_time(connection& of, duration limit)
{
    if (!of.timeout) {
        of.timeout.reset(event_new(base_, -1, 0, on_timeout, &of));
    }
    const timeval value = to_timeval(limit);
    event_add(of.timeout.get(), &value);
}

void leaf_client::send_probe(connection& to, duration timeout)
{
    to.exchange = exchange_kind::probe;
    limit_time(to, timeout);
    http_.send(to.id, make_probe_request());
}

void leaf_client::carry_out(const probe_connection& effect)
{
    auto* to = find(effect.connection);
    if (to == nullptr || !to->reusable) {
        return;
    }
    if (to->exchange == exchange_kind::cancellation) {
        to->deferred_probe = effect;
    } else if (to->exchange == exchange_kind::none) {
        send_probe(*to, effect.timeout);
    }
}

void leaf_client::carry_out(const send_to_leaf& effect)
{
    auto* to = find(effect.connection);
    const bool cancelling =
        to != nullptr && to->exchange == exchange_kind::cancellation;
    if (to == nullptr || !to->reusable || to->deferred_work ||
        (to->exchange != exchange_kind::none && !cancelling)) {
        sink_.post(leaf_failed{effect.connection, effect.attempt, false,
                               error{errc::closed, "send to leaf", "", ""}});
        return;
    }
    if (cancelling) {
        to->deferred_work = effect;
        return;
    }
    send_work(*to, effect);
}

void leaf_client::send_work(connection& to, const send_to_leaf& effect)
{
    to.exchange = exchange_kind::work;
    to.attempt = effect.attempt;
    http_.send(to.id,
               make_work_request(effect.request, attempt_name(effect.attempt)),
               effect.request.idempotent);
}

void leaf_client::send_deferred(connection& to)
{
    if (to.deferred_work) {
        send_work(to, *std::exchange(to.deferred_work, std::nullopt));
    } else if (to.deferred_probe) {
        send_probe(to, std::exchange(to.deferred_probe, std::nullopt)->timeout);
    }
}

void leaf_client::carry_out(const cancel_at_leaf& effect)
{
    auto* to = find(effect.connection);
    if (to == nullptr || !to->reusable || to->exchange != exchange_kind::none) {
        return;
    }
    to->exchange = exchange_kind::cancellation;
    limit_time(*to, cancel_timeout);
    http_.send(to->id, make_cancel_request(attempt_name(effect.attempt)));
}

void leaf_client::on_timeout(evutil_socket_t /*socket*/, short /*what*/,
                             void* argument)
{
    auto& silent = *static_cast<connection*>(argument);
    silent.owner->fail(silent, errc::timed_out, "no answer in time");
}

void leaf_client::handle_answer(connection_id id, http::response answer,
                                bool reusable)
{
    auto& from = *find(id);
    from.reusable = reusable;
    event_del(from.timeout.get());
    switch (std::exchange(from.exchange, exchange_kind::none)) {
    case exchange_kind::probe:
        handle_probe_answer(from, answer);
        break;
    case exchange_kind::work:
        handle_work_answer(from, std::move(answer));
        break;
    case exchange_kind::cancellation:
        handle_cancel_answer(from);
        break;
    case exchange_kind::none:
        break;
    }
    // What was posted may have closed the connection.
    auto* left = find(id);
    if (left != nullptr && !left->reusable) {
        fail(*left, errc::closed, "closed by the leaf after its answer");
    }
}

void leaf_client::handle_probe_answer(connection& from,
                                      const http::response& answer)
{
    auto health = read_leaf_health(answer, from.leaf);
    if (!health) {
        fail(from, health.error());
        return;
    }
    if (std::exchange(from.opened, true)) {
        sink_.post(probe_answered{from.id, health.value()});
    } else {
        sink_.post(connection_opened{from.id, health.value()});
    }
}

void leaf_client::handle_work_answer(connection& from, http::response answer)
{
    const auto size = http::size_in_memory(answer);
    auto read = read_leaf_answer(std::move(answer), attempt_name(from.attempt),
                                 from.leaf);
    if (!read) {
        // Closes the connection, because a later answer on it could not be
        // matched with its request.
        from.exchange = exchange_kind::work;
        fail(from, read.error());
        return;
    }
    read.value().held = memory::charge(sink_.account, size);
    sink_.post(leaf_answered{from.id, from.attempt, std::move(read).value()});
}

void leaf_client::handle_cancel_answer(connection& from)
{
    if (from.reusable) {
        send_deferred(from);
    }
}

void leaf_client::fail(connection& failed, errc code, std::string detail)
{
    fail(failed,
         error{code, "await leaf's answer", failed.leaf, std::move(detail)});
}

void leaf_client::fail(connection& failed, const error& cause)
{
    const auto found = open_.find(failed.id);
    const auto ended = std::move(found->second);
    open_.erase(found);
    http_.close(ended->id);
    if (ended->exchange == exchange_kind::work) {
        sink_.post(leaf_failed{ended->id, ended->attempt, true, cause});
    } else if (ended->deferred_work) {
        sink_.post(leaf_failed{ended->id, ended->deferred_work->attempt, false,
                               cause});
    }
    sink_.post(connection_closed{ended->id, cause});
}

void leaf_client::carry_out(const close_connection& effect)
{
    auto* found = find(effect.connection);
    if (found != nullptr) {
        fail(*found,
             error{errc::cancelled, "close connection", found->leaf, ""});
    }
}

} // namespace bulrushspring::shell
