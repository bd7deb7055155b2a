#include "libraries/shell/caller_server.hpp"

#include "libraries/client/answer.hpp"
#include "libraries/shell/caller_render.hpp"
#include "libraries/shell/http.hpp"

#include <algorithm>

namespace bulrushspring::shell
{
namespace
{

// Limit for request ids and for the names of services and callers.
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_key_bytes = 256;
constexpr std::size_t max_grant_bytes = 256;
constexpr std::uint64_t max_deadline_ms = 600'000;
constexpr std::uint64_t max_caller_attempt = 1'000'000;
constexpr const char* json_content_type = "application/json";
constexpr http::server_limits limits{
    {max_header_bytes, max_request_body_bytes}, seconds{30}, seconds{120}};

struct route_entry {
    std::string_view prefix;
    manifest::service_kind kind;
};

constexpr std::array<route_entry, 3> routes = {{
    {"/v1/query/", manifest::service_kind::query},
    {"/v1/read/", manifest::service_kind::read},
    {"/v1/request/", manifest::service_kind::request},
}};

bool is_name(std::string_view text)
{
    const auto allowed = [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '.' ||
               character == '_' || character == '-';
    };
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), allowed);
}

error malformed(const http::request& message, std::string detail)
{
    return error{errc::malformed, "read caller's request",
                 address_text({message.peer_address, 0}), std::move(detail)};
}

// Parses the optional numeric headers; absent ones keep their defaults.
result<void> read_numeric_headers(const http::request& message,
                                  caller_request& into)
{
    const auto& headers = message.headers;
    const auto deadline =
        http::header_value(headers, "Bulrushspring-Deadline-Ms");
    if (!deadline.empty()) {
        const auto value = parse_number(deadline);
        if (!value || *value == 0 || *value > max_deadline_ms) {
            return malformed(message, "Bulrushspring-Deadline-Ms: expected a "
                                      "whole number from 1 to 600000");
        }
        into.time_left = milliseconds{*value};
    }
    const auto caller_attempt =
        http::header_value(headers, "Bulrushspring-Sending");
    if (!caller_attempt.empty()) {
        const auto value = parse_number(caller_attempt);
        if (!value || *value == 0 || *value > max_caller_attempt) {
            return malformed(message, "Bulrushspring-Sending: expected a "
                                      "whole number from 1 to 1000000");
        }
        into.caller_attempt = static_cast<std::uint32_t>(*value);
    }
    return success();
}

result<void> validate(const http::request& message,
                      const caller_request& parsed)
{
    if (!is_name(parsed.id)) {
        return malformed(message, "Bulrushspring-Request-Id: expected 1 to "
                                  "64 of A-Z a-z 0-9 . _ -");
    }
    if (!is_name(parsed.service)) {
        return malformed(message, "service: expected 1 to 64 of A-Z a-z 0-9 "
                                  ". _ -");
    }
    if (!parsed.caller.empty() && !is_name(parsed.caller)) {
        return malformed(message, "Bulrushspring-Caller: expected at most 64 "
                                  "of A-Z a-z 0-9 . _ -");
    }
    if (parsed.key.size() > max_key_bytes) {
        return malformed(message, "key: expected at most 256 bytes");
    }
    const auto control = [](unsigned char character) { return character < 32; };
    if (std::any_of(parsed.key.begin(), parsed.key.end(), control)) {
        return malformed(message, "key: expected no control characters");
    }
    if (parsed.grant.size() > max_grant_bytes) {
        return malformed(message, "Bulrushspring-Grant: expected at most 256 "
                                  "bytes");
    }
    if (parsed.kind != manifest::service_kind::query && parsed.key.empty()) {
        return malformed(message, "key: expected a value");
    }
    return success();
}

// The body of a request, charged for as long as it is in use.
struct charged_body {
    std::string text;
    memory::charge memory;
};

shared_text share_body(std::string text, memory::account* account)
{
    const auto held = std::make_shared<charged_body>();
    held->memory = memory::charge(account, text.capacity());
    held->text = std::move(text);
    return {held, &held->text};
}

// Reads everything but the body.
result<caller_request> parse_header(const http::request& message,
                                    manifest::service_kind kind,
                                    std::string_view service)
{
    const auto value = [&](std::string_view name) {
        return std::string(http::header_value(message.headers, name));
    };
    caller_request parsed;
    parsed.kind = kind;
    parsed.service = service;
    parsed.key = http::query_parameter(message.target, "key");
    parsed.id = value("Bulrushspring-Request-Id");
    parsed.grant = value("Bulrushspring-Grant");
    parsed.caller = value("Bulrushspring-Caller");
    TRY(read_numeric_headers(message, parsed));
    TRY(validate(message, parsed));
    return parsed;
}

const route_entry* find_route(const http::request& message)
{
    const auto path = http::path_of(message.target);
    const auto found =
        std::find_if(routes.begin(), routes.end(), [&](const auto& each) {
            return path.starts_with(each.prefix);
        });
    return message.method == "POST" && found != routes.end() ? &*found
                                                             : nullptr;
}

result<caller_request> parse_header(const http::request& message,
                                    const route_entry& route)
{
    return parse_header(
        message, route.kind,
        http::path_of(message.target).substr(route.prefix.size()));
}

// A refusal of a request that no leaf was sent.
caller_answer make_refusal(const char* reason, execution run)
{
    caller_answer answer;
    answer.status = answer_status::refused;
    answer.run = run;
    answer.reason = reason;
    return answer;
}

caller_answer make_memory_refusal(execution run)
{
    constexpr seconds retry_after{1};
    auto answer = make_refusal("memory", run);
    answer.retry_after = retry_after;
    return answer;
}

http::fields headers_of(const caller_answer& answer)
{
    http::fields headers = {
        {"Bulrushspring-Request-Id", answer.request_id},
        {"Bulrushspring-Run", std::string(client::to_string(answer.run))}};
    if (answer.retry_after > duration{0}) {
        const auto whole =
            std::chrono::ceil<seconds>(answer.retry_after).count();
        headers.push_back({"Retry-After", std::to_string(whole)});
    }
    return headers;
}

http::response make_response(int status, http::fields headers, std::string body)
{
    headers.push_back({"Content-Type", json_content_type});
    return {static_cast<unsigned>(status), "", std::move(headers),
            std::move(body)};
}

// Completes the server's own refusals: of invalid requests, and with 503 of
// requests that were dropped before they had arrived completely.
void complete_rejection(const http::request& arrived, http::response& response)
{
    constexpr unsigned unavailable = 503;
    caller_answer answer = make_refusal("malformed", execution::not_run);
    if (response.status == unavailable) {
        const auto* route = find_route(arrived);
        const auto parsed = route == nullptr
                                ? result<caller_request>(malformed(arrived, ""))
                                : parse_header(arrived, *route);
        answer =
            make_memory_refusal(parsed ? execution_if_not_sent(parsed.value())
                                       : execution::unknown);
    }
    response.headers = headers_of(answer);
    response.headers.push_back({"Content-Type", json_content_type});
    response.body = client::answer_json(answer);
}

// Whether memory is used up by what can't be dropped.
bool is_exhausted(const memory::account* account)
{
    return account != nullptr && account->retry_above != 0 &&
           account->reserved > account->limits.bytes;
}

} // namespace

result<std::unique_ptr<caller_server>>
caller_server::listen(event_base* base, const endpoint& address, sink out)
{
    std::unique_ptr<caller_server> made(new caller_server(std::move(out)));
    auto& owner = *made;
    http::server_events events;
    events.on_request = [&owner](caller_token token, http::request message) {
        owner.route(token, std::move(message));
    };
    events.on_disconnected = [&owner](caller_token connection) {
        owner.handle_disconnect(connection);
    };
    events.on_rejected = [&owner](unsigned status, const endpoint& peer) {
        owner.sink_.reject(error{errc::malformed, "read caller's request",
                                 to_string(peer),
                                 "status " + std::to_string(status)});
    };
    events.complete_rejection = complete_rejection;
    TRY(server, http::server::listen(base, address, std::move(events),
                                     made->sink_.account));
    made->server_ = std::move(server);
    made->server_->set_limits(limits);
    return made;
}

void caller_server::route(caller_token connection, http::request message)
{
    const std::string_view path = http::path_of(message.target);
    if (path == "/v1/addresses" && message.method == "GET") {
        auto data_centre = http::query_parameter(message.target, "data_centre");
        data_centre.resize(std::min(data_centre.size(), max_name_bytes));
        sink_.post(address_query_received{add_pending(connection, true),
                                          std::move(data_centre)});
        return;
    }
    if (const auto* found = find_route(message)) {
        auto parsed = parse_header(message, *found);
        handle_request(connection, std::move(message.body), std::move(parsed));
        return;
    }
    const auto refusal = make_refusal("unknown_path", execution::not_run);
    server_->respond(connection,
                     make_response(404, {}, client::answer_json(refusal)));
}

void caller_server::handle_request(caller_token connection, std::string body,
                                   result<caller_request> parsed)
{
    if (!parsed) {
        sink_.reject(parsed.error());
        auto refusal = make_refusal("malformed", execution::not_run);
        refusal.body = parsed.error().detail;
        answer({connection}, refusal);
        return;
    }
    auto& request = parsed.value();
    if (is_exhausted(sink_.account)) {
        auto refusal = make_memory_refusal(execution_if_not_sent(request));
        refusal.request_id = request.id;
        answer({connection}, refusal);
        return;
    }
    request.body = share_body(std::move(body), sink_.account);
    const bool repeatable = request.kind != manifest::service_kind::request;
    sink_.post(caller_request_received{add_pending(connection, repeatable),
                                       std::move(request)});
}

void caller_server::handle_disconnect(caller_token connection)
{
    const auto found = by_connection_.find(connection);
    if (found == by_connection_.end()) {
        return;
    }
    const auto token = found->second;
    take_pending(token);
    sink_.post(caller_disconnected{token});
}

caller_token caller_server::add_pending(caller_token connection,
                                        bool repeatable)
{
    const caller_token token{++last_token_};
    pending_.emplace(token, pending_request{connection, repeatable});
    by_connection_[connection] = token;
    return token;
}

std::optional<caller_server::pending_request>
caller_server::take_pending(caller_token token)
{
    const auto found = pending_.find(token);
    if (found == pending_.end()) {
        return std::nullopt;
    }
    const auto taken = found->second;
    pending_.erase(found);
    by_connection_.erase(taken.connection);
    return taken;
}

void caller_server::carry_out(const answer_caller& effect)
{
    if (const auto to = take_pending(effect.token)) {
        answer(*to, effect.answer);
    }
}

void caller_server::carry_out(const answer_addresses& effect)
{
    if (const auto to = take_pending(effect.token)) {
        server_->respond(
            to->connection,
            make_response(effect.answer.entries.empty() ? 503 : 200, {},
                          to_json(effect.answer)));
    }
}

void caller_server::answer(const pending_request& to,
                           const caller_answer& answer)
{
    server_->respond(to.connection,
                     make_response(http_status(answer), headers_of(answer),
                                   client::answer_json(answer)),
                     to.repeatable);
}

void caller_server::finish(std::function<void()> finished)
{
    server_->finish(std::move(finished));
}

void caller_server::list_candidates(std::vector<memory::candidate>& all,
                                    std::uint32_t holder, boot_time now) const
{
    server_->list_candidates(all, holder, now);
}

void caller_server::drop(const memory::candidate& what, bool silently)
{
    silently ? server_->close(what) : server_->drop(what);
}

} // namespace bulrushspring::shell
