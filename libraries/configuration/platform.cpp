#include "libraries/configuration/events.hpp"
#include "libraries/configuration/internal.hpp"

#include <algorithm>

namespace bulrushspring::configuration
{
namespace
{

constexpr duration selection_interval = seconds{1};
// The interval between two reads of a key that the platform does not have.
constexpr duration absent_key_retry_interval = seconds{1};
// Added to the timeout of a call, after which its answer counts as lost.
constexpr duration reply_grace_period = seconds{5};

std::string join_names(const std::vector<std::string>& names)
{
    std::string text;
    for (const auto& name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return text;
}

// Delays the first calls of a new reader at random. The range of the delay is
// proportional to the fraction of the fleet that are readers.
void delay_first_calls(state& self, boot_time now)
{
    const double reader_fraction =
        static_cast<double>(self.selection.readers_seen) /
        static_cast<double>(self.selection.members_seen);
    const auto delay = std::chrono::duration_cast<duration>(
        self.settings.max_first_call_delay * reader_fraction *
        random_fraction(self.random));
    for (auto* watch : {&self.manifest_watch, &self.vms_watch}) {
        watch->next_call_at = std::max(watch->next_call_at, now + delay);
    }
}

void update_reader_selection(state& self, const peers& fleet, context& context)
{
    auto selection =
        select_readers(fleet, self.settings.readers_per_data_centre);
    const bool became_reader = selection.reading && !self.selection.reading;
    const bool changed = became_reader ||
                         selection.reading != self.selection.reading ||
                         selection.readers != self.selection.readers;
    self.selection = std::move(selection);
    self.call_limiter.per_second = fair_call_rate(
        self.settings.fleet_calls_per_second, self.fleet_size, self.selection);
    self.next_selection_at = context.now + selection_interval;
    if (became_reader) {
        delay_first_calls(self, context.now);
    }
    if (changed) {
        context.emit(write_log{
            make_record(readers_changed,
                        field("reading", self.selection.reading ? "yes" : "no"),
                        field("readers", join_names(self.selection.readers)))});
    }
}

void continue_watch(state& self, platform_watch& watch,
                    duration reread_interval, context& context)
{
    if (watch.outstanding && context.now >= watch.expires) {
        watch.outstanding = false;
        record_platform_failure(
            self, watch,
            {errc::timed_out, "watch the platform", "platform", ""}, context);
    }
    if (watch.outstanding || context.now < watch.next_call_at) {
        return;
    }
    const bool unconditional = context.now >= watch.unconditional_read_at;
    const std::uint64_t known_revision = unconditional ? 0 : watch.revision;
    const duration wait =
        known_revision == 0
            ? duration{0}
            : std::min(self.settings.watch_timeout,
                       duration{watch.unconditional_read_at - context.now});
    if (!call_platform(self, watch.key, known_revision, wait, context)) {
        watch.next_call_at = next_call_time(self.call_limiter);
        return;
    }
    if (unconditional) {
        watch.unconditional_read_at = context.now + reread_interval;
    }
    watch.outstanding = true;
    watch.expires = context.now + wait + self.settings.platform_timeout +
                    reply_grace_period;
}

// Whether the platform's manifest is the one in force.
bool matches_manifest_in_force(const state& self, const std::string& content)
{
    return self.in_force.accepted != nullptr &&
           hash_content(content) == self.in_force.id.hash;
}

void handle_value(state& self, platform_watch& watch,
                  const platform_value& value, context& context)
{
    watch.revision = value.revision;
    watch.next_call_at = context.now;
    if (watch.key == "vms") {
        handle_platform_vms(self, value, context);
        return;
    }
    if (self.check && matches_manifest_in_force(self, value.content)) {
        self.check->platform_answered = true;
    }
    consider_platform_manifest(self, value.content, context);
}

} // namespace

bool call_platform(state& self, const std::string& key,
                   std::uint64_t known_revision, duration wait,
                   context& context)
{
    if (!try_take_call(self.call_limiter, context.now)) {
        return false;
    }
    context.emit(add_to_counter{metrics::counter::platform_reads});
    context.emit(read_platform{key, known_revision, wait,
                               wait + self.settings.platform_timeout});
    return true;
}

void record_platform_failure(state& self, platform_watch& watch,
                             const error& cause, context& context)
{
    const duration wait = backoff(self, watch.failures);
    ++watch.failures;
    watch.next_call_at = context.now + wait;
    // The platform may have been rebuilt by the time it answers again.
    watch.unconditional_read_at = context.now;
    context.emit(add_to_counter{metrics::counter::platform_failures});
    context.emit(write_log{make_record(platform_failed, field("key", watch.key),
                                       field("failures", watch.failures),
                                       field("retry_ms", to_milliseconds(wait)),
                                       field("cause", to_string(cause)))});
}

void continue_watches(state& self, const peers& fleet, context& context)
{
    if (context.now >= self.next_selection_at) {
        update_reader_selection(self, fleet, context);
    }
    if (!self.selection.reading) {
        return;
    }
    continue_watch(self, self.manifest_watch,
                   self.settings.manifest_reread_interval, context);
    // The list of VMs is not used without a manifest. At the start, the calls
    // that the rate limit allows are left to the manifest and its sections.
    if (self.in_force.accepted) {
        continue_watch(self, self.vms_watch, self.settings.vms_reread_interval,
                       context);
    }
}

void handle_watch_answer(state& self, platform_watch& watch,
                         const platform_read_finished& event, context& context)
{
    watch.outstanding = false;
    if (!event.value) {
        record_platform_failure(self, watch, event.value.error(), context);
        return;
    }
    self.platform_has_answered = true;
    self.platform_answered_at = context.now;
    if (watch.failures > 0) {
        context.emit(
            write_log{make_record(platform_returned, field("key", watch.key),
                                  field("failures", watch.failures))});
        watch.failures = 0;
    }
    if (event.value.value()) {
        handle_value(self, watch, *event.value.value(), context);
        return;
    }
    watch.next_call_at =
        context.now +
        (watch.revision == 0 ? absent_key_retry_interval : duration{0});
}

} // namespace bulrushspring::configuration
