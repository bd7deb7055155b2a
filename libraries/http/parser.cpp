#include "libraries/http/parser.hpp"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace bulrushspring::http
{
namespace
{

namespace beast = boost::beast;

// The most that is reserved for a body before any of it has arrived. A stated
// length costs its sender nothing, so the rest is reserved as the body arrives.
constexpr std::uint64_t max_initial_body = 16384;
constexpr int min_status = 100;
constexpr int max_status = 599;

parse_status to_parse_status(const beast::error_code& code)
{
    if (code == beast::http::error::need_more) {
        return parse_status::need_more;
    }
    if (code == beast::http::error::header_limit) {
        return parse_status::header_too_long;
    }
    if (code == beast::http::error::body_limit) {
        return parse_status::body_too_long;
    }
    return parse_status::malformed;
}

std::string text_of(beast::string_view view)
{
    return {view.data(), view.size()};
}

// The memory that a string holds outside of its own object.
std::uint64_t heap_bytes(const std::string& text)
{
    constexpr std::uint64_t block_overhead = 16;
    static const auto inline_capacity = std::string().capacity();
    return text.capacity() > inline_capacity ? text.capacity() + block_overhead
                                             : 0;
}

// The part common to requests and responses: stores headers and body, and drops
// trailers.
template <bool IsRequest>
class collector : public beast::http::basic_parser<IsRequest>
{
public:
    using message_type = std::conditional_t<IsRequest, request, response>;

    explicit collector(const size_limits& limits)
    {
        this->eager(true);
        this->header_limit(limits.header_bytes);
        this->body_limit(limits.body_bytes);
    }

    parse_status feed(std::string_view bytes, std::size_t& used)
    {
        std::size_t offset = 0;
        while (!this->is_done()) {
            if (offset == bytes.size()) {
                return parse_status::need_more;
            }
            beast::error_code code;
            const auto consumed =
                this->put(boost::asio::const_buffer(bytes.data() + offset,
                                                    bytes.size() - offset),
                          code);
            offset += consumed;
            used += consumed;
            begun = begun || consumed > 0;
            if (code) {
                return to_parse_status(code);
            }
            if (consumed == 0) {
                return parse_status::need_more;
            }
        }
        return parse_status::done;
    }

    std::uint64_t held_bytes() const
    {
        return text_bytes + message.headers.capacity() * sizeof(http::field) +
               message.body.capacity();
    }

    message_type message;
    std::uint64_t text_bytes = 0; // heap memory of the header's text
    bool header_done = false;
    bool begun = false;

protected:
    void on_request_impl(beast::http::verb /*method*/,
                         beast::string_view method_text,
                         beast::string_view target, int version,
                         beast::error_code& /*code*/) override
    {
        if constexpr (IsRequest) {
            message.method = text_of(method_text);
            message.target = text_of(target);
            text_bytes += heap_bytes(message.target);
            message.http_1_0 = version < 11;
        }
    }

    void on_response_impl(int status, beast::string_view reason,
                          int /*version*/, beast::error_code& code) override
    {
        if constexpr (!IsRequest) {
            // RFC 9110, section 15: other values are invalid.
            if (status < min_status || status > max_status) {
                code = beast::http::error::bad_status;
                return;
            }
            message.status = static_cast<unsigned>(status);
            message.reason = text_of(reason);
            text_bytes += heap_bytes(message.reason);
        }
    }

    void on_field_impl(beast::http::field /*name*/,
                       beast::string_view name_text, beast::string_view value,
                       beast::error_code& /*code*/) override
    {
        if (!header_done) {
            const auto& added = message.headers.emplace_back(
                http::field{text_of(name_text), text_of(value)});
            text_bytes += heap_bytes(added.name) + heap_bytes(added.value);
        }
    }

    void on_header_impl(beast::error_code& code) override
    {
        header_done = true;
        // Only a single "chunked" transfer coding is supported; other codings
        // can't be decoded.
        const auto coding = header_value(message.headers, "transfer-encoding");
        if (!coding.empty() &&
            (!equal_ignoring_case(coding, "chunked") ||
             header_count(message.headers, "transfer-encoding") != 1)) {
            code = beast::http::error::bad_transfer_encoding;
        }
        if (header_count(message.headers, "content-length") > 1) {
            code = beast::http::error::bad_content_length;
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                           beast::error_code& /*code*/) override
    {
        if (length) {
            stated_length = *length;
            message.body.reserve(static_cast<std::size_t>(
                std::min(stated_length, max_initial_body)));
        }
    }

    std::size_t on_body_impl(beast::string_view body,
                             beast::error_code& /*code*/) override
    {
        append(body);
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/,
                              beast::string_view /*extensions*/,
                              beast::error_code& /*code*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/,
                                   beast::string_view body,
                                   beast::error_code& /*code*/) override
    {
        append(body);
        return body.size();
    }

    void on_finish_impl(beast::error_code& /*code*/) override {}

private:
    // Doubles the memory of a body that outgrows it, up to its stated length.
    void append(beast::string_view bytes)
    {
        const std::uint64_t needed = message.body.size() + bytes.size();
        if (needed > message.body.capacity()) {
            const std::uint64_t doubled = 2 * message.body.capacity();
            const auto most = std::max(stated_length, needed);
            std::string larger;
            larger.reserve(static_cast<std::size_t>(
                stated_length == 0 ? std::max(doubled, needed)
                                   : std::clamp(doubled, needed, most)));
            larger.append(message.body);
            message.body.swap(larger);
        }
        message.body.append(bytes.data(), bytes.size());
    }

    std::uint64_t stated_length = 0; // 0: not stated
};

} // namespace

struct request_parser::implementation : collector<true> {
    using collector<true>::collector;
};

request_parser::request_parser(const size_limits& limits)
    : parser_(std::make_unique<implementation>(limits))
{
}
request_parser::~request_parser() = default;
request_parser::request_parser(request_parser&&) noexcept = default;
request_parser& request_parser::operator=(request_parser&&) noexcept = default;

parse_status request_parser::feed(std::string_view bytes, std::size_t& used)
{
    return parser_->feed(bytes, used);
}

bool request_parser::begun() const
{
    return parser_->begun;
}

bool request_parser::header_done() const
{
    return parser_->header_done;
}

bool request_parser::keep_alive() const
{
    return parser_->keep_alive();
}

std::uint64_t request_parser::held_bytes() const
{
    return parser_->held_bytes();
}

request& request_parser::message()
{
    return parser_->message;
}

struct response_parser::implementation : collector<false> {
    using collector<false>::collector;
};

response_parser::response_parser(const size_limits& limits, bool head_request)
    : parser_(std::make_unique<implementation>(limits))
{
    parser_->skip(head_request);
}
response_parser::~response_parser() = default;
response_parser::response_parser(response_parser&&) noexcept = default;
response_parser&
response_parser::operator=(response_parser&&) noexcept = default;

parse_status response_parser::feed(std::string_view bytes, std::size_t& used)
{
    return parser_->feed(bytes, used);
}

parse_status response_parser::feed_eof()
{
    if (!parser_->header_done || !parser_->need_eof()) {
        return parse_status::malformed;
    }
    beast::error_code code;
    parser_->put_eof(code);
    return code ? parse_status::malformed : parse_status::done;
}

bool response_parser::begun() const
{
    return parser_->begun;
}

bool response_parser::keep_alive() const
{
    return parser_->keep_alive();
}

std::uint64_t response_parser::held_bytes() const
{
    return parser_->held_bytes();
}

response& response_parser::message()
{
    return parser_->message;
}

} // namespace bulrushspring::http
