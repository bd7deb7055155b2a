#ifndef BULRUSHSPRING_LIBRARIES_HTTP_PARSER_HPP
#define BULRUSHSPRING_LIBRARIES_HTTP_PARSER_HPP

#include "libraries/http/message.hpp"

#include <cstdint>
#include <memory>
#include <string_view>

// Incremental reading of HTTP/1.1 by Boost.Beast's parser. docs/design/http.md
// says why evhttp's own parser does not do here.
namespace bulrushspring::http
{

struct size_limits {
    std::uint32_t header_bytes = 16384;
    std::uint64_t body_bytes = 262144;
};

enum class progress : std::uint8_t {
    need_more,
    done,
    bad,             // malformed, or framed in a way that can be read twice
    header_too_long, // over the limit on headers
    body_too_long,   // over the limit on bodies
};

// Reads one request.
class request_parser
{
public:
    explicit request_parser(const size_limits& limits);
    ~request_parser();
    request_parser(request_parser&&) noexcept;
    request_parser& operator=(request_parser&&) noexcept;

    // Takes bytes in; the number used is added to `used`. Bytes that are not
    // used have to be given again, with more behind them.
    progress take(std::string_view bytes, std::size_t& used);

    bool begun() const;       // any byte was used
    bool header_done() const; // all headers were read
    bool keep_alive() const;  // after it is done
    request& message();

private:
    struct implementation;
    std::unique_ptr<implementation> parser_;
};

// Reads one answer.
class response_parser
{
public:
    // An answer to HEAD has no body.
    response_parser(const size_limits& limits, bool to_head);
    ~response_parser();
    response_parser(response_parser&&) noexcept;
    response_parser& operator=(response_parser&&) noexcept;

    progress take(std::string_view bytes, std::size_t& used);
    // The connection ended in order: done only for an answer without a
    // length, which ends like this.
    progress take_end();

    bool begun() const;
    bool keep_alive() const;
    response& message();

private:
    struct implementation;
    std::unique_ptr<implementation> parser_;
};

} // namespace bulrushspring::http

#endif
