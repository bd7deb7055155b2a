#ifndef BULRUSHSPRING_LIBRARIES_REQUESTS_GRANT_HPP
#define BULRUSHSPRING_LIBRARIES_REQUESTS_GRANT_HPP

#include "base/identifiers.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

// A grant allows its holder to send non-idempotent requests to one incarnation
// of one entry until a time on that entry's own clock. Its text is
// TAG.EXPIRY.INCARNATION.NAME, the first three of 16 hexadecimal digits each.
// The tag is a hash of the rest, keyed by the incarnation: it prevents that a
// caller makes up a valid grant by accident, but not forgery.
namespace bulrushspring::requests
{

// The identity that grants are issued under.
struct grant_issuer {
    std::string entry;
    incarnation_number incarnation = 0;
    std::uint64_t key = 0; // of the tag; random for each incarnation
    duration hold{0};      // validity of a grant
};

enum class grant_check : std::uint8_t {
    valid,
    missing,
    expired, // issued by this incarnation
    foreign, // of another entry or incarnation, or damaged
};

struct grant_check_result {
    grant_check check = grant_check::missing;
    boot_time expires; // valid if this incarnation issued it
};

std::string issue_grant(const grant_issuer& issuer, boot_time now);

grant_check_result check_grant(const grant_issuer& issuer,
                               std::string_view grant, boot_time now);

// How a request id relates to a grant. An id that begins with the tag of a
// grant and a dot is bound to that grant: no other incarnation may run it, so
// the issuing one knows of every attempt that may have run.
enum class id_binding : std::uint8_t {
    unbound, // an id of any other form
    bound,   // to this grant
    foreign, // bound to another grant
};

id_binding binding_of(std::string_view id, std::string_view grant);

} // namespace bulrushspring::requests

#endif
