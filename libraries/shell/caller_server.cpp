#include "libraries/shell/caller_server.hpp"

#include "libraries/client/answer.hpp"
#include "libraries/shell/caller_render.hpp"

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

error malformed(evhttp_request* request, std::string detail)
{
    char* address = nullptr;
    ev_uint16_t port = 0;
    auto* connection = evhttp_request_get_connection(request);
    if (connection != nullptr) {
        evhttp_connection_get_peer(connection, &address, &port);
    }
    std::string peer = address == nullptr ? "" : address;
    return error{errc::malformed, "read caller's request", std::move(peer),
                 std::move(detail)};
}

// Parses the optional numeric headers; absent ones keep their defaults.
result<void> read_numeric_headers(evhttp_request* request, caller_request& into)
{
    auto* headers = evhttp_request_get_input_headers(request);
    const auto deadline = header(headers, "Bulrushspring-Deadline-Ms");
    if (!deadline.empty()) {
        const auto value = parse_number(deadline);
        if (!value || *value == 0 || *value > max_deadline_ms) {
            return malformed(request, "Bulrushspring-Deadline-Ms: expected a "
                                      "whole number from 1 to 600000");
        }
        into.time_left = milliseconds{*value};
    }
    const auto caller_attempt = header(headers, "Bulrushspring-Sending");
    if (!caller_attempt.empty()) {
        const auto value = parse_number(caller_attempt);
        if (!value || *value == 0 || *value > max_caller_attempt) {
            return malformed(request, "Bulrushspring-Sending: expected a "
                                      "whole number from 1 to 1000000");
        }
        into.caller_attempt = static_cast<std::uint32_t>(*value);
    }
    return success();
}

result<void> validate(evhttp_request* request, const caller_request& parsed)
{
    if (!is_name(parsed.id)) {
        return malformed(request, "Bulrushspring-Request-Id: expected 1 to "
                                  "64 of A-Z a-z 0-9 . _ -");
    }
    if (!is_name(parsed.service)) {
        return malformed(request, "service: expected 1 to 64 of A-Z a-z 0-9 "
                                  ". _ -");
    }
    if (!parsed.caller.empty() && !is_name(parsed.caller)) {
        return malformed(request, "Bulrushspring-Caller: expected at most 64 "
                                  "of A-Z a-z 0-9 . _ -");
    }
    if (parsed.key.size() > max_key_bytes) {
        return malformed(request, "key: expected at most 256 bytes");
    }
    const auto control = [](unsigned char character) { return character < 32; };
    if (std::any_of(parsed.key.begin(), parsed.key.end(), control)) {
        return malformed(request, "key: expected no control characters");
    }
    if (parsed.grant.size() > max_grant_bytes) {
        return malformed(request, "Bulrushspring-Grant: expected at most 256 "
                                  "bytes");
    }
    if (parsed.kind != manifest::service_kind::query && parsed.key.empty()) {
        return malformed(request, "key: expected a value");
    }
    return success();
}

result<caller_request> parse_request(evhttp_request* request,
                                     manifest::service_kind kind,
                                     std::string_view service)
{
    auto* headers = evhttp_request_get_input_headers(request);
    caller_request parsed;
    parsed.kind = kind;
    parsed.service = service;
    parsed.key = query_parameter(request, "key");
    parsed.id = header(headers, "Bulrushspring-Request-Id");
    parsed.grant = header(headers, "Bulrushspring-Grant");
    parsed.caller = header(headers, "Bulrushspring-Caller");
    TRY(read_numeric_headers(request, parsed));
    TRY(validate(request, parsed));
    parsed.body = std::make_shared<const std::string>(
        content_of(evhttp_request_get_input_buffer(request)));
    return parsed;
}

void add_header(evhttp_request* request, const char* name,
                const std::string& value)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), name,
                      value.c_str());
}

void add_retry_after(evhttp_request* request, duration retry_after)
{
    if (retry_after <= duration{0}) {
        return;
    }
    const auto whole_seconds = std::chrono::ceil<seconds>(retry_after).count();
    add_header(request, "Retry-After", std::to_string(whole_seconds));
}

void reply_malformed(evhttp_request* request, const error& cause)
{
    caller_answer answer;
    answer.status = answer_status::refused;
    answer.run = execution::not_run;
    answer.reason = "malformed";
    answer.body = cause.detail;
    add_header(request, "Bulrushspring-Run", "not_run");
    reply(request, http_status(answer), json_content_type,
          client::answer_json(answer));
}

} // namespace

caller_server::caller_server(event_base* base, sink out, http_handle server)
    : sink_(std::move(out)), server_(std::move(server)),
      deferred_finish_(event_new(base, -1, 0, on_finish, this))
{
    evhttp_set_gencb(server_.get(), on_request, this);
}

caller_server::~caller_server()
{
    // Freeing the server closes its connections, which would otherwise invoke
    // the close callback on this object.
    for (const auto& [connection, token] : connections_) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
    for (auto* connection : sending_) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
}

result<std::unique_ptr<caller_server>>
caller_server::listen(event_base* base, const endpoint& address, sink out)
{
    TRY(server, listen_http(base, address, max_request_body_bytes));
    return std::unique_ptr<caller_server>(
        new caller_server(base, std::move(out), std::move(server)));
}

void caller_server::on_request(evhttp_request* request, void* self)
{
    static_cast<caller_server*>(self)->route(request);
}

void caller_server::route(evhttp_request* request)
{
    const std::string_view path = path_of(request);
    const auto method = evhttp_request_get_command(request);
    if (path == "/v1/addresses" && method == EVHTTP_REQ_GET) {
        auto data_centre = query_parameter(request, "data_centre");
        data_centre.resize(std::min(data_centre.size(), max_name_bytes));
        sink_.post(address_query_received{register_request(request),
                                          std::move(data_centre)});
        return;
    }
    for (const auto& candidate : routes) {
        if (path.starts_with(candidate.prefix) && method == EVHTTP_REQ_POST) {
            handle_request(request, candidate.kind,
                           path.substr(candidate.prefix.size()));
            return;
        }
    }
    caller_answer answer;
    answer.status = answer_status::refused;
    answer.run = execution::not_run;
    answer.reason = "unknown_path";
    reply(request, 404, json_content_type, client::answer_json(answer));
}

void caller_server::handle_request(evhttp_request* request,
                                   manifest::service_kind kind,
                                   std::string_view service)
{
    auto parsed = parse_request(request, kind, service);
    if (!parsed) {
        sink_.reject(parsed.error());
        reply_malformed(request, parsed.error());
        return;
    }
    sink_.post(caller_request_received{register_request(request),
                                       std::move(parsed).value()});
}

caller_token caller_server::register_request(evhttp_request* request)
{
    const auto token = static_cast<caller_token>(++last_token_);
    pending_.emplace(token, request);
    auto* connection = evhttp_request_get_connection(request);
    connections_[connection] = token;
    evhttp_connection_set_closecb(connection, on_close, this);
    return token;
}

void caller_server::on_close(evhttp_connection* connection, void* self)
{
    auto* server = static_cast<caller_server*>(self);
    if (server->sending_.erase(connection) > 0) {
        server->report_if_finished();
        return;
    }
    const auto found = server->connections_.find(connection);
    if (found == server->connections_.end()) {
        return;
    }
    const caller_token token = found->second;
    server->connections_.erase(found);
    // evhttp leaves the request object to this server until it is answered;
    // a reply to a closed connection only frees it.
    server->sink_.post(caller_disconnected{token});
}

evhttp_request* caller_server::release_request(caller_token token)
{
    const auto found = pending_.find(token);
    if (found == pending_.end()) {
        return nullptr;
    }
    auto* request = found->second;
    pending_.erase(found);
    auto* connection = evhttp_request_get_connection(request);
    if (connection != nullptr) {
        connections_.erase(connection);
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
    if (closing_ && connection != nullptr) {
        add_header(request, "Connection", "close");
    }
    return request;
}

void caller_server::carry_out(const answer_caller& effect)
{
    auto* request = release_request(effect.token);
    if (request == nullptr) {
        return;
    }
    add_header(request, "Bulrushspring-Request-Id", effect.answer.request_id);
    add_header(request, "Bulrushspring-Run",
               std::string(client::to_string(effect.answer.run)));
    add_retry_after(request, effect.answer.retry_after);
    send(request, http_status(effect.answer),
         client::answer_json(effect.answer));
}

void caller_server::carry_out(const answer_addresses& effect)
{
    auto* request = release_request(effect.token);
    if (request == nullptr) {
        return;
    }
    const int status = effect.answer.entries.empty() ? 503 : 200;
    send(request, status, to_json(effect.answer));
}

void caller_server::send(evhttp_request* request, int status,
                         std::string_view body)
{
    auto* connection = evhttp_request_get_connection(request);
    if (connection != nullptr) {
        sending_.insert(connection);
        evhttp_request_set_on_complete_cb(request, on_sent, this);
        evhttp_connection_set_closecb(connection, on_close, this);
    }
    reply(request, status, json_content_type, body);
}

void caller_server::on_sent(evhttp_request* request, void* self)
{
    auto& server = *static_cast<caller_server*>(self);
    auto* connection = evhttp_request_get_connection(request);
    server.sending_.erase(connection);
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    server.report_if_finished();
}

void caller_server::finish(std::function<void()> finished)
{
    finished_ = std::move(finished);
    closing_ = true;
    // Requests that have arrived by now are read before the timeout is handled.
    const timeval at_once{};
    event_add(deferred_finish_.get(), &at_once);
}

void caller_server::on_finish(evutil_socket_t /*socket*/, short /*what*/,
                              void* self)
{
    auto& server = *static_cast<caller_server*>(self);
    server.finishing_ = true;
    server.report_if_finished();
}

void caller_server::report_if_finished()
{
    if (finishing_ && finished_ && pending_.empty() && sending_.empty()) {
        std::exchange(finished_, nullptr)();
    }
}

} // namespace bulrushspring::shell
