#ifndef BULRUSHSPRING_LIBRARIES_REDUCER_UNUSABLE_ANSWER_HPP
#define BULRUSHSPRING_LIBRARIES_REDUCER_UNUSABLE_ANSWER_HPP

#include "base/error.hpp"

namespace bulrushspring
{

// Whether a connection to a leaf failed because of what the leaf sent: bytes
// that are no answer, or more than an answer may hold.
inline bool is_unusable_answer(const error& cause)
{
    return cause.code == errc::malformed || cause.code == errc::too_large;
}

} // namespace bulrushspring

#endif
