#include "libraries/http/message.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace bulrushspring::http
{
namespace
{

constexpr std::array<std::string_view, 9> hop_by_hop_headers = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
    "proxy-authorization",
};

char to_lower(char character)
{
    return static_cast<char>(
        std::tolower(static_cast<unsigned char>(character)));
}

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Whether a comma-separated list contains a token, ignoring case.
bool list_contains(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (equal_ignoring_case(trim(list.substr(0, comma)), token)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view{}
                                               : list.substr(comma + 1);
    }
    return false;
}

void append_fields(std::string& text, const fields& headers)
{
    for (const auto& each : headers) {
        text += each.name;
        text += ": ";
        text += each.value;
        text += "\r\n";
    }
}

std::uint64_t size_of(const fields& headers)
{
    std::uint64_t total = headers.size() * sizeof(field);
    for (const auto& each : headers) {
        total += each.name.size() + each.value.size();
    }
    return total;
}

// Decodes percent escapes and "+". Invalid escapes are kept as they are.
std::string percent_decode(std::string_view text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16)
                    .ptr == text.data() + i + 3) {
            plain += static_cast<char>(value);
            i += 2;
        } else {
            plain += text[i] == '+' ? ' ' : text[i];
        }
    }
    return plain;
}

} // namespace

std::uint64_t size_in_memory(const request& message)
{
    return sizeof message + message.target.size() + size_of(message.headers) +
           message.body.size();
}

std::uint64_t size_in_memory(const response& message)
{
    return sizeof message + size_of(message.headers) + message.body.size();
}

bool equal_ignoring_case(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           std::equal(
               left.begin(), left.end(), right.begin(),
               [](char a, char b) { return to_lower(a) == to_lower(b); });
}

std::string_view header_value(const fields& headers, std::string_view name)
{
    for (const auto& each : headers) {
        if (equal_ignoring_case(each.name, name)) {
            return each.value;
        }
    }
    return {};
}

std::size_t header_count(const fields& headers, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(), [&](const auto& each) {
            return equal_ignoring_case(each.name, name);
        }));
}

bool is_hop_by_hop(const fields& headers, std::string_view name)
{
    if (std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                    [&](std::string_view hop) {
                        return equal_ignoring_case(name, hop);
                    })) {
        return true;
    }
    return std::any_of(headers.begin(), headers.end(), [&](const auto& each) {
        return equal_ignoring_case(each.name, "connection") &&
               list_contains(each.value, name);
    });
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string query_parameter(std::string_view target, std::string_view name)
{
    const auto mark = target.find('?');
    if (mark == std::string_view::npos) {
        return {};
    }
    auto rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos &&
            percent_decode(pair.substr(0, equals)) == name) {
            return percent_decode(pair.substr(equals + 1));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string escaped;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' ||
            character == '.' || character == '~') {
            escaped += character;
        } else {
            escaped += '%';
            escaped += digits[byte >> 4U];
            escaped += digits[byte & 15U];
        }
    }
    return escaped;
}

std::string serialize_message(const request& message)
{
    std::string text;
    text.reserve(512 + message.body.size());
    text += message.method;
    text += ' ';
    text += message.target;
    text += " HTTP/1.1\r\n";
    append_fields(text, message.headers);
    const bool bodiless = message.method == "GET" || message.method == "HEAD" ||
                          message.method == "DELETE";
    if (!message.body.empty() || !bodiless) {
        text +=
            "Content-Length: " + std::to_string(message.body.size()) + "\r\n";
    }
    text += "\r\n";
    text += message.body;
    return text;
}

std::string serialize_message(const response& message, bool close,
                              bool head_request)
{
    std::string text;
    text.reserve(512 + message.body.size());
    text += "HTTP/1.1 " + std::to_string(message.status) + " ";
    text += message.reason.empty() ? reason_phrase(message.status)
                                   : std::string_view(message.reason);
    text += "\r\n";
    append_fields(text, message.headers);
    if (close) {
        text += "Connection: close\r\n";
    }
    const bool bodiless = message.status == 204 || message.status == 304;
    if (!bodiless) {
        text +=
            "Content-Length: " + std::to_string(message.body.size()) + "\r\n";
    }
    text += "\r\n";
    if (!bodiless && !head_request) {
        text += message.body;
    }
    return text;
}

std::string_view reason_phrase(unsigned status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace bulrushspring::http
