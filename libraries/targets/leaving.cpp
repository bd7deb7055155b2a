#include "libraries/targets/leaving.hpp"

#include "libraries/targets/connections.hpp"
#include "libraries/targets/events.hpp"

namespace bulrushspring::targets
{
namespace
{

std::string_view source_name(leaving_source source)
{
    switch (source) {
    case leaving_source::manifest:
        return "manifest";
    case leaving_source::vms:
        return "vms";
    case leaving_source::leaf:
        return "leaf";
    case leaving_source::peer:
        return "peer";
    }
    return "unknown";
}

bool& flag_of(leaving_evidence& evidence, leaving_source source)
{
    switch (source) {
    case leaving_source::manifest:
        return evidence.manifest;
    case leaving_source::vms:
        return evidence.vms;
    case leaving_source::leaf:
        return evidence.leaf;
    case leaving_source::peer:
        break;
    }
    return evidence.peer;
}

void restart_warm_up(leaf_state& leaf, boot_time now)
{
    leaf.warm_up_started_at = now;
    limits::reset(leaf.limit);
}

void mark_returned(state& self, leaf_index index, std::string_view evidence,
                   context& context)
{
    auto& leaf = leaf_at(self, index);
    if (leaf.leaving.any()) {
        return;
    }
    restart_warm_up(leaf, context.now);
    context.emit(write_log{make_record(leaf_returned, field("leaf", leaf.name),
                                       field("evidence", evidence))});
    queue_connection(self, index, context.now);
    open_queued_connections(self, context);
}

} // namespace

void mark_leaving(state& self, leaf_index index, leaving_source source,
                  context& context)
{
    auto& leaf = leaf_at(self, index);
    leaf.leaving.last_reported = context.now;
    bool& flag = flag_of(leaf.leaving, source);
    if (flag) {
        return;
    }
    flag = true;
    context.emit(
        write_log{make_record(leaf_now_leaving, field("leaf", leaf.name),
                              field("source", source_name(source)))});
    if (source == leaving_source::leaf) {
        context.emit(raise_event{leaf_leaving{leaf.name, "leaf"}});
    }
    close_surplus(self, index, context);
}

void clear_leaving(state& self, leaf_index index, leaving_source source,
                   context& context)
{
    auto& evidence = leaf_at(self, index).leaving;
    bool& flag = flag_of(evidence, source);
    if (!flag) {
        return;
    }
    flag = false;
    if (source == leaving_source::manifest) {
        evidence.leaf = false;
        evidence.peer = false;
    }
    mark_returned(self, index, source_name(source), context);
}

void update_health(state& self, leaf_index index, const leaf_health& health,
                   bool newly_opened, context& context)
{
    auto& leaf = leaf_at(self, index);
    if (health.draining) {
        mark_leaving(self, index, leaving_source::leaf, context);
        return;
    }
    if (health.warm != leaf.warm) {
        leaf.warm = health.warm;
        restart_warm_up(leaf, context.now);
    }
    auto& evidence = leaf.leaving;
    const bool reported_by_leaf = evidence.leaf || evidence.peer;
    const bool delay_passed =
        context.now >= evidence.last_reported + self.settings.return_delay;
    if (!newly_opened || !reported_by_leaf || !delay_passed ||
        evidence.manifest || evidence.vms) {
        return;
    }
    evidence.leaf = false;
    evidence.peer = false;
    mark_returned(self, index, "new connection", context);
}

} // namespace bulrushspring::targets
