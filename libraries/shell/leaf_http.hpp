#ifndef BULRUSHSPRING_LIBRARIES_SHELL_LEAF_HTTP_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_LEAF_HTTP_HPP

#include "base/error.hpp"
#include "libraries/http/message.hpp"
#include "libraries/reducer/leaf_message.hpp"

#include <string>

namespace bulrushspring::shell
{

// The header that names the attempt of a work request. The answer echoes it.
inline constexpr const char* attempt_header = "Bulrushspring-Attempt";

// The requests that docs/TARGETS.md specifies.
http::request make_work_request(const leaf_request& work,
                                const std::string& attempt);
http::request make_probe_request();
http::request make_cancel_request(const std::string& attempt);

// Parses a leaf's answer to a work request. Fails with errc::malformed if the
// answer does not echo the attempt, or lacks the snapshot or shard number: such
// an answer can't be matched with its request.
result<leaf_answer> read_leaf_answer(http::response answer,
                                     std::string_view attempt,
                                     std::string_view leaf);

// Parses a leaf's answer to a probe. Errors: malformed.
result<leaf_health> read_leaf_health(const http::response& answer,
                                     std::string_view leaf);

} // namespace bulrushspring::shell

#endif
