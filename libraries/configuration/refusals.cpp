#include "libraries/configuration/events.hpp"
#include "libraries/configuration/internal.hpp"

#include <algorithm>

namespace bulrushspring::configuration
{
namespace
{

constexpr std::size_t max_refusals = 32;
constexpr std::size_t max_version_conflicts = 16;
constexpr std::size_t max_reason_length = 500; // characters
constexpr std::uint32_t max_doublings = 10;
constexpr duration min_retry_delay = seconds{1};
constexpr duration max_retry_delay = seconds{60};

} // namespace

duration backoff(state& self, std::uint32_t failures)
{
    const auto doublings = std::min(failures, max_doublings);
    const duration max_delay =
        std::min(self.settings.max_backoff,
                 duration{self.settings.min_backoff.count() << doublings});
    const double jitter_factor = 0.5 + 0.5 * random_fraction(self.random);
    return std::chrono::duration_cast<duration>(max_delay * jitter_factor);
}

void record_refusal(state& self, const document_id& id, bool permanent,
                    const std::string& source, const std::string& reason,
                    context& context)
{
    refusal one{id, permanent, 1,
                {}, source,    reason.substr(0, max_reason_length)};
    const auto previous =
        std::find_if(self.refusals.begin(), self.refusals.end(),
                     [&](const refusal& other) { return other.id == id; });
    if (previous != self.refusals.end()) {
        one.times = previous->times + 1;
        self.refusals.erase(previous);
    }
    const auto doublings = std::min(one.times - 1, max_doublings);
    one.retry_at =
        context.now + std::min(max_retry_delay,
                               duration{min_retry_delay.count() << doublings});
    self.refusals.push_back(one);
    if (self.refusals.size() > max_refusals) {
        self.refusals.pop_front();
    }
    context.emit(add_to_counter{metrics::counter::manifests_refused});
    context.emit(write_log{
        make_record(manifest_refused, field("version", id.version),
                    field("hash", to_string(id.hash)), field("source", source),
                    field("lasting", permanent ? "yes" : "no"),
                    field("reason", one.reason))});
}

bool refused_permanently(const state& self, const content_hash& hash)
{
    return std::any_of(self.refusals.begin(), self.refusals.end(),
                       [&](const refusal& one) {
                           return one.permanent && one.id.hash == hash;
                       });
}

bool is_refused(const state& self, const content_hash& hash, boot_time now)
{
    return std::any_of(
        self.refusals.begin(), self.refusals.end(), [&](const refusal& one) {
            return one.id.hash == hash && (one.permanent || now < one.retry_at);
        });
}

void record_version_conflict(state& self, const document_id& seen,
                             context& context)
{
    const document_id& current = self.in_force.id;
    if (seen.version == 0 || seen.version != current.version ||
        seen.hash == current.hash) {
        return;
    }
    const bool current_wins = !is_newer(seen, current);
    const version_conflict one{seen.version,
                               current_wins ? current.hash : seen.hash,
                               current_wins ? seen.hash : current.hash};
    const bool known = std::any_of(
        self.version_conflicts.begin(), self.version_conflicts.end(),
        [&](const version_conflict& other) {
            return other.version == one.version && other.loser == one.loser;
        });
    if (known) {
        return;
    }
    self.version_conflicts.push_back(one);
    if (self.version_conflicts.size() > max_version_conflicts) {
        self.version_conflicts.pop_front();
    }
    context.emit(
        write_log{make_record(manifest_race, field("version", one.version),
                              field("winner", to_string(one.winner)),
                              field("loser", to_string(one.loser)))});
}

} // namespace bulrushspring::configuration
