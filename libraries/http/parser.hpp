#ifndef BULRUSHSPRING_LIBRARIES_HTTP_PARSER_HPP
#define BULRUSHSPRING_LIBRARIES_HTTP_PARSER_HPP

#include "libraries/http/message.hpp"

#include <cstdint>
#include <memory>
#include <string_view>

// Incremental HTTP/1.1 parsers, based on Boost.Beast's parser.
// docs/design/http.md explains why evhttp's parser is not suitable.
namespace bulrushspring::http
{

// Limits on the sizes of a message's headers and body, in bytes.
struct size_limits {
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 262144;
};

// The result of feeding bytes to a parser.
enum class parse_status : std::uint8_t {
    need_more,
    done,
    malformed,       // invalid, or with ambiguous framing
    header_too_long, // exceeds size_limits::header_bytes
    body_too_long,   // exceeds size_limits::body_bytes
};

// Parses a single request.
class request_parser
{
public:
    explicit request_parser(const size_limits& limits);
    ~request_parser();
    request_parser(request_parser&&) noexcept;
    request_parser& operator=(request_parser&&) noexcept;

    // Parses bytes and adds the number consumed to `used`. Bytes that were not
    // consumed must be passed again, followed by more.
    parse_status feed(std::string_view bytes, std::size_t& used);

    bool begun() const;       // at least one byte was consumed
    bool header_done() const; // all headers were parsed
    bool keep_alive() const;  // valid once the message is done
    // The memory in bytes that the message occupies, reserved bytes included.
    std::uint64_t held_bytes() const;
    request& message();

private:
    struct implementation;
    std::unique_ptr<implementation> parser_;
};

// Parses a single response.
class response_parser
{
public:
    // `head_request`: the response answers a HEAD request and has no body.
    response_parser(const size_limits& limits, bool head_request);
    ~response_parser();
    response_parser(response_parser&&) noexcept;
    response_parser& operator=(response_parser&&) noexcept;

    parse_status feed(std::string_view bytes, std::size_t& used);
    // Reports the orderly end of the connection. This completes a response
    // without a length; any other incomplete response is malformed.
    parse_status feed_eof();

    bool begun() const;
    bool keep_alive() const;
    // The memory in bytes that the message occupies, reserved bytes included.
    std::uint64_t held_bytes() const;
    response& message();

private:
    struct implementation;
    std::unique_ptr<implementation> parser_;
};

} // namespace bulrushspring::http

#endif
