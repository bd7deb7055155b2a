#ifndef BULRUSHSPRING_BASE_IDENTIFIERS_HPP
#define BULRUSHSPRING_BASE_IDENTIFIERS_HPP

#include <cstdint>

namespace bulrushspring
{

// A daemon's connection to a leaf. Unique within a process, never reused.
enum class connection_id : std::uint64_t {};

// One attempt: one request sent to one leaf. Unique within a process, never
// reused; a leaf's answer is matched to its attempt by it.
enum class attempt_id : std::uint64_t {};

// A caller's request that is pending in this process.
enum class caller_token : std::uint64_t {};

// A request that another daemon sent over TCP and that has no reply yet.
enum class peer_token : std::uint64_t {};

// A request that this daemon sent to another over TCP.
enum class exchange_id : std::uint64_t {};

// The number of a daemon's incarnation, which is one run of its process. A
// restarted daemon has a higher number.
using incarnation_number = std::uint64_t;

// The number of an identifier.
template <typename Identifier>
constexpr std::uint64_t raw(Identifier value)
{
    return static_cast<std::uint64_t>(value);
}

} // namespace bulrushspring

#endif
