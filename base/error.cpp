#include "base/error.hpp"

namespace bulrushspring
{
namespace
{

class category final : public std::error_category
{
public:
    const char* name() const noexcept override { return "bulrushspring"; }

    std::string message(int value) const override
    {
        switch (static_cast<errc>(value)) {
        case errc::too_large:
            return "too large";
        case errc::truncated:
            return "truncated";
        case errc::malformed:
            return "malformed";
        case errc::unknown_key:
            return "unknown key";
        case errc::missing_key:
            return "missing key";
        case errc::out_of_range:
            return "out of range";
        case errc::duplicate:
            return "duplicate";
        case errc::hash_mismatch:
            return "content hash does not match";
        case errc::not_found:
            return "not found";
        case errc::unreachable:
            return "unreachable";
        case errc::timed_out:
            return "timed out";
        case errc::closed:
            return "connection closed";
        case errc::cancelled:
            return "cancelled";
        case errc::version_conflict:
            return "two contents under one version";
        case errc::version_backwards:
            return "version older than the one in force";
        case errc::overloaded:
            return "overloaded";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category& error_category() noexcept
{
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), error_category()};
}

std::string to_string(const error& failure)
{
    std::string text = failure.step;
    if (!failure.peer.empty()) {
        text += " with " + failure.peer;
    }
    text += ": " + failure.code.message();
    if (!failure.detail.empty()) {
        text += " (" + failure.detail + ")";
    }
    return text;
}

} // namespace bulrushspring
