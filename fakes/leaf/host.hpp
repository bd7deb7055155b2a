#ifndef BULRUSHSPRING_FAKES_LEAF_HOST_HPP
#define BULRUSHSPRING_FAKES_LEAF_HOST_HPP

#include "fakes/leaf/leaf.hpp"

#include <memory>
#include <vector>

namespace bulrushspring::fakes
{

// Leafs that share a process, with an operator interface at a second address:
//   GET /admin/executions?leaf=NAME&idempotent=no|yes
//   GET /admin/counts?leaf=NAME
//   POST /admin/faults?leaf=NAME&KEY=VALUE...
// Without a leaf name, a request applies to all leafs. A host must not be moved
// after open_host, because callbacks hold its address.
struct leaf_host {
    std::vector<std::unique_ptr<leaf>> leafs;
    std::unique_ptr<http_server> operators;
};

// Opens the leafs and the operator interface. Errors: unreachable if an address
// cannot be bound.
result<std::unique_ptr<leaf_host>> open_host(event_base& base,
                                             const clock& time,
                                             std::vector<leaf_options> leafs,
                                             const endpoint& operators);

} // namespace bulrushspring::fakes

#endif
