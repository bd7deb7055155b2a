#include "libraries/requests/grant.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace bulrushspring::requests
{
namespace
{

constexpr std::size_t number_digits = 16;
constexpr std::size_t field_length = number_digits + 1; // with its separator
constexpr std::size_t head_length = 3 * field_length;
constexpr std::size_t max_grant_length = 256;

std::string to_digits(std::uint64_t value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(number_digits, '0');
    for (auto it = text.rbegin(); it != text.rend(); ++it) {
        *it = digits[value % digits.size()];
        value /= digits.size();
    }
    return text;
}

bool is_digit(char character)
{
    return (character >= '0' && character <= '9') ||
           (character >= 'a' && character <= 'f');
}

// Whether a text begins with 16 hexadecimal digits and a dot, as a grant's tag
// does.
bool begins_with_tag(std::string_view text)
{
    return text.size() > field_length && text[number_digits] == '.' &&
           std::all_of(text.begin(), text.begin() + number_digits, is_digit);
}

std::optional<std::uint64_t> read_number(std::string_view text)
{
    if (!begins_with_tag(text)) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + number_digits, value, 16);
    return value;
}

std::string text_of(const grant_issuer& issuer, std::uint64_t expiry)
{
    const std::string rest = to_digits(expiry) + '.' +
                             to_digits(issuer.incarnation) + '.' + issuer.entry;
    return to_digits(stable_hash(rest, issuer.key)) + '.' + rest;
}

} // namespace

std::string issue_grant(const grant_issuer& issuer, boot_time now)
{
    const auto expires = (now + issuer.hold).time_since_epoch().count();
    return text_of(issuer, static_cast<std::uint64_t>(expires));
}

grant_check_result check_grant(const grant_issuer& issuer,
                               std::string_view grant, boot_time now)
{
    if (grant.empty()) {
        return {grant_check::missing, {}};
    }
    if (grant.size() <= head_length || grant.size() > max_grant_length) {
        return {grant_check::foreign, {}};
    }
    const auto expiry = read_number(grant.substr(field_length));
    if (!expiry || text_of(issuer, *expiry) != grant) {
        return {grant_check::foreign, {}};
    }
    const boot_time expires{duration{static_cast<std::int64_t>(*expiry)}};
    const bool is_expired = now >= expires;
    return {is_expired ? grant_check::expired : grant_check::valid, expires};
}

id_binding binding_of(std::string_view id, std::string_view grant)
{
    if (!begins_with_tag(id)) {
        return id_binding::unbound;
    }
    const bool same =
        begins_with_tag(grant) &&
        id.substr(0, field_length) == grant.substr(0, field_length);
    return same ? id_binding::bound : id_binding::foreign;
}

} // namespace bulrushspring::requests
