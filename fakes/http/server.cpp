#include "fakes/http/server.hpp"

#include <event2/keyvalq_struct.h>

#include <arpa/inet.h>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <sys/socket.h>
#include <utility>

namespace bulrushspring::fakes
{
namespace
{

void on_request(evhttp_request* request, void* argument)
{
    static_cast<http_server*>(argument)->handler(*request);
}

endpoint bound_address(evhttp_bound_socket& socket)
{
    sockaddr_in name{};
    socklen_t size = sizeof name;
    getsockname(evhttp_bound_socket_get_fd(&socket),
                reinterpret_cast<sockaddr*>(&name), &size);
    return {ntohl(name.sin_addr.s_addr), ntohs(name.sin_port)};
}

std::string uri_decoded(const char* text)
{
    std::size_t size = 0;
    char* plain = evhttp_uridecode(text, 0, &size);
    if (plain == nullptr) {
        return {};
    }
    std::string value(plain, size);
    std::free(plain); // libevent allocates it with malloc
    return value;
}

} // namespace

result<std::unique_ptr<http_server>>
open_server(event_base& base, const endpoint& address, request_handler handler)
{
    auto server = std::make_unique<http_server>();
    server->handle.reset(evhttp_new(&base));
    server->handler = std::move(handler);
    auto* handle = server->handle.get();
    evhttp_set_max_headers_size(handle, client::max_header_bytes);
    evhttp_set_max_body_size(handle, max_request_bytes);
    evhttp_set_allowed_methods(handle, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                           EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_default_content_type(handle, nullptr);
    evhttp_set_gencb(handle, on_request, server.get());
    auto* socket = evhttp_bind_socket_with_handle(
        handle, address_text(address).c_str(), address.port);
    if (socket == nullptr) {
        return error{errc::unreachable, "listen", to_string(address), ""};
    }
    server->address = bound_address(*socket);
    return server;
}

std::string path_of(evhttp_request& request)
{
    const auto* uri = evhttp_request_get_evhttp_uri(&request);
    const auto* path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
    return path == nullptr ? std::string{} : uri_decoded(path);
}

query_values query_of(evhttp_request& request)
{
    query_values values;
    const auto* uri = evhttp_request_get_evhttp_uri(&request);
    const auto* query = uri == nullptr ? nullptr : evhttp_uri_get_query(uri);
    evkeyvalq parsed{};
    if (query == nullptr || evhttp_parse_query_str(query, &parsed) != 0) {
        return values;
    }
    for (const auto* it = parsed.tqh_first; it != nullptr;
         it = it->next.tqe_next) {
        values[it->key] = it->value;
    }
    evhttp_clear_headers(&parsed);
    return values;
}

std::string header_of(evhttp_request& request, const char* name)
{
    const auto* value =
        evhttp_find_header(evhttp_request_get_input_headers(&request), name);
    return value == nullptr ? std::string{} : std::string{value};
}

std::string body_of(evhttp_request& request)
{
    evbuffer* buffer = evhttp_request_get_input_buffer(&request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_copyout(buffer, body.data(), body.size());
    return body;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, value);
    if (read.ec != std::errc{} || read.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::uint64_t> number_of(const query_values& values,
                                       std::string_view name)
{
    const auto found = values.find(name);
    if (found == values.end()) {
        return std::nullopt;
    }
    return parse_number(found->second);
}

void reply(evhttp_request& request, int status,
           const std::vector<client::http_header>& headers,
           std::string_view body)
{
    auto* outgoing = evhttp_request_get_output_headers(&request);
    for (const auto& header : headers) {
        evhttp_add_header(outgoing, header.name.c_str(), header.value.c_str());
    }
    const client::evbuffer_pointer buffer(evbuffer_new());
    evbuffer_add(buffer.get(), body.data(), body.size());
    evhttp_send_reply(&request, status, nullptr, buffer.get());
}

void close_without_response(evhttp_request& request)
{
    evhttp_connection_free(evhttp_request_get_connection(&request));
}

result<void> write_file(const std::string& path, std::string_view content)
{
    const std::string temporary = path + ".part";
    {
        std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
        file << content;
        if (!file.flush()) {
            return error{errc::unreachable, "write file", path, ""};
        }
    }
    if (std::rename(temporary.c_str(), path.c_str()) != 0) {
        return error{errc::unreachable, "write file", path, "rename failed"};
    }
    return success();
}

result<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return error{errc::not_found, "read file", path, ""};
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

} // namespace bulrushspring::fakes
