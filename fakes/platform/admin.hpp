#ifndef BULRUSHSPRING_FAKES_PLATFORM_ADMIN_HPP
#define BULRUSHSPRING_FAKES_PLATFORM_ADMIN_HPP

#include "fakes/platform/platform.hpp"

namespace bulrushspring::fakes
{

// Handles a request to the operator interface, which demos and tests use:
//   PUT /admin/values/KEY           publishes the body under the key
//   POST /admin/publish?folder=PATH publishes a folder in one step
//   POST /admin/faults?down=0|1|2&stale=0|1&slow_ms=N&vms_lag_ms=N
//   GET /admin/calls                numbers of read requests, as JSON
void handle_admin(platform& fake, evhttp_request& request);

} // namespace bulrushspring::fakes

#endif
