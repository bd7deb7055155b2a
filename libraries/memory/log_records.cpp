#include "libraries/memory/log_records.hpp"

#include "libraries/memory/events.hpp"

namespace bulrushspring::memory
{

log_record describe_limits(std::uint64_t process_bytes, const limits& of)
{
    return make_record(memory_limits, field("process_bytes", process_bytes),
                       field("account_bytes", of.bytes),
                       field("connections", of.connections),
                       field("response_bytes", of.response_bytes));
}

log_record describe_drops(std::uint64_t reserved, std::uint64_t connections,
                          const drop_counts& counts, const account& after)
{
    const auto count = [&](drop_kind kind) {
        return counts[static_cast<std::size_t>(kind)];
    };
    return make_record(memory_dropped, field("reserved", reserved),
                       field("connections", connections),
                       field("partial", count(drop_kind::partial_request)),
                       field("unsent", count(drop_kind::unsent_request)),
                       field("responses", count(drop_kind::response)),
                       field("idle", count(drop_kind::idle_connection)),
                       field("left", after.reserved));
}

} // namespace bulrushspring::memory
