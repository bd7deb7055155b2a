#include "libraries/gateway/reader_check.hpp"

#include "libraries/gateway/events.hpp"

#include <algorithm>

namespace bulrushspring::gateway
{
namespace
{

duration interval_of(const reader_check& self, const membership::state& members)
{
    const auto& own = membership::self_of(members).data_centre;
    const auto& live = membership::view_of(members).members;
    const auto near =
        std::count_if(live.begin(), live.end(), [&](const auto& each) {
            return each.data_centre == own;
        });
    const std::chrono::duration<double> spread{static_cast<double>(near) /
                                               self.settings.probes_per_second};
    return std::max(self.settings.shortest_interval,
                    std::chrono::duration_cast<duration>(spread));
}

void wait(reader_check& self, boot_time now)
{
    self.probing_all = false;
    self.unanswered.clear();
    self.answered = false;
    self.due = now + self.interval;
}

void probe(reader_check& self, membership::state& members,
           std::span<const std::string> readers,
           bulrushspring::context& context)
{
    for (const auto& each : membership::view_of(members).members) {
        if (std::find(readers.begin(), readers.end(), each.name) !=
            readers.end()) {
            self.unanswered.insert(
                membership::send_probe(members, each.peer, context));
        }
    }
    self.due = context.now + self.settings.probe_timeout;
}

// Ends a check in which no reader has turned out to work.
void conclude(reader_check& self, std::size_t readers,
              bulrushspring::context& context)
{
    const auto found =
        self.answered ? reader_state::without_store : reader_state::silent;
    if (self.readers != found) {
        context.emit(
            write_log{make_record(readers_lost, field("readers", readers),
                                  field("answer", self.answered ? 1 : 0))});
    }
    self.readers = found;
    wait(self, context.now);
}

} // namespace

void review_readers(reader_check& self, membership::state& members,
                    const configuration::reader_selection& selection,
                    bulrushspring::context& context)
{
    const auto now = context.now;
    if (selection.reading) {
        self.readers = reader_state::working;
        self.due = boot_time::max();
        return;
    }
    if (self.due == boot_time::max()) {
        self.interval = interval_of(self, members);
        wait(self, now);
    }
    if (now < self.due) {
        return;
    }
    const std::span readers(selection.readers);
    if (self.probing_all) {
        conclude(self, readers.size(), context);
    } else if (self.unanswered.empty() && !self.answered) {
        self.interval = interval_of(self, members);
        const auto chosen = random_below(self.random, readers.size());
        probe(self, members, readers.subspan(chosen, 1), context);
    } else {
        self.probing_all = true;
        probe(self, members, readers, context);
    }
}

void note_ack(reader_check& self, std::uint64_t sequence, bool reaches_store,
              boot_time now)
{
    if (self.unanswered.erase(sequence) == 0) {
        return;
    }
    if (reaches_store) {
        self.readers = reader_state::working;
        wait(self, now);
        return;
    }
    self.answered = true;
    if (self.unanswered.empty()) {
        self.due = now;
    }
}

} // namespace bulrushspring::gateway
