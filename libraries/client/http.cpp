#include "libraries/client/http.hpp"

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <utility>

namespace bulrushspring::client
{
namespace
{

bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    const auto to_lower = [](unsigned char character) {
        return std::tolower(character);
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](unsigned char a, unsigned char b) {
                          return to_lower(a) == to_lower(b);
                      });
}

evhttp_cmd_type command_of(http_method method)
{
    switch (method) {
    case http_method::get:
        return EVHTTP_REQ_GET;
    case http_method::post:
        return EVHTTP_REQ_POST;
    case http_method::put:
        return EVHTTP_REQ_PUT;
    case http_method::remove:
        return EVHTTP_REQ_DELETE;
    }
    return EVHTTP_REQ_GET;
}

http_response response_of(evhttp_request& answer)
{
    http_response response;
    response.status = evhttp_request_get_response_code(&answer);
    const auto* headers = evhttp_request_get_input_headers(&answer);
    for (const auto* it = headers->tqh_first; it != nullptr;
         it = it->next.tqe_next) {
        response.headers.push_back({it->key, it->value});
    }
    evbuffer* body = evhttp_request_get_input_buffer(&answer);
    response.body.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, response.body.data(), response.body.size());
    return response;
}

error exchange_error(const http_connection& connection, errc code,
                     std::string detail)
{
    return {code, "exchange over HTTP", to_string(connection.to),
            std::move(detail)};
}

void finish(http_connection& connection, result<http_response> response)
{
    if (!connection.done) {
        return;
    }
    evtimer_del(connection.timer.get());
    const auto done = std::exchange(connection.done, nullptr);
    done({std::move(response), connection.sent});
}

void on_answer(evhttp_request* answer, void* argument)
{
    auto& connection = *static_cast<http_connection*>(argument);
    if (answer != nullptr && evhttp_request_get_response_code(answer) != 0) {
        finish(connection, response_of(*answer));
        return;
    }
    const auto code = connection.sent ? errc::closed : errc::unreachable;
    finish(connection, exchange_error(connection, code, ""));
}

void on_time_limit(evutil_socket_t /*unused*/, short /*unused*/, void* argument)
{
    auto& connection = *static_cast<http_connection*>(argument);
    connection.handle.reset();
    finish(connection, exchange_error(connection, errc::timed_out, ""));
}

// Called when bytes are added to or removed from the output buffer. Removed
// bytes were written to the socket.
void on_output(evbuffer* /*unused*/, const evbuffer_cb_info* change,
               void* argument)
{
    if (change->n_deleted > 0) {
        static_cast<http_connection*>(argument)->sent = true;
    }
}

void make_handle(http_connection& connection)
{
    connection.handle.reset(evhttp_connection_base_new(
        &connection.base, nullptr, address_text(connection.to).c_str(),
        connection.to.port));
    auto* handle = connection.handle.get();
    evhttp_connection_set_retries(handle, 0);
    evhttp_connection_set_max_headers_size(handle, max_header_bytes);
    evhttp_connection_set_max_body_size(handle, max_answer_bytes);
    auto* buffered = evhttp_connection_get_bufferevent(handle);
    evbuffer_add_cb(bufferevent_get_output(buffered), on_output, &connection);
}

} // namespace

void ignore_broken_pipes()
{
    std::signal(SIGPIPE, SIG_IGN);
}

std::string_view header_of(const http_response& response, std::string_view name)
{
    const auto found =
        std::find_if(response.headers.begin(), response.headers.end(),
                     [&](const http_header& it) {
                         return equal_ignoring_case(it.name, name);
                     });
    return found == response.headers.end() ? std::string_view{}
                                           : std::string_view{found->value};
}

std::string uri_encoded(std::string_view text)
{
    char* encoded =
        evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0);
    std::string value(encoded);
    std::free(encoded); // libevent allocates it with malloc
    return value;
}

http_connection::http_connection(event_base& loop, endpoint peer)
    : base(loop), to(peer), timer(evtimer_new(&loop, on_time_limit, this))
{
}

void start_exchange(http_connection& connection, const http_request& request,
                    duration timeout, exchange_done done)
{
    if (!connection.handle) {
        make_handle(connection);
    }
    connection.sent = false;
    connection.done = std::move(done);
    auto* outgoing = evhttp_request_new(on_answer, &connection);
    auto* headers = evhttp_request_get_output_headers(outgoing);
    evhttp_add_header(headers, "Host", to_string(connection.to).c_str());
    for (const auto& header : request.headers) {
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(outgoing),
                 request.body.data(), request.body.size());
    arm_timer(connection.timer.get(), timeout);
    if (evhttp_make_request(connection.handle.get(), outgoing,
                            command_of(request.method),
                            request.target.c_str()) != 0) {
        connection.handle.reset();
        finish(connection, exchange_error(connection, errc::unreachable,
                                          "could not start the request"));
    }
}

exchange_result exchange(const endpoint& to, const http_request& request,
                         duration timeout)
{
    const auto base = make_event_base();
    http_connection connection(*base, to);
    exchange_result ended{
        error{errc::closed, "exchange over HTTP", to_string(to), ""}, false};
    start_exchange(connection, request, timeout, [&](exchange_result end) {
        ended = std::move(end);
        event_base_loopbreak(base.get());
    });
    event_base_dispatch(base.get());
    return ended;
}

} // namespace bulrushspring::client
