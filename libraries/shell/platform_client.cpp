#include "libraries/shell/platform_client.hpp"

#include "libraries/shell/http.hpp"

namespace bulrushspring::shell
{
namespace
{

constexpr unsigned http_ok = 200;
constexpr unsigned http_not_modified = 304;
// Values are documents of at most this size, whatever the account allows.
constexpr http::size_limits value_limits{max_header_bytes,
                                         max_response_body_bytes};

} // namespace

platform_client::platform_client(event_base* base, const endpoint& address,
                                 sink out)
    : base_(base), address_(address), sink_(std::move(out)),
      http_(base, value_limits, "",
            {[this](connection_id id) { send(*reads_.at(id)); },
             [this](connection_id id, http::response answer, bool) {
                 finish(id, read_answer(std::move(answer), *reads_.at(id)));
             },
             [this](connection_id id, const error& cause) {
                 const auto& read = *reads_.at(id);
                 const bool readable =
                     cause.code.category() == error_category();
                 const auto unread =
                     read.sent ? errc::closed : errc::unreachable;
                 finish(id,
                        failure(readable ? cause.code : make_error_code(unread),
                                read.what.key + ": " + cause.detail));
             }},
            sink_.account)
{
}

void platform_client::carry_out(const read_platform& effect)
{
    auto made = std::make_unique<pending_read>();
    made->owner = this;
    made->connection = connection_id{++last_connection_};
    made->what = effect;
    made->timeout.reset(event_new(base_, -1, 0, on_timeout, made.get()));
    const timeval limit = to_timeval(effect.wait + effect.timeout);
    event_add(made->timeout.get(), &limit);
    const auto id = made->connection;
    reads_.emplace(id, std::move(made));
    http_.open(id, address_);
}

void platform_client::send(pending_read& read)
{
    http::request message;
    message.method = "GET";
    message.headers = {{"Host", "platform"}, {"Connection", "close"}};
    message.target = "/v1/values/" + read.what.key;
    if (read.what.wait > duration{0}) {
        message.target +=
            "?after=" + std::to_string(read.what.known_revision) +
            "&wait_ms=" + std::to_string(to_milliseconds(read.what.wait));
    }
    read.sent = true;
    http_.send(read.connection, message);
}

error platform_client::failure(std::error_code code, std::string detail) const
{
    return error{code, "read platform", to_string(address_), std::move(detail)};
}

result<std::optional<platform_value>>
platform_client::read_answer(http::response answer,
                             const pending_read& from) const
{
    const auto& key = from.what.key;
    if (answer.status == http_not_modified) {
        return std::optional<platform_value>{};
    }
    if (answer.status != http_ok) {
        return failure(errc::not_found,
                       key + ": status " + std::to_string(answer.status));
    }
    const auto revision = parse_number(
        http::header_value(answer.headers, "Bulrushspring-Revision"));
    if (!revision) {
        return failure(errc::malformed,
                       key + ": Bulrushspring-Revision: expected a number");
    }
    return std::optional<platform_value>(
        platform_value{*revision, std::move(answer.body)});
}

void platform_client::on_timeout(evutil_socket_t /*socket*/, short /*what*/,
                                 void* argument)
{
    const auto& late = *static_cast<pending_read*>(argument);
    auto& client = *late.owner;
    client.finish(late.connection,
                  client.failure(errc::timed_out, late.what.key));
}

void platform_client::finish(connection_id connection,
                             result<std::optional<platform_value>> value)
{
    const auto found = reads_.find(connection);
    const auto finished = std::move(found->second);
    reads_.erase(found);
    http_.close(connection);
    sink_.post(platform_read_finished{finished->what.key, std::move(value)});
}

} // namespace bulrushspring::shell
