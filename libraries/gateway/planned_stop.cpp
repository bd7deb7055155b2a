#include "libraries/gateway/planned_stop.hpp"

#include "libraries/gateway/events.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

// The last answers have at least this long to be sent, also if the end of a
// planned stop is noticed late.
constexpr milliseconds min_sending_time{100};

// When no caller can still cache this daemon's address.
boot_time address_expiry(const state& self)
{
    return *self.stop_requested_at +
           self.settings.entries_ttl *
               (self.settings.max_ttl_multiple + std::int64_t{1});
}

} // namespace

boot_time stop_deadline(const state& self)
{
    return *self.stop_requested_at + self.settings.stop_grace -
           self.settings.stop_reserve;
}

bool refuses_requests(const state& self, boot_time now)
{
    if (!self.stop_requested_at) {
        return false;
    }
    const duration usable = stop_deadline(self) - *self.stop_requested_at;
    const auto serving_time = std::chrono::duration_cast<duration>(
        usable * self.settings.stop_serving_share);
    return self.stopped ||
           now >= std::min(address_expiry(self),
                           *self.stop_requested_at + serving_time);
}

void finish_stop_if_due(state& self, context& context)
{
    if (!self.stop_requested_at || self.stopped) {
        return;
    }
    const bool finished =
        context.now >= address_expiry(self) && in_progress(self) == 0;
    if (!finished && context.now < stop_deadline(self)) {
        return;
    }
    self.stopped = true;
    const duration waited = context.now - *self.stop_requested_at;
    context.log(make_record(stop_done,
                            field("waited_ms", to_milliseconds(waited)),
                            field("cut", in_progress(self))));
    exchange_step exchanges{self.exchanges, self.pool, context};
    finish_all(exchanges);
    context.emit(end_process{
        std::max(self.settings.stop_grace - self.settings.exit_reserve - waited,
                 duration{min_sending_time})});
}

} // namespace bulrushspring::gateway
