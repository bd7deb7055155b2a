#ifndef BULRUSHSPRING_TESTS_HTTP_ENDLESS_ANSWERS_HPP
#define BULRUSHSPRING_TESTS_HTTP_ENDLESS_ANSWERS_HPP

#include <string>
#include <vector>

// What servers in trouble send in place of an answer: `start`, then `repeated`
// without end. The header "Id: r2" stands for the one that repeats the id of
// the request, "Id: r1" for that of another request.
namespace bulrushspring::test
{

struct endless_answer {
    const char* what;
    std::string start;
    std::string repeated;
};

inline const std::string chunked_answer =
    "HTTP/1.1 200 OK\r\nId: r2\r\nTransfer-Encoding: chunked\r\n\r\n";

inline const std::vector<endless_answer> endless_answers = {
    {"status line", "HTTP/1.1 200 ", "a"},
    {"header", "HTTP/1.1 200 OK\r\nA: ", "a"},
    {"headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"answers to another request", "",
     "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 1\r\n\r\na"},
    {"digits of a chunk size", chunked_answer, "0"},
    {"chunk extension", chunked_answer + "1;a=", "a"},
    {"extension of the last chunk", chunked_answer + "0;a=", "a"},
    {"trailers", chunked_answer + "0\r\n", "A: b\r\n"},
    {"chunks with long extensions", chunked_answer,
     "1;a=" + std::string(900, 'a') + "\r\nb\r\n"},
    {"chunks", chunked_answer, "4\r\nabcd\r\n"},
    {"body without a length", "HTTP/1.1 200 OK\r\nId: r2\r\n\r\n", "a"},
};

// A complete answer, or one that states what it does not keep to, and more.
inline const std::vector<endless_answer> overlong_answers = {
    {"body beyond its length",
     "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 1\r\n\r\n", "a"},
    {"second answers", "",
     "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 1\r\n\r\na"},
    {"length beyond the limit",
     "HTTP/1.1 200 OK\r\nId: r2\r\nContent-Length: 99999999999\r\n\r\n", "a"},
    {"bytes that are no answer", "", "a"},
};

} // namespace bulrushspring::test

#endif
