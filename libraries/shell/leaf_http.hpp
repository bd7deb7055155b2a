#ifndef BULRUSHSPRING_LIBRARIES_SHELL_LEAF_HTTP_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_LEAF_HTTP_HPP

#include "libraries/reducer/leaf_message.hpp"
#include "libraries/shell/http.hpp"

#include <string>

namespace bulrushspring::shell
{

// Writes the headers and body of a work request, as docs/TARGETS.md specifies.
void write_leaf_request(evhttp_request* request, const leaf_request& work,
                        const std::string& attempt);

// Parses a leaf's answer. Fails with errc::malformed if the answer does not
// echo the attempt, or lacks the snapshot or shard number: such an answer can't
// be matched with its request.
result<leaf_answer> read_leaf_answer(evhttp_request* request,
                                     std::string_view attempt,
                                     std::string_view leaf);

// Parses a leaf's answer to a probe. Errors: malformed.
result<leaf_health> read_leaf_health(evhttp_request* request,
                                     std::string_view leaf);

} // namespace bulrushspring::shell

#endif
