#ifndef BULRUSHSPRING_BASE_ERROR_HPP
#define BULRUSHSPRING_BASE_ERROR_HPP

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <system_error>

namespace bulrushspring
{

// Error codes for causes that std::errc does not cover.
enum class errc {
    too_large = 1,
    truncated,
    malformed,
    unknown_key,
    missing_key,
    out_of_range,
    duplicate,
    hash_mismatch,
    not_found,
    unreachable,
    timed_out,
    closed,
    cancelled,
    version_conflict,
    version_backwards,
    overloaded,
};

const std::error_category& error_category() noexcept;
std::error_code make_error_code(errc code) noexcept;

// An error code with its context: the step that failed and the peer that
// took part in it (empty if there was none). The detail is for log lines and
// error messages.
struct error {
    std::error_code code;
    std::string step;
    std::string peer;
    std::string detail;
};

// Formats an error as one line: step, peer, message of the code, detail.
std::string to_string(const error& failure);

template <typename Value>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    Value, error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

inline auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace bulrushspring

template <>
struct std::is_error_code_enum<bulrushspring::errc> : std::true_type {
};

// TRY(name, expression) evaluates an expression of type result<T>. It returns
// the error from the enclosing function, or else declares `name` with the
// value.
//
// NOLINTNEXTLINE(readability-identifier-naming)
#define TRY(...) BOOST_OUTCOME_TRY(__VA_ARGS__)

#endif
